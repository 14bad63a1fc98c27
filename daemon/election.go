package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/role"
)

// electionTimeout limits one election call, which may make several requests to the store.
const electionTimeout = 2 * time.Second

// election acquires and renews the zone's scheduler role in the store.
type election struct {
	store  cyclamendyke.Store
	member cyclamendyke.Member

	sem   chan struct{} // Semaphore that allows one election call at a time.
	lease cyclamendyke.LeaseID
	epoch cyclamendyke.Epoch // Epoch of the record written with lease.
}

func newElection(store cyclamendyke.Store, member cyclamendyke.Member) *election {
	return &election{store: store, member: member, sem: make(chan struct{}, 1)}
}

// tryLock acquires the semaphore unless another call is in progress, so that calls do not pile up
// while the store does not answer.
func (e *election) tryLock() bool {
	select {
	case e.sem <- struct{}{}:
		return true
	default:
		return false
	}
}

func (e *election) lock() { e.sem <- struct{}{} }

func (e *election) unlock() { <-e.sem }

// elect writes the record of a new or kept epoch with a fresh lease. It returns the record that the
// store then holds, or the zero record if the result is unknown.
func (e *election) elect(ctx context.Context, command cyclamendyke.ElectCommand) (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler) {
	if !e.tryLock() {
		return cyclamendyke.ElectionUnknown, cyclamendyke.ZoneScheduler{}
	}
	defer e.unlock()
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	previous, revision, err := e.readRecord(ctx)
	if err != nil {
		return cyclamendyke.ElectionUnknown, cyclamendyke.ZoneScheduler{}
	}
	record, ok := role.NextRecord(previous, command, e.member)
	if !ok {
		return cyclamendyke.ElectionLost, previous
	}
	lease, err := e.store.GrantLease(ctx, command.TTL)
	if err != nil {
		return cyclamendyke.ElectionUnknown, cyclamendyke.ZoneScheduler{}
	}
	won, err := e.writeRecord(ctx, lease, record, revision)
	if err != nil || !won {
		e.revoke(lease)
		return e.lossResult(ctx, err, previous)
	}
	e.lease = lease
	e.epoch = record.Epoch
	return cyclamendyke.ElectionWon, record
}

// lossResult returns ElectionUnknown if err is set, because the write may have taken effect. Otherwise
// it returns ElectionLost with the winner's record, or with the previous one if reading that fails.
func (e *election) lossResult(ctx context.Context, err error, previous cyclamendyke.ZoneScheduler) (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler) {
	if err != nil {
		return cyclamendyke.ElectionUnknown, cyclamendyke.ZoneScheduler{}
	}
	if winner, _, err := e.readRecord(ctx); err == nil {
		return cyclamendyke.ElectionLost, winner
	}
	return cyclamendyke.ElectionLost, previous
}

// writeRecord creates the zone's scheduler key, bound to the lease, if no process holds it. It then
// updates the epoch key, which does not expire and whose epoch never decreases.
func (e *election) writeRecord(ctx context.Context, lease cyclamendyke.LeaseID, record cyclamendyke.ZoneScheduler, revision cyclamendyke.Revision) (bool, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return false, newError("elect", cyclamendyke.KindInvalid, err)
	}
	key := cyclamendyke.SchedulerPrefix + string(e.member.Zone)
	if _, err := e.store.CompareAndSwap(ctx, key, value, 0, lease); err != nil {
		return false, ignoreConflict(err)
	}
	_, err = e.store.CompareAndSwap(ctx, e.epochKey(), value, revision, 0)
	return err == nil, ignoreConflict(err)
}

// ignoreConflict returns nil for a conflict, which is a definite answer, and every other error
// unchanged.
func ignoreConflict(err error) error {
	if errors.Is(err, cyclamendyke.KindConflict) {
		return nil
	}
	return err
}

// renew extends the lease; it returns ElectionLost with the latest record if the lease has expired.
func (e *election) renew(ctx context.Context, command cyclamendyke.RenewElectionCommand) (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler) {
	if !e.tryLock() {
		return cyclamendyke.ElectionUnknown, cyclamendyke.ZoneScheduler{}
	}
	defer e.unlock()
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	err := e.store.KeepAlive(ctx, e.lease)
	switch {
	case err == nil:
		return cyclamendyke.ElectionWon, cyclamendyke.ZoneScheduler{Epoch: command.Epoch, Member: e.member}
	case errors.Is(err, cyclamendyke.KindNotFound):
		found, _, _ := e.readRecord(ctx)
		return cyclamendyke.ElectionLost, found
	}
	return cyclamendyke.ElectionUnknown, cyclamendyke.ZoneScheduler{}
}

// establish marks the record of an epoch as established. Failures are ignored, because without the
// mark the next term only needs more majorities.
func (e *election) establish(ctx context.Context, epoch cyclamendyke.Epoch) {
	e.lock()
	defer e.unlock()
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	record, revision, err := e.readRecord(ctx)
	if err != nil || record.Epoch != epoch || record.Established {
		return
	}
	record.Established = true
	if value, err := json.Marshal(record); err == nil {
		_, _ = e.store.CompareAndSwap(ctx, e.epochKey(), value, revision, 0)
	}
}

// release revokes the lease, so that a successor need not wait for it to expire.
func (e *election) release(epoch cyclamendyke.Epoch) {
	e.lock()
	defer e.unlock()
	if e.lease != 0 && e.epoch == epoch {
		e.revoke(e.lease)
		e.lease = 0
	}
}

func (e *election) revoke(lease cyclamendyke.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), electionTimeout)
	defer cancel()
	_ = e.store.Revoke(ctx, lease)
}

// readRecord reads the latest record of the zone's role, and the zero record if there is none.
func (e *election) readRecord(ctx context.Context) (cyclamendyke.ZoneScheduler, cyclamendyke.Revision, error) {
	entry, err := e.store.Get(ctx, e.epochKey())
	if errors.Is(err, cyclamendyke.KindNotFound) {
		return cyclamendyke.ZoneScheduler{}, 0, nil
	}
	if err != nil {
		return cyclamendyke.ZoneScheduler{}, 0, err
	}
	var record cyclamendyke.ZoneScheduler
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return record, 0, newError("read epoch", cyclamendyke.KindInvalid, err)
	}
	return record, entry.Revision, nil
}

func (e *election) epochKey() string {
	return cyclamendyke.EpochPrefix + string(e.member.Zone)
}
