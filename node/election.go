package node

import (
	"context"
	"encoding/json"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// electionCheckInterval is how often a process checks for a scheduler when no change wakes it.
const electionCheckInterval = 250 * time.Millisecond

// runElections tries to become the scheduler while there is none. While this process is the
// scheduler, it ends the term once a later one has begun or a stronger member can take over.
func (n *Node) runElections() {
	var handover handoverState
	for n.ctx.Err() == nil {
		select {
		case <-n.dir.changed:
		case <-time.After(electionCheckInterval):
		case <-n.ctx.Done():
			return
		}
		if n.leaving.Load() || n.term.Load() != nil {
			n.endSupersededTerm()
			n.handOver(&handover)
			continue
		}
		election, ok := n.elect()
		if ok {
			n.beginTerm(election)
		}
	}
}

// endSupersededTerm ends this process's term if a later one has begun.
func (n *Node) endSupersededTerm() {
	t := n.term.Load()
	if t == nil {
		return
	}
	if v := n.dir.view(); v.epoch > t.epoch {
		t.end("another scheduler was elected")
	}
}

// electionResult describes a won election.
type electionResult struct {
	epoch            uint64
	revision         cyclamendyke.Revision // Revision of the epoch's key.
	lease            cyclamendyke.LeaseID  // To which the scheduler's record is attached.
	requestedAt      time.Duration         // When the winning commit was sent.
	areLeasesBounded bool                  // All earlier schedulers have bounded their leases by what they store.
	leases           leaseView             // What the store said of leases right before.
}

// elect tries to take the scheduler role if there is no scheduler, or if the scheduler's record has
// this process's own name: that record is left from an earlier term or process on this VM.
func (n *Node) elect() (electionResult, bool) {
	v := n.dir.view()
	lease := n.session.current()
	if !v.loaded || lease == 0 || n.fleetConfig.Load() == nil {
		return electionResult{}, false
	}
	if v.scheduler != nil && v.scheduler.Name != n.cfg.Settings.Node {
		return electionResult{}, false
	}
	if v.scheduler == nil && !n.roleFreeAfterYield() {
		return electionResult{}, false
	}
	if election, ok := n.lastClaim.takeElection(n, v, lease); ok {
		return election, true
	}
	election, err := n.claimRole(v, lease)
	n.recordStoreResult(err)
	if err == nil {
		return election, true
	}
	if election, ok := n.lastClaim.takeElection(n, n.dir.view(), lease); ok {
		return election, true
	}
	if cyclamendyke.KindOf(err) != cyclamendyke.KindConflict {
		n.cfg.Log.Warn("election", "epoch", v.epoch+1, "err", err)
	}
	sleep(n.ctx, retryDelay(err))
	return electionResult{}, false
}

// Members on stronger VMs take precedence in elections.
const (
	strongerFactor  = 1.2                    // A VM is stronger if it has more than this many times this VM's cores.
	yieldDelay      = 200 * time.Millisecond // For a store that answers at once.
	yieldStoreCalls = 2                      // The stronger member sees the free role with one call and takes it with another.
	maxYieldDelay   = 1500 * time.Millisecond
)

// hasStrongerMember reports whether a member runs on a stronger VM than this one.
func (n *Node) hasStrongerMember() bool {
	return n.dir.hasMemberWithMoreCores(n.cfg.Settings.Cores * strongerFactor)
}

// roleFreeAfterYield gives stronger members time to be elected first, and reports whether there is
// still no scheduler.
func (n *Node) roleFreeAfterYield() bool {
	if !n.hasStrongerMember() {
		return true
	}
	sleep(n.ctx, n.yieldTime())
	return n.dir.view().scheduler == nil
}

// yieldTime returns how long stronger members are given to be elected first. A slow store delays them too.
func (n *Node) yieldTime() time.Duration {
	return min(maxYieldDelay, yieldDelay+yieldStoreCalls*n.session.lastRenewalTook())
}

// claimRole writes this process's scheduler record, the next epoch and its first round of leases in one commit, provided
// that nothing was stored about leases that this process has not seen.
func (n *Node) claimRole(v view, storeLease cyclamendyke.LeaseID) (electionResult, error) {
	record := schedulerRecord{memberRecord: n.ownRecord(), Epoch: v.epoch + 1, KeepsReservations: true}
	value, err := json.Marshal(record)
	if err != nil {
		return electionResult{}, NewError("elect", cyclamendyke.KindInvalid, err)
	}
	epoch, err := json.Marshal(record.Epoch)
	if err != nil {
		return electionResult{}, NewError("elect", cyclamendyke.KindInvalid, err)
	}
	round, err := json.Marshal(lease.Round{Epoch: record.Epoch})
	if err != nil {
		return electionResult{}, NewError("elect", cyclamendyke.KindInvalid, err)
	}
	areBounded := v.epoch == 0 || v.leases.epoch == v.epoch
	n.lastClaim = roleClaim{epoch: record.Epoch, lease: storeLease, requestedAt: bootTime(), areLeasesBounded: areBounded, leases: v.leases}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	n.wg.Go(func() { n.cancelOnceElected(ctx, cancel, record.Epoch) })
	batch := cyclamendyke.Batch{
		Puts: []cyclamendyke.Put{
			{Key: schedulerKey, Value: value, Lease: storeLease, Expected: v.schedulerRevision},
			{Key: epochKey, Value: epoch, Expected: v.epochRevision},
			{Key: leaseRoundKey, Value: round, Expected: v.leases.roundRevision},
		},
		Guards: []cyclamendyke.Guard{{Key: leaseSilentKey, Expected: v.leases.silentRevision}},
	}
	if areBounded {
		batch.Puts = append(batch.Puts, cyclamendyke.Put{Key: leaseEpochKey, Value: epoch, Always: true})
	}
	revision, current, err := n.cfg.Store.Commit(ctx, batch)
	if cyclamendyke.KindOf(err) == cyclamendyke.KindConflict {
		n.dir.apply(current)
	}
	if err != nil {
		return electionResult{}, err
	}
	n.dir.apply([]cyclamendyke.Entry{
		{Key: schedulerKey, Value: value, Revision: revision},
		{Key: epochKey, Value: epoch, Revision: revision},
		{Key: leaseRoundKey, Value: round, Revision: revision},
	})
	n.cfg.Log.Info("elected", "epoch", record.Epoch, "revision", revision)
	election := n.lastClaim.result(revision)
	n.lastClaim = roleClaim{}
	return election, nil
}
