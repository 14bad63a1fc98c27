package node

import (
	"context"
	"encoding/json"
	"time"

	"cyclamendyke"
)

// The timing of handing the role over to a stronger member.
const (
	reliefAfter = 2 * time.Second  // How long a stronger member must have been there, and the term must have lasted.
	reliefRest  = 20 * time.Second // Between two times that this process hands the role over.
)

// relief is what a scheduler knows of stronger members; it belongs to the goroutine that runs elections.
type relief struct {
	since time.Duration // When a stronger member was seen first; zero if there is none.
	rest  time.Duration // Nothing is handed over before this.
}

// handOver ends this process's term in favour of a stronger member.
//
// It answers fleets of unlike entry VMs on which a weak one was elected while
// the strong ones were away: it has too little processor time for a large fleet.
func (n *Node) handOver(r *relief) {
	t := n.term.Load()
	if t == nil || n.leaving.Load() {
		r.since = 0
		return
	}
	now := bootTime()
	if !n.outranked() || n.dir.storeLost.Load() {
		r.since = 0
		return
	}
	if r.since == 0 {
		r.since = now
	}
	if now < max(r.since, t.won.at)+reliefAfter || now < r.rest {
		return
	}
	r.since, r.rest = 0, now+reliefRest
	t.end("a stronger member takes over")
	n.stepDown(t.epoch)
}

// stepDown frees the role and tells the next scheduler that it need not wait until this one has surely stopped.
func (n *Node) stepDown(epoch uint64) {
	value, err := json.Marshal(epoch)
	if err != nil {
		n.cfg.Log.Error("the step down cannot be written", "epoch", epoch, "err", err)
		return
	}
	v := n.dir.view()
	batch := cyclamendyke.Batch{Puts: []cyclamendyke.Put{{Key: resignedKey, Value: value, Expected: v.resigned.revision}}}
	holds := v.scheduler != nil && v.scheduler.Name == n.cfg.Settings.Node
	if holds {
		batch.Deletes = []cyclamendyke.Guard{{Key: schedulerKey, Expected: v.holderRev}}
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	revision, _, err := n.cfg.Store.Commit(ctx, batch)
	if err != nil {
		n.cfg.Log.Warn("the step down was not written", "epoch", epoch, "err", err)
		return
	}
	changes := []cyclamendyke.Entry{{Key: resignedKey, Value: value, Revision: revision}}
	if holds {
		changes = append(changes, cyclamendyke.Entry{Key: schedulerKey, Deleted: true, Revision: revision})
	}
	n.dir.apply(changes)
}
