package node

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
)

// The timing of writing progress records and of following the store.
const (
	commitInterval      = 80 * time.Millisecond  // Minimum time between batches without final records.
	finalCommitInterval = 8 * time.Millisecond   // Minimum time between batches with final records, for which callers wait.
	maxRunListBytes     = 900 << 10              // A longer list of runs is not stored, since the store would not take it.
	maxCommitsInFlight  = 4                      // Batches of records written at a time.
	commitRetryDelay    = 100 * time.Millisecond // After a commit that failed without a conflict.
)

// followBatchDelay is the pause after changes of work and of targets. It is long, since members also
// notify the scheduler of new work, and descriptions of targets change with every heartbeat.
func followBatchDelay() time.Duration { return 300 * time.Millisecond }

// commitRecords starts writing batches of records, several at a time if there are many.
func (t *term) commitRecords() {
	for t.commitsInFlight < maxCommitsInFlight && t.startCommit() {
	}
}

// startCommit starts writing the next batch of records, if one is due.
func (t *term) startCommit() bool {
	now := bootTime()
	switch {
	case t.sched.HasFinalRecords():
		if now < t.nextFinalCommit {
			return false
		}
	case now < t.nextCommit || !t.sched.HasRecords() && !t.sched.HasKnownTargetChanges() && !t.sched.HasRunList():
		return false
	}
	batch := recordBatch{Batch: cyclamendyke.Batch{Guards: []cyclamendyke.Guard{{Key: epochKey, Expected: t.election.revision}}}}
	if t.sched.CanStoreRunList() {
		t.addRunList(&batch)
	}
	t.sched.TakeKnownTargetChanges(func(c dispatch.KnownTargetChange) bool { return batch.addKnownTarget(t, c) })
	if err := t.sched.TakeRecords(func(r dispatch.Record) bool { return batch.addRecord(t, r) }); err != nil {
		t.node.cfg.Log.Error("cannot encode workflow progress", "err", err)
		return false
	}
	t.commitsInFlight++
	t.nextCommit = now + commitInterval
	if batch.isFull {
		t.nextCommit, t.nextFinalCommit = now, now
	} else {
		t.nextFinalCommit = now + finalCommitInterval
	}
	t.wg.Go(func() { t.commit(&batch) })
	return true
}

// recordBatch is a batch with the records that it writes.
type recordBatch struct {
	cyclamendyke.Batch
	records      []dispatch.Record
	knownTargets []dispatch.KnownTargetChange
	hasRunList   bool
	isFull       bool // Something did not fit.
}

// extend replaces the batch by a larger one, unless that is too large.
func (b *recordBatch) extend(extended cyclamendyke.Batch) bool {
	if extended.Entries() > cyclamendyke.MaxBatchEntries {
		b.isFull = true
		return false
	}
	b.Batch = extended
	return true
}

// addRunList adds the list of runs to an empty batch. It needs no condition: only the scheduler of this epoch
// writes it, one list at a time.
func (t *term) addRunList(b *recordBatch) {
	value, err := t.sched.TakeRunList()
	if err != nil || len(value) > maxRunListBytes {
		t.node.cfg.Log.Error("cannot store the list of runs", "bytes", len(value), "err", err)
		t.sched.RunListStored() // The next one may be shorter.
		return
	}
	t.node.cfg.Metrics.RunListBytes.Set(float64(len(value)))
	b.Puts = append(b.Puts, cyclamendyke.Put{Key: runListKey, Value: value, Always: true})
	b.hasRunList = true
}

// addKnownTarget adds the change of a known target, unless it does not fit.
func (b *recordBatch) addKnownTarget(t *term, c dispatch.KnownTargetChange) bool {
	extended, key := b.Batch, knownTargetsPrefix+string(c.ID)
	if c.Known == nil {
		extended.Deletes = append(extended.Deletes, cyclamendyke.Guard{Key: key, Expected: c.Expected})
	} else {
		value, err := json.Marshal(c.Known)
		if err != nil {
			t.node.cfg.Log.Error("cannot encode known target", "target", c.ID, "err", err)
			return false
		}
		extended.Puts = append(extended.Puts, cyclamendyke.Put{Key: key, Value: value, Expected: c.Expected})
	}
	if !b.extend(extended) {
		return false
	}
	b.knownTargets = append(b.knownTargets, c)
	return true
}

// addRecord adds the writes for a record, unless they do not fit.
//
// A workflow that has ended leaves only its final record, so that the next scheduler reads no more than
// the unfinished work. Its keys need no conditions: only the scheduler of this epoch deletes them, and
// no other value follows a final record.
func (b *recordBatch) addRecord(t *term, r dispatch.Record) bool {
	extended := b.Batch
	if r.Final {
		extended.Puts = append(extended.Puts, cyclamendyke.Put{Key: doneKey(r.ID), Value: r.Value, Always: true})
		extended.Removes = append(extended.Removes, workKey(r.ID))
		if r.Expected != 0 {
			extended.Removes = append(extended.Removes, progressKey(r.ID))
		}
		if t.cancellations[r.ID] {
			extended.Removes = append(extended.Removes, workKey(r.ID)+cancelSuffix)
		}
	} else {
		extended.Puts = append(extended.Puts, cyclamendyke.Put{Key: progressKey(r.ID), Value: r.Value, Expected: r.Expected})
	}
	if !b.extend(extended) {
		return false
	}
	b.records = append(b.records, r)
	return true
}

// commit writes a batch and retries until its outcome is certain.
func (t *term) commit(batch *recordBatch) {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
		revision, current, err := t.node.cfg.Store.Commit(ctx, batch.Batch)
		cancel()
		t.node.recordStoreResult(err)
		switch {
		case err == nil:
			t.post(func() { t.handleCommit(batch, revision) })
			return
		case cyclamendyke.KindOf(err) == cyclamendyke.KindConflict:
			if revision, ok := t.appliedRevision(&batch.Batch, current); ok {
				t.post(func() { t.handleCommit(batch, revision) })
				return
			}
			t.end("progress was written by another scheduler")
			return
		}
		sleep(t.ctx, commitRetryDelay)
	}
}

// appliedRevision returns the revision of the batch if an earlier attempt to write it took effect.
func (t *term) appliedRevision(batch *cyclamendyke.Batch, current []cyclamendyke.Entry) (cyclamendyke.Revision, bool) {
	byKey := map[string]cyclamendyke.Entry{}
	for _, entry := range current {
		byKey[entry.Key] = entry
	}
	if epoch, ok := byKey[epochKey]; ok && epoch.Revision != t.election.revision {
		return 0, false
	}
	revision := cyclamendyke.Revision(0)
	for _, put := range batch.Puts {
		if put.Always {
			continue
		}
		entry := byKey[put.Key]
		if !bytes.Equal(entry.Value, put.Value) {
			return 0, false
		}
		revision = entry.Revision
	}
	for _, deleted := range batch.Deletes {
		if byKey[deleted.Key].Revision != 0 {
			return 0, false
		}
	}
	return revision, true
}

// handleCommit reports a written batch to the scheduler.
func (t *term) handleCommit(batch *recordBatch, revision cyclamendyke.Revision) {
	t.commitsInFlight--
	if batch.hasRunList {
		t.sched.RunListStored()
	}
	t.sched.KnownTargetChangesStored(batch.knownTargets, revision)
	t.sched.RecordsStored(batch.records, revision)
}
