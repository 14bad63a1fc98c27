package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// returnTime is how long after its lease a target is waited for that may hold the ends of tasks.
func returnTime(bounds cyclamendyke.Bounds) time.Duration {
	return bounds.MaxLease * 5 / 4
}

// unlistedReturnTime replaces returnTime for a target of which no list says whether it holds such ends.
func unlistedReturnTime(bounds cyclamendyke.Bounds) time.Duration {
	return bounds.MaxLease * 13 / 20
}

// LimitEarlierLeases takes into account when leases that earlier epochs granted are over on targets that do not answer.
func (s *Scheduler) LimitEarlierLeases(ends lease.Ends) {
	s.cfg.EarlierRunsEndBy = min(s.cfg.EarlierRunsEndBy, ends.Others)
	for id, end := range ends.Silent {
		if known, isKnown := s.silentLeaseEnds[id]; !isKnown || end < known {
			s.silentLeaseEnds[id] = end
		}
	}
}

// earlierLeaseEnd returns when all leases that earlier epochs granted on a target are over.
func (s *Scheduler) earlierLeaseEnd(t *target) time.Duration {
	end := s.cfg.EarlierRunsEndBy
	if t.finalListLeaseEnd != 0 {
		end = t.finalListLeaseEnd
	}
	if silentEnd, isKnown := s.silentLeaseEnds[t.info.ID]; isKnown {
		end = min(end, silentEnd)
	}
	return max(end, t.lateOrdersEnd)
}

// earlierLeaseLeft returns how long a lease that an earlier epoch granted can last on a target that answers now.
func (s *Scheduler) earlierLeaseLeft(t *target) time.Duration {
	return max(0, min(s.cfg.Bounds.MaxLease, s.earlierLeaseEnd(t)-s.now))
}

// isEarlierLeaseOver reports whether nothing that an earlier epoch started still runs on a target that has
// not answered.
func (s *Scheduler) isEarlierLeaseOver(t *target) bool {
	_, isSilent := s.silentLeaseEnds[t.info.ID]
	if t.finalListLeaseEnd == 0 && t.lateOrdersEnd == 0 && !isSilent {
		return s.earlierLeasesOver
	}
	return t.earlierLeaseOver || !s.successorPossible && s.now >= s.earlierLeaseEnd(t)
}

// doubtIncarnation notes that a target has an incarnation of which it is not known what earlier epochs have left on it: an
// order for the one before may have begun a run there.
func (s *Scheduler) doubtIncarnation(t *target) {
	t.earlierRunsComplete, t.finalListLeaseEnd = false, 0
	t.lateOrdersEnd = s.now + s.longestForeignLease()
}

// earlierRunsEndBy returns when runs of earlier epochs count as ended on a target that has not answered.
//
// A task that was started there may be done already, with an end that only the target knows. If it started again when the
// lease ends, it could run twice, so such a target gets some more time to come back. Only tasks that can be done wait for it.
func (s *Scheduler) earlierRunsEndBy(t *target) time.Duration {
	leaseEnd := s.earlierLeaseEnd(t)
	switch {
	case t.presumedGone() || s.hasLapsingRun(t):
		return leaseEnd
	case s.mayHoldDoneTasks(t):
		return leaseEnd + returnTime(s.cfg.Bounds)
	case t.earlierRunsComplete || !t.wasUsed:
		return leaseEnd
	}
	return leaseEnd + unlistedReturnTime(s.cfg.Bounds)
}

// hasLapsingRun reports whether a run of an earlier epoch certainly works until a target's lease ends. Then all runs on that target
// are known to have lapsed, and ends before that count for nothing.
func (s *Scheduler) hasLapsingRun(t *target) bool {
	return slices.ContainsFunc(t.earlierRuns, func(r earlierRun) bool { return s.lapsesOnTarget(t, r) })
}
