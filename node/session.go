package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/storepath"
)

// The timing of this process's lease in the store.
const (
	leaseTTL           = 2 * time.Second
	leaseRenewInterval = 500 * time.Millisecond
	leaseMargin        = 150 * time.Millisecond // The lease counts as expired this long before its end.
	storeTimeout       = 900 * time.Millisecond // Limit of one call to the store.
	storeRetryDelay    = 150 * time.Millisecond // Mean delay after a failed call to the store.
	limitedRetryDelay  = 600 * time.Millisecond // Mean delay after a call that exceeded the store's rate limit.
)

// retryDelay returns how long to wait after a failed call to the store. It is random, so that the
// processes of a large fleet, which may all start at once, do not come back together.
func retryDelay(err error) time.Duration {
	mean := storeRetryDelay
	if cyclamendyke.KindOf(err) == cyclamendyke.KindLimited {
		mean = limitedRetryDelay
	}
	return mean/2 + rand.N(mean)
}

// session is this process's lease in the store.
type session struct {
	mu          sync.Mutex
	lease       cyclamendyke.LeaseID
	validUntil  time.Duration // Until then the lease is certainly valid.
	lastAnswer  time.Duration // When the store last answered.
	renewalTook time.Duration // How long the last renewal took.
	released    bool          // The process is leaving and must not obtain a lease again.
}

// memberRecord describes a member in the store.
type memberRecord struct {
	Name    cyclamendyke.MemberName `json:"name"`
	Zone    cyclamendyke.ZoneName   `json:"zone"`
	Address string                  `json:"address"`
	Nonce   uint64                  `json:"nonce"`
	Cores   float64                 `json:"cores,omitempty"`
}

func (n *Node) ownRecord() memberRecord {
	return memberRecord{Name: n.cfg.Settings.Node, Zone: n.cfg.Settings.Zone, Address: n.cfg.Address, Nonce: n.nonce, Cores: n.cfg.Settings.Cores}
}

// current returns the lease, or zero if it may have expired.
func (s *session) current() cyclamendyke.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bootTime() >= s.validUntil {
		return 0
	}
	return s.lease
}

// validUntilOf returns until when a lease is certainly valid, or zero if it was lost or replaced.
func (s *session) validUntilOf(lease cyclamendyke.LeaseID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != lease {
		return 0
	}
	return s.validUntil
}

func (s *session) lastStoreAnswer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAnswer
}

func (s *session) isReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.released
}

// lastRenewalTook returns how long the store took for the last renewal of the lease.
func (s *session) lastRenewalTook() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewalTook
}

// recordAnswer records that the store has just answered.
func (s *session) recordAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswer = bootTime()
}

// recordRenewal records that a lease was granted or renewed by a call sent at the given time.
func (s *session) recordRenewal(lease cyclamendyke.LeaseID, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	s.lease = lease
	s.validUntil = sent + leaseTTL - leaseMargin
	s.lastAnswer = bootTime()
	s.renewalTook = s.lastAnswer - sent
}

func (s *session) clearLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = 0
	s.validUntil = 0
}

// release revokes the lease for good, so that other members need not wait for it to expire.
func (s *session) release(n *Node) {
	s.mu.Lock()
	lease := s.lease
	s.lease, s.validUntil, s.released = 0, 0, true
	s.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	if err := n.cfg.Store.Revoke(ctx, lease); err != nil {
		n.cfg.Log.Warn("cannot revoke lease", "lease", lease, "err", err)
	}
}

// maintainSession keeps a valid lease in the store, with this process's member record attached to it.
func (n *Node) maintainSession() {
	for n.ctx.Err() == nil {
		if n.session.isReleased() {
			return
		}
		if err := n.openSession(); err != nil {
			n.recordStoreResult(err)
			if !n.sleep(retryDelay(err)) {
				return
			}
			continue
		}
		n.renewSession()
	}
}

// openSession obtains a lease and registers this process under it.
func (n *Node) openSession() error {
	ctx, cancel := context.WithTimeout(n.ctx, 2*storeTimeout)
	defer cancel()
	sent := bootTime()
	lease, err := n.cfg.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(n.ownRecord())
	if err != nil {
		return NewError("register", cyclamendyke.KindInvalid, err)
	}
	key := membersPrefix + string(n.cfg.Settings.Node)
	old, err := n.cfg.Store.Get(ctx, key)
	if err != nil && cyclamendyke.KindOf(err) != cyclamendyke.KindNotFound {
		return err
	}
	if _, err := n.cfg.Store.CompareAndSwap(ctx, key, value, old.Revision, lease); err != nil {
		return err
	}
	n.session.recordRenewal(lease, sent)
	n.recordStoreResult(nil)
	n.cfg.Log.Info("session opened", "lease", lease)
	return nil
}

// renewSession renews the lease until it is lost.
func (n *Node) renewSession() {
	failures := 0
	for n.awaitRenewal() {
		n.session.mu.Lock()
		lease := n.session.lease
		n.session.mu.Unlock()
		if lease == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(n.ctx, renewTimeout(failures))
		sent := bootTime()
		err := n.cfg.Store.KeepAlive(ctx, lease)
		if callOutcome(err) != storepath.Answered {
			_ = n.readStore(ctx) // Answers to renewals may be lost while the store answers other calls.
		}
		cancel()
		n.recordStoreResult(err)
		failures++
		switch cyclamendyke.KindOf(err) {
		case "":
			failures = 0
			n.session.recordRenewal(lease, sent)
		case cyclamendyke.KindNotFound:
			n.cfg.Log.Warn("session lost", "lease", lease)
			n.session.clearLease()
			return
		}
	}
}

// renewInterval returns the delay before the next renewal. It is shorter while the store fails,
// since a renewal also detects that the store answers again.
func (n *Node) renewInterval() time.Duration {
	if n.dir.storeFailing.Load() || n.storePaths.ownState() != storepath.Good {
		return retryDelay(nil)
	}
	return leaseRenewInterval
}

// awaitRenewal waits until the next renewal is due or a probe of the store is asked for, and returns false
// if the node is closed first.
func (n *Node) awaitRenewal() bool {
	select {
	case <-time.After(n.renewInterval()):
	case <-n.storePaths.probe:
	case <-n.ctx.Done():
	}
	return n.ctx.Err() == nil
}

// A renewal that probes a broken path is given up early, since the store may answer again just after it was
// sent; but not each of them, since the store may also have become slow.
const (
	quickProbeTimeout = 300 * time.Millisecond
	fullProbeEvery    = 3
)

// renewTimeout returns the timeout of a renewal after so many in a row that had no answer.
func renewTimeout(failures int) time.Duration {
	if failures == 0 || failures%fullProbeEvery == 0 {
		return storeTimeout
	}
	return quickProbeTimeout
}

// recordStoreResult records whether the store answered a call, and logs when that changes.
func (n *Node) recordStoreResult(err error) {
	if errors.Is(err, context.Canceled) {
		return // The caller gave up, which says nothing about the store.
	}
	switch cyclamendyke.KindOf(err) {
	case "", cyclamendyke.KindNotFound, cyclamendyke.KindConflict:
		n.session.recordAnswer()
		if n.dir.storeFailing.Swap(false) {
			n.cfg.Log.Info("store state changed", "state", "reached")
		}
		return
	}
	if !n.dir.storeFailing.Swap(true) {
		n.cfg.Log.Warn("store state changed", "state", "lost", "err", err)
	}
}
