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
	maxCommitsInFlight  = 4                      // Batches of records written at a time.
	commitRetryDelay    = 100 * time.Millisecond // After a commit that failed without a conflict.
	workBatchDelay      = 300 * time.Millisecond // Long, since members also notify the scheduler of new work.
	targetsBatchDelay   = 300 * time.Millisecond // Long, since descriptions change with every heartbeat.
)

// commitRecords starts writing batches of records, several at a time if there are many.
func (t *term) commitRecords() {
	for t.commitsInFlight < maxCommitsInFlight && t.startCommit() {
	}
}

// startCommit starts writing the next batch of records, if one is due.
func (t *term) startCommit() bool {
	now := bootTime()
	storeTargets := t.knownTargetsChanged() && !t.storingTargets
	switch {
	case t.sched.HasFinalRecords():
		if now < t.nextFinalCommit {
			return false
		}
	case now < t.nextCommit || !t.sched.HasRecords() && !storeTargets:
		return false
	}
	batch := cyclamendyke.Batch{Guards: []cyclamendyke.Guard{{Key: epochKey, Expected: t.election.revision}}}
	var known knownTargetList
	if storeTargets {
		known = t.encodeKnownTargets()
		t.storingTargets = true
		batch.Puts = append(batch.Puts, cyclamendyke.Put{Key: knownTargetsKey, Value: known.encoded, Expected: t.knownTargetsRevision})
	}
	var records []dispatch.Record
	isFull := false
	err := t.sched.TakeRecords(func(r dispatch.Record) bool {
		extended := batch
		t.addRecord(&extended, r)
		if isFull = extended.Entries() > cyclamendyke.MaxBatchEntries; isFull {
			return false
		}
		batch = extended
		records = append(records, r)
		return true
	})
	if err != nil {
		t.node.cfg.Log.Error("cannot encode workflow progress", "err", err)
		return false
	}
	t.commitsInFlight++
	t.nextCommit = now + commitInterval
	if !isFull {
		t.nextFinalCommit = now + finalCommitInterval
	}
	t.wg.Go(func() { t.commit(batch, records, known) })
	return true
}

// addRecord adds the writes for one record to a batch.
//
// A workflow that has ended leaves only its final record, so that the next scheduler reads no more than
// the unfinished work. Its keys need no conditions: only the scheduler of this epoch deletes them, and
// no other value follows a final record.
func (t *term) addRecord(batch *cyclamendyke.Batch, r dispatch.Record) {
	if !r.Final {
		batch.Puts = append(batch.Puts, cyclamendyke.Put{Key: progressKey(r.ID), Value: r.Value, Expected: r.Expected})
		return
	}
	batch.Puts = append(batch.Puts, cyclamendyke.Put{Key: doneKey(r.ID), Value: r.Value, Always: true})
	batch.Removes = append(batch.Removes, workKey(r.ID))
	if r.Expected != 0 {
		batch.Removes = append(batch.Removes, progressKey(r.ID))
	}
	if t.cancellations[r.ID] {
		batch.Removes = append(batch.Removes, workKey(r.ID)+cancelSuffix)
	}
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
	t.commitsInFlight--
	if known.encoded != nil {
		t.storingTargets = false
		t.knownTargetsRevision, t.storedTargetSetVersion = revision, known.setVersion
		t.sched.KnownTargetsStored(known.targets)
	}
	t.sched.RecordsStored(records, revision)
}
