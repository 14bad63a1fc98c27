package node

import (
	"context"
	"encoding/json"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/progress"
)

// The timing of removing the final states that need no longer be kept.
const (
	cleanupInterval = 5 * time.Second // Between two parts of the final states.
	cleanupTimeout  = 10 * time.Second
)

// cleanupDigits are the first characters of workflow identifiers; final states are looked through by
// one of them at a time, so that a long day's final states never have to be read at once.
const cleanupDigits = "0123456789abcdefABCDEF"

// removeExpired removes expired final states from the store, one part after the other, until the term
// ends.
func (t *term) removeExpired() {
	for part := 0; ; part++ {
		sleep(t.ctx, cleanupInterval)
		if t.ctx.Err() != nil {
			return
		}
		if part == 0 {
			t.post(t.removeOldKnownTargets)
		}
		prefix := donePrefix + cleanupDigits[part%len(cleanupDigits):][:1]
		if err := t.removeExpiredBelow(prefix); err != nil && t.ctx.Err() == nil {
			t.node.cfg.Log.Warn("cannot remove expired final states", "prefix", prefix, "err", err)
		}
	}
}

func (t *term) removeExpiredBelow(prefix string) error {
	ctx, cancel := context.WithTimeout(t.ctx, cleanupTimeout)
	defer cancel()
	entries, _, err := t.node.cfg.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	batch := t.newCleanupBatch()
	for _, entry := range entries {
		var record progress.Final
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			t.node.cfg.Log.Error("cannot decode final state", "key", entry.Key, "revision", entry.Revision, "err", err)
			continue
		}
		if !record.Expired(now, t.node.cfg.Settings.Bounds) {
			continue
		}
		batch.Removes = append(batch.Removes, entry.Key)
		if batch.Entries() == cyclamendyke.MaxBatchEntries {
			if _, _, err := t.node.cfg.Store.Commit(ctx, batch); err != nil {
				return err
			}
			batch = t.newCleanupBatch()
		}
	}
	if len(batch.Removes) == 0 {
		return nil
	}
	_, _, err = t.node.cfg.Store.Commit(ctx, batch)
	return err
}

// removeCancellation removes the cancellation of a workflow that this scheduler does not know, unless the
// store still holds the workflow. What stays, the next scheduler finds again.
func (t *term) removeCancellation(id cyclamendyke.WorkflowID) {
	ctx, cancel := context.WithTimeout(t.ctx, cleanupTimeout)
	defer cancel()
	batch := t.newCleanupBatch()
	batch.Guards = append(batch.Guards, cyclamendyke.Guard{Key: workKey(id)})
	batch.Removes = []string{workKey(id) + cancelSuffix}
	_, _, err := t.node.cfg.Store.Commit(ctx, batch)
	switch {
	case err == nil || t.ctx.Err() != nil:
	case cyclamendyke.KindOf(err) == cyclamendyke.KindConflict:
		t.node.cfg.Log.Info("cancellation kept, as its workflow is still stored", "workflow", id)
	default:
		t.node.cfg.Log.Warn("cannot remove a cancellation; the next scheduler tries again", "workflow", id, "err", err)
	}
}

// removeOldKnownTargets removes the list that earlier versions wrote, once each target has its own
// record.
func (t *term) removeOldKnownTargets() {
	if !t.hasOldKnownTargets || !t.sched.AllKnownTargetsStored() {
		return
	}
	t.hasOldKnownTargets = false
	batch := t.newCleanupBatch()
	batch.Removes = []string{oldKnownTargetsKey}
	t.wg.Go(func() {
		if _, _, err := t.node.cfg.Store.Commit(t.ctx, batch); err != nil && t.ctx.Err() == nil {
			t.node.cfg.Log.Warn("cannot remove the old list of known targets", "err", err)
		}
	})
}

// newCleanupBatch returns a batch that takes effect only if this term's epoch is the last.
func (t *term) newCleanupBatch() cyclamendyke.Batch {
	return cyclamendyke.Batch{Guards: []cyclamendyke.Guard{{Key: epochKey, Expected: t.election.revision}}}
}
