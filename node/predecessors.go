package node

import (
	"context"
	"encoding/json"

	"cyclamendyke"
)

// predecessorsEnded reports whether all schedulers before a claim made now have certainly stopped acting:
// the last one stepped down, or its record is there, and none before it acted any more. The caller has
// checked that a record that is there has this process's name.
func (v view) predecessorsEnded() bool {
	if v.scheduler != nil {
		return v.scheduler.PredecessorsEnded
	}
	return v.resignation.epoch == v.epoch
}

// declarePredecessorsEnded says in the scheduler's record that no earlier scheduler acts any more, once their
// grace period is over; until then a successor must assume that they still act.
func (t *term) declarePredecessorsEnded() {
	if t.predecessorsEnded.Load() {
		return
	}
	sleep(t.ctx, t.election.requestedAt+authorityGrace+graceMargin-bootTime())
	for t.ctx.Err() == nil {
		err := t.writePredecessorsEnded()
		t.node.recordStoreResult(err)
		if err == nil {
			return
		}
		sleep(t.ctx, retryDelay(err))
	}
}

// writePredecessorsEnded makes one attempt; it returns nil if nothing is left to write.
func (t *term) writePredecessorsEnded() error {
	v := t.node.dir.view()
	if !t.node.isElected(v, t.epoch) {
		return nil // The term is about to end.
	}
	if v.scheduler.PredecessorsEnded {
		t.predecessorsEnded.Store(true) // An earlier attempt took effect.
		return nil
	}
	record := *v.scheduler
	record.PredecessorsEnded = true
	value, err := json.Marshal(record)
	if err != nil {
		return NewError("declare predecessors ended", cyclamendyke.KindInvalid, err)
	}
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	revision, err := t.node.cfg.Store.CompareAndSwap(ctx, schedulerKey, value, v.schedulerRevision, t.election.lease)
	if err != nil {
		return err
	}
	t.predecessorsEnded.Store(true)
	t.node.dir.apply([]cyclamendyke.Entry{{Key: schedulerKey, Value: value, Revision: revision}})
	return nil
}
