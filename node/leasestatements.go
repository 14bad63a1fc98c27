package node

import (
	"context"
	"encoding/json"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/backlog"
	"cyclamendyke/core/lease"
)

// Schedulers of versions that do not bound their leases by what they store went on for unboundedGrace without the store
// and granted leases of unboundedFraction of the longest.
const (
	unboundedGrace    = 7 * time.Second
	unboundedFraction = 0.85
)

// earlierLeasesEnd returns when leases that earlier epochs granted are over at the latest, if the claim that began this
// epoch was answered now and all earlier schedulers had bounded their leases or not.
func earlierLeasesEnd(now, maxLease time.Duration, areBounded bool) time.Duration {
	if areBounded {
		return now + lease.Longest(maxLease) + lease.Margin
	}
	return now + unboundedGrace + time.Duration(unboundedFraction/lease.MinClockRate*float64(maxLease)) + lease.Margin
}

// leaseRevisions are the revisions of the keys that tell of leases, as the next statement expects them.
type leaseRevisions struct {
	round, silent cyclamendyke.Revision
}

// storeLeaseStatement starts storing a statement about leases, if one is due, with what the work takes of the memory.
func (t *term) storeLeaseStatement() {
	if !t.sched.LeaseStatementDue() {
		return
	}
	statement, isTaken := t.sched.TakeLeaseStatement()
	if !isTaken {
		return
	}
	held := t.sched.HeldBytes()
	if !backlog.IsWorthStating(held, t.statedHeld, backlog.Limit(t.node.cfg.Settings.MemoryBytes)) {
		t.storeStatement(statement, nil)
		return
	}
	t.statedHeld = held
	t.storeStatement(statement, &held)
}

// storeStatement starts storing a statement about leases that was taken; held is what the work takes of the memory, or nil. The
// goroutine that has taken the statement calls it.
func (t *term) storeStatement(statement lease.Statement, held *int64) {
	batch, err := t.statementBatch(statement, held)
	if err != nil {
		t.node.cfg.Log.Error("cannot encode statement about leases", "err", err)
		return
	}
	t.node.cfg.Metrics.SilentTargets.Set(float64(len(statement.Silent)))
	t.wg.Go(func() { t.commitStatement(batch, statement.SilentChanged) })
}

// statementBatch returns the batch that stores a statement. A late attempt to write an earlier one must not undo it, so that
// each expects the one before.
func (t *term) statementBatch(statement lease.Statement, held *int64) (cyclamendyke.Batch, error) {
	batch := cyclamendyke.Batch{Guards: []cyclamendyke.Guard{{Key: epochKey, Expected: t.election.revision}}}
	put := func(key string, value any, expected cyclamendyke.Revision, always bool) error {
		text, err := json.Marshal(value)
		batch.Puts = append(batch.Puts, cyclamendyke.Put{Key: key, Value: text, Expected: expected, Always: always})
		return err
	}
	err := put(leaseRoundKey, statement.Round, t.leaseRevisions.round, false)
	if statement.SilentChanged && err == nil {
		err = put(leaseSilentKey, statement.Silent, t.leaseRevisions.silent, false)
	}
	if held != nil && err == nil {
		err = put(heldKey, *held, 0, true)
	}
	if !t.election.areLeasesBounded && err == nil {
		err = put(leaseEpochKey, t.epoch, 0, true)
	}
	return batch, err
}

// commitStatement writes a statement and retries until its outcome is certain.
func (t *term) commitStatement(batch cyclamendyke.Batch, silentChanged bool) {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
		revision, current, err := t.node.cfg.Store.Commit(ctx, batch)
		cancel()
		t.node.recordStoreResult(err)
		isApplied := err == nil
		if cyclamendyke.KindOf(err) == cyclamendyke.KindConflict {
			if revision, isApplied = t.appliedRevision(&batch, current); !isApplied {
				t.end("a statement about leases was written by another scheduler")
				return
			}
		}
		if isApplied {
			t.statementStored(revision, silentChanged)
			return
		}
		sleep(t.ctx, commitRetryDelay)
	}
}

// statementStored notes that the statement that was taken last is stored. Whoever takes the next one sees the revisions.
func (t *term) statementStored(revision cyclamendyke.Revision, silentChanged bool) {
	t.leaseRevisions.round = revision
	if silentChanged {
		t.leaseRevisions.silent = revision
	}
	t.sched.Leases().Stored()
}
