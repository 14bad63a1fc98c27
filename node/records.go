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
	commitInterval    = 80 * time.Millisecond  // Between batches that no caller waits for.
	commitRetryDelay  = 100 * time.Millisecond // After a batch without an answer.
	workBatchDelay    = 300 * time.Millisecond // Long, since members also notify the scheduler of new work.
	targetsBatchDelay = 300 * time.Millisecond // Long, since descriptions change with every heartbeat.
	expireInterval    = 10 * time.Second
	expireBatch       = 10
)

// commitRecords starts writing the next batch of records unless one is being written.
func (t *term) commitRecords() {
	if t.committing || !t.sched.Dirty() && !t.targetsChanged() {
		return
	}
	now := bootTime()
	if now < t.nextCommit && !t.sched.Urgent() {
		return
	}
	records, err := t.sched.TakeRecords(cyclamendyke.MaxBatchPuts - 1)
	if err != nil {
		t.node.cfg.Log.Error("cannot encode workflow progress", "err", err)
		return
	}
	t.committing = true
	t.nextCommit = now + commitInterval
	batch := cyclamendyke.Batch{Guards: []cyclamendyke.Guard{{Key: epochKey, Expected: t.won.revision}}}
	for _, r := range records {
		batch.Puts = append(batch.Puts, cyclamendyke.Put{Key: progressKey(r.ID), Value: r.Value, Expected: r.Expected})
	}
	var targets targetList
	if t.targetsChanged() {
		targets = t.encodeTargets()
		batch.Puts = append(batch.Puts, cyclamendyke.Put{Key: targetsKey, Value: targets.encoded, Expected: t.targetsRevision})
	}
	t.wg.Go(func() { t.commit(batch, records, targets) })
}

// targetList is a list of targets that is being written to the store.
type targetList struct {
	targets    []dispatch.KnownTarget
	setVersion int
	encoded    []byte
}

func (t *term) encodeTargets() targetList {
	list := targetList{targets: t.sched.KnownTargets(), setVersion: t.sched.TargetSetVersion()}
	text, err := json.Marshal(list.targets)
	if err != nil {
		t.node.cfg.Log.Error("cannot encode target list", "err", err)
	}
	list.encoded = text
	return list
}

func (t *term) targetsChanged() bool {
	return t.sched.TargetSetVersion() != t.storedSetVersion
}

// commit writes a batch and retries until its outcome is certain.
func (t *term) commit(batch cyclamendyke.Batch, records []dispatch.Record, targets targetList) {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
		revision, current, err := t.node.cfg.Store.Commit(ctx, batch)
		cancel()
		t.node.recordStoreResult(err)
		switch {
		case err == nil:
			t.post(func() { t.recordCommit(records, targets, revision) })
			return
		case cyclamendyke.KindOf(err) == cyclamendyke.KindConflict:
			if revision, ok := t.appliedRevision(batch, current); ok {
				t.post(func() { t.recordCommit(records, targets, revision) })
				return
			}
			t.end("progress was written by another scheduler")
			return
		}
		sleep(t.ctx, commitRetryDelay)
	}
}

// appliedRevision reports whether an earlier attempt to write the batch took effect, and its revision.
func (t *term) appliedRevision(batch cyclamendyke.Batch, current []cyclamendyke.Entry) (cyclamendyke.Revision, bool) {
	byKey := map[string]cyclamendyke.Entry{}
	for _, entry := range current {
		byKey[entry.Key] = entry
	}
	if epoch, ok := byKey[epochKey]; ok && epoch.Revision != t.won.revision {
		return 0, false
	}
	revision := cyclamendyke.Revision(0)
	for _, put := range batch.Puts {
		entry := byKey[put.Key]
		if !bytes.Equal(entry.Value, put.Value) {
			return 0, false
		}
		revision = entry.Revision
	}
	return revision, true
}

// recordCommit tells the scheduler that a batch has been written.
func (t *term) recordCommit(records []dispatch.Record, targets targetList, revision cyclamendyke.Revision) {
	t.committing = false
	if targets.encoded != nil {
		t.targetsRevision, t.storedSetVersion = revision, targets.setVersion
		t.sched.KnownTargetsStored(targets.targets)
	}
	t.sched.RecordsStored(records, revision)
}

// removeExpired removes workflows whose final state need no longer be kept.
func (t *term) removeExpired() {
	now := bootTime()
	if now < t.nextExpiry || !t.leaseValid() {
		return
	}
	t.nextExpiry = now + expireInterval
	expired := t.sched.Expired(expireBatch)
	if len(expired) == 0 {
		return
	}
	t.wg.Go(func() {
		for _, e := range expired {
			t.removeWorkflow(e)
		}
	})
}

// removeWorkflow removes a workflow's keys; the next scheduler removes what fails here.
func (t *term) removeWorkflow(e dispatch.Expired) {
	batch := cyclamendyke.Batch{
		Guards:  []cyclamendyke.Guard{{Key: epochKey, Expected: t.won.revision}},
		Deletes: []cyclamendyke.Guard{{Key: progressKey(e.ID), Expected: e.Revision}},
	}
	for _, key := range []string{workKey(e.ID), workKey(e.ID) + cancelSuffix} {
		entry, err := t.node.cfg.Store.Get(t.ctx, key)
		if err == nil {
			batch.Deletes = append(batch.Deletes, cyclamendyke.Guard{Key: key, Expected: entry.Revision})
		}
	}
	if _, _, err := t.node.cfg.Store.Commit(t.ctx, batch); err != nil {
		t.node.cfg.Log.Warn("cannot remove expired workflow", "workflow", e.ID, "err", err)
	}
}
