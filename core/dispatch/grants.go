package dispatch

import (
	"maps"
	"slices"
	"time"

	"cyclamendyke/core/lease"
)

// The timing of leases on targets.
const (
	silenceTime   = renewWait + 500*time.Millisecond // A target whose last answer is older gets no more leases.
	listingTime   = 300 * time.Millisecond           // How long a target may take to answer an epoch for the first time.
	listingPause  = 100 * time.Millisecond           // If no target answers for the first time for so long, the others probably will not.
	minStartLease = 500 * time.Millisecond           // Nothing is started on a target whose lease would end sooner.
)

// grantLease extends a target's lease as far as allowed, and returns its end on the target's clock or zero if this epoch has
// granted none. The lease counts from the target's last answer, so that nothing that is sent after it has fallen silent
// extends it.
func (s *Scheduler) grantLease(t *target) time.Duration {
	t.grantedEnd = s.newLeaseEnd(t)
	t.leaseUntil = max(t.leaseUntil, t.grantedEnd)
	return t.grantedEnd
}

// newLeaseEnd returns the end of the lease that grantLease would leave a target with.
func (s *Scheduler) newLeaseEnd(t *target) time.Duration {
	end, mayGrant := s.leases.GrantEnd(t.info.ID)
	if !mayGrant {
		return t.grantedEnd
	}
	longest := min(lease.LongestGrant(s.cfg.Bounds.MaxLease), end-t.clockReadAt)
	return max(t.grantedEnd, t.clock+longest)
}

// canHoldLease reports whether a lease on a target can last long enough to start something there.
func (s *Scheduler) canHoldLease(t *target) bool {
	return s.newLeaseEnd(t) >= t.clockNow(s.now)+minStartLease
}

// isSilent reports whether a target does not answer, so that it is to get no lease.
func (s *Scheduler) isSilent(t *target) bool {
	if !t.listed {
		return s.now >= t.addedAt+listingTime
	}
	return t.renewFailed || s.now >= t.answeredAt+silenceTime
}

// updateSilent keeps the list of silent targets.
func (s *Scheduler) updateSilent() {
	for _, t := range s.targets {
		if s.isSilent(t) {
			s.enterSilent(t)
		} else if t.listed {
			s.leases.ClearSilent(t.info.ID)
		}
	}
	for _, id := range s.leases.Silent() {
		if s.targets[id] == nil {
			s.leases.ClearSilent(id)
		}
	}
}

// enterSilent enters a target into the list of silent ones.
func (s *Scheduler) enterSilent(t *target) {
	leaseEnd := s.earlierLeaseEnd(t)
	if t.listed {
		leaseEnd = s.leaseEnd(t)
	}
	if s.leases.SetSilent(t.info.ID, leaseEnd, s.now) {
		left := max(0, leaseEnd-s.now).Round(time.Millisecond)
		s.cfg.LogDecision(Decision{Event: EventTargetChanged, Target: t.info.ID, Reason: "silent, its leases are over in " + left.String(), Count: len(t.runs)})
	}
}

// LeaseStatementDue reports whether a statement about leases should be stored now. The first one waits until the targets
// have answered that will probably answer soon.
func (s *Scheduler) LeaseStatementDue() bool {
	if !s.leases.Due(s.now) {
		return false
	}
	return s.leasesStated || s.now >= s.lastListedAt+listingPause || !slices.ContainsFunc(slices.Collect(maps.Values(s.targets)), s.mayAnswerSoon)
}

// mayAnswerSoon reports whether a target has not answered and was asked a short time ago.
func (s *Scheduler) mayAnswerSoon(t *target) bool {
	return !t.listed && s.now < t.addedAt+listingTime
}

// TakeLeaseStatement returns the statement to be stored before the next one is taken, or false if one was taken beside this
// goroutine.
func (s *Scheduler) TakeLeaseStatement() (lease.Statement, bool) {
	if !s.leasesStated {
		s.leasesStated = true
		for _, t := range s.targets {
			if !t.listed {
				s.enterSilent(t)
			}
		}
	}
	return s.leases.TakeIfDue(s.now)
}

// Leases returns the ledger, which other goroutines may use once SetStoredSilent was called.
func (s *Scheduler) Leases() *lease.Ledger {
	return s.leases
}

// SetStoredSilent sets the list of silent targets that earlier epochs have stored, before the first pass.
func (s *Scheduler) SetStoredSilent(stored []lease.SilentTarget) {
	s.leases = s.newLedger(stored)
}

func (s *Scheduler) newLedger(stored []lease.SilentTarget) *lease.Ledger {
	return lease.NewLedger(lease.LedgerConfig{
		Epoch: s.cfg.Epoch, ClaimedAt: s.cfg.ClaimedAt, LongestGrant: lease.LongestGrant(s.cfg.Bounds.MaxLease), Stored: stored,
	})
}
