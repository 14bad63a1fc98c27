package node

import (
	"context"
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
	n.stepDown()
}

// stepDown releases the role of an ended term.
func (n *Node) stepDown() {
	v := n.dir.view()
	if v.scheduler == nil || v.scheduler.Name != n.cfg.Settings.Node {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	deletion := cyclamendyke.Guard{Key: schedulerKey, Expected: v.schedulerRevision}
	revision, _, err := n.cfg.Store.Commit(ctx, cyclamendyke.Batch{Deletes: []cyclamendyke.Guard{deletion}})
	if err != nil {
		n.cfg.Log.Warn("cannot release the role", "err", err)
		return
	}
	n.dir.apply([]cyclamendyke.Entry{{Key: schedulerKey, Deleted: true, Revision: revision}})
}
