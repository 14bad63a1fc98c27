package dispatch

import (
	"time"

	"cyclamendyke/core/lease"
)

// holdInterval is how often the ledger learns at most which leases may be renewed while a pass takes long.
const holdInterval = 100 * time.Millisecond

// holdLeases tells the ledger which leases may be renewed beside this goroutine until it renews again.
func (s *Scheduler) holdLeases() {
	if s.leasesHeldAt != 0 && s.now < s.leasesHeldAt+holdInterval {
		return
	}
	s.leasesHeldAt = s.now
	holdings := make([]lease.Holding, 0, len(s.targets))
	for _, t := range s.targets {
		if t.listed && !t.expired && !s.isSilent(t) {
			holdings = append(holdings, lease.Holding{Target: t.info, Clock: t.clock, ReadAt: t.clockReadAt, GrantedEnd: t.grantedEnd})
		}
	}
	s.leases.Hold(holdings, s.now)
}

// takeKept takes over what was learnt and granted beside this goroutine.
func (s *Scheduler) takeKept() {
	for id, kept := range s.leases.Kept() {
		if t := s.targets[id]; t != nil && t.listed {
			s.takeKeptLease(t, &kept)
		}
	}
}

func (s *Scheduler) takeKeptLease(t *target, kept *lease.Holding) {
	if t.info.StartedMillis != kept.Target.StartedMillis {
		t.leaseUntil = max(t.leaseUntil, t.clockNow(s.now)+s.cfg.Bounds.MaxLease) // It cuts a lease by another incarnation's clock to that.
		return
	}
	t.grantedEnd = max(t.grantedEnd, kept.GrantedEnd)
	t.leaseUntil = max(t.leaseUntil, kept.GrantedEnd)
	if kept.Clock > t.clock {
		t.clock, t.clockReadAt = kept.Clock, kept.ReadAt
	}
	t.answeredAt = max(t.answeredAt, kept.ReadAt)
}
