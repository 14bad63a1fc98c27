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
	commitInterval    = 80 * time.Millisecond  // Minimum time between batches; final records are written at once.
	commitRetryDelay  = 100 * time.Millisecond // After a commit that failed without a conflict.
	workBatchDelay    = 300 * time.Millisecond // Long, since members also notify the scheduler of new work.
	targetsBatchDelay = 300 * time.Millisecond // Long, since descriptions change with every heartbeat.
)

// commitRecords starts writing the next batch of records unless one is being written.
func (t *term) commitRecords() {
	if t.committing || !t.sched.HasRecords() && !t.knownTargetsChanged() {
		return
	}
	now := bootTime()
	if now < t.nextCommit && !t.sched.HasFinalRecords() {
		return
	}
	batch := cyclamendyke.Batch{Guards: []cyclamendyke.Guard{{Key: epochKey, Expected: t.election.revision}}}
	var known knownTargetList
	if t.knownTargetsChanged() {
		known = t.encodeKnownTargets()
		batch.Puts = append(batch.Puts, cyclamendyke.Put{Key: knownTargetsKey, Value: known.encoded, Expected: t.knownTargetsRevision})
	}
	room := cyclamendyke.MaxBatchEntries - batch.Entries()
	records, err := t.sched.TakeRecords(func(final bool) bool {
		room -= recordEntries(final)
		return room >= 0
	})
	if err != nil {
		t.node.cfg.Log.Error("cannot encode workflow progress", "err", err)
		return
	}
	for _, r := range records {
		addRecord(&batch, r)
	}
	t.committing = true
	t.nextCommit = now + commitInterval
	t.wg.Go(func() { t.commit(batch, records, known) })
}

// addRecord adds the writes for one record to a batch.
//
// A workflow that has ended leaves only its final record, so that the next scheduler reads no more than
// the unfinished work. Its keys need no conditions: only the scheduler of this epoch deletes them, and
// no other value follows a final record.
func addRecord(batch *cyclamendyke.Batch, r dispatch.Record) {
	if !r.Final {
		batch.Puts = append(batch.Puts, cyclamendyke.Put{Key: progressKey(r.ID), Value: r.Value, Expected: r.Expected})
		return
	}
	batch.Puts = append(batch.Puts, cyclamendyke.Put{Key: doneKey(r.ID), Value: r.Value, Always: true})
	batch.Removes = append(batch.Removes, workKey(r.ID), workKey(r.ID)+cancelSuffix, progressKey(r.ID))
}

// recordEntries returns how many entries of a batch addRecord adds.
func recordEntries(final bool) int {
	var batch cyclamendyke.Batch
	addRecord(&batch, dispatch.Record{Final: final})
	return batch.Entries()
}

// knownTargetList is a list of known targets to be written to the store.
type knownTargetList struct {
	targets    []dispatch.KnownTarget
	setVersion int
	encoded    []byte
}

func (t *term) encodeKnownTargets() knownTargetList {
	list := knownTargetList{targets: t.sched.KnownTargets(), setVersion: t.sched.TargetSetVersion()}
	text, err := json.Marshal(list.targets)
	if err != nil {
		t.node.cfg.Log.Error("cannot encode list of known targets", "err", err)
	}
	list.encoded = text
	return list
}

func (t *term) knownTargetsChanged() bool {
	return t.sched.TargetSetVersion() != t.storedTargetSetVersion
}

// commit writes a batch and retries until its outcome is certain.
func (t *term) commit(batch cyclamendyke.Batch, records []dispatch.Record, known knownTargetList) {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
		revision, current, err := t.node.cfg.Store.Commit(ctx, batch)
		cancel()
		t.node.recordStoreResult(err)
		switch {
		case err == nil:
			t.post(func() { t.handleCommit(records, known, revision) })
			return
		case cyclamendyke.KindOf(err) == cyclamendyke.KindConflict:
			if revision, ok := t.appliedRevision(batch, current); ok {
				t.post(func() { t.handleCommit(records, known, revision) })
				return
			}
			t.end("progress was written by another scheduler")
			return
		}
		sleep(t.ctx, commitRetryDelay)
	}
}

// appliedRevision returns the revision of the batch if an earlier attempt to write it took effect.
func (t *term) appliedRevision(batch cyclamendyke.Batch, current []cyclamendyke.Entry) (cyclamendyke.Revision, bool) {
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
	return revision, true
}

// handleCommit reports a written batch to the scheduler.
func (t *term) handleCommit(records []dispatch.Record, known knownTargetList, revision cyclamendyke.Revision) {
	t.committing = false
	if known.encoded != nil {
		t.knownTargetsRevision, t.storedTargetSetVersion = revision, known.setVersion
		t.sched.KnownTargetsStored(known.targets)
	}
	t.sched.RecordsStored(records, revision)
}
