package node

import (
	"context"
	"encoding/json"
	"time"

	"cyclamendyke"
)

// The timing of handing the role over to a stronger member.
const (
	handoverDelay       = 2 * time.Second  // Both the stronger member and the term must have existed this long.
	minHandoverInterval = 20 * time.Second // Between two handovers by this process.
)

// handoverState tracks stronger members for a scheduler; only the election goroutine uses it.
type handoverState struct {
	strongerSince time.Duration // When a stronger member was first seen; zero if there is none.
	notBefore     time.Duration // Earliest time of the next handover.
}

// handOver ends this process's term once a stronger member has been present for handoverDelay.
//
// A weak VM may have been elected while the stronger ones were unavailable. It has too little
// processor time for a large fleet, so it must not stay the scheduler.
func (n *Node) handOver(state *handoverState) {
	t := n.term.Load()
	if t == nil || n.leaving.Load() {
		state.strongerSince = 0
		return
	}
	now := bootTime()
	if !n.hasStrongerMember() || n.dir.storeFailing.Load() {
		state.strongerSince = 0
		return
	}
	if state.strongerSince == 0 {
		state.strongerSince = now
	}
	if now < max(state.strongerSince, t.election.requestedAt)+handoverDelay || now < state.notBefore {
		return
	}
	state.strongerSince, state.notBefore = 0, now+minHandoverInterval
	t.end("handing over to a stronger member")
	n.stepDown(t)
}

// stepDown releases the role of an ended term and, if no earlier scheduler acts any more, records the
// resignation, so that the next scheduler need not wait out any grace period.
func (n *Node) stepDown(t *term) {
	value, err := json.Marshal(t.epoch)
	if err != nil {
		n.cfg.Log.Error("cannot encode resignation", "epoch", t.epoch, "err", err)
		return
	}
	v := n.dir.view()
	var batch cyclamendyke.Batch
	if t.predecessorsEnded.Load() {
		batch.Puts = []cyclamendyke.Put{{Key: resignationKey, Value: value, Expected: v.resignation.revision}}
	}
	isScheduler := v.scheduler != nil && v.scheduler.Name == n.cfg.Settings.Node
	if isScheduler {
		batch.Deletes = []cyclamendyke.Guard{{Key: schedulerKey, Expected: v.schedulerRevision}}
	}
	if batch.Entries() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	revision, _, err := n.cfg.Store.Commit(ctx, batch)
	if err != nil {
		n.cfg.Log.Warn("cannot write resignation", "epoch", t.epoch, "err", err)
		return
	}
	var changes []cyclamendyke.Entry
	if len(batch.Puts) > 0 {
		changes = append(changes, cyclamendyke.Entry{Key: resignationKey, Value: value, Revision: revision})
	}
	if isScheduler {
		changes = append(changes, cyclamendyke.Entry{Key: schedulerKey, Deleted: true, Revision: revision})
	}
	n.dir.apply(changes)
}
