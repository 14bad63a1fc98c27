package dispatch

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// FinalListTimes bounds when a final list was taken, on this process's clock.
type FinalListTimes struct {
	NotBefore, NotAfter time.Duration
}

// FinalListSummary counts what a final list told of this epoch's targets.
type FinalListSummary struct {
	Targets  int // Targets that the list describes and that are the same now.
	Complete int // Targets of which the list names all runs.
	Runs     int
}

// finalTarget is what a final list says of a target beside its runs.
type finalTarget struct {
	Complete        bool  `json:"complete,omitempty"` // The list names all runs that may be left there.
	Draining        bool  `json:"draining,omitempty"`
	LeaseLeftMillis int64 `json:"lease-left-ms"` // How long leases that were granted there can last; negative if they are over.
}

// FinalList returns the list of runs for the next epoch, after this scheduler's last command was carried out
// or dropped. Before the state was loaded, it says only how long earlier leases can last.
func (s *Scheduler) FinalList(loaded bool) ([]byte, error) {
	s.leases.ReleaseAll()
	s.takeKept()
	list := &runList{}
	if loaded {
		list = s.buildRunList()
		for i := range list.Targets {
			list.Targets[i].Final = s.describeFinal(s.targets[list.Targets[i].ID])
		}
	}
	list.Epoch = s.cfg.Epoch
	list.LeaseLeftMillis = (s.cfg.EarlierRunsEndBy - s.now).Milliseconds()
	value, err := list.encode()
	if err != nil {
		return nil, NewError("final list", cyclamendyke.KindInvalid, err)
	}
	return value, nil
}

// describeFinal describes a target. Whether a successor is possible does not matter: the one that asks is the
// only one so far.
func (s *Scheduler) describeFinal(t *target) *finalTarget {
	leaseEnd := s.earlierLeaseEnd(t)
	if t.listed {
		leaseEnd = s.leaseEnd(t)
	}
	isOver := t.earlierLeaseOver || s.now >= s.earlierLeaseEnd(t)
	return &finalTarget{
		Complete:        t.allListed() || t.expired || t.earlierRunsComplete || !t.listed && isOver,
		Draining:        t.info.Draining || t.wasDraining,
		LeaseLeftMillis: (leaseEnd - s.now).Milliseconds(),
	}
}

// AddFinalList adds the final list of the epoch right before this one, after all that is stored. It replaces
// what is stored of the same targets, which that epoch had read or written itself.
func (s *Scheduler) AddFinalList(value []byte, taken FinalListTimes) (FinalListSummary, error) {
	list, err := decodeRunList(value)
	if err != nil || list.Epoch+1 != s.cfg.Epoch {
		return FinalListSummary{}, NewError("final list", cyclamendyke.KindInvalid, err)
	}
	endOf := func(leftMillis int64) time.Duration {
		return max(1, taken.NotAfter+time.Duration(leftMillis)*time.Millisecond+lease.Margin)
	}
	s.addListedCrashes(list.Crashes)
	if len(list.Targets) == 0 {
		s.cfg.EarlierRunsEndBy = min(s.cfg.EarlierRunsEndBy, endOf(list.LeaseLeftMillis))
		return FinalListSummary{}, nil
	}
	summary := FinalListSummary{}
	for _, on := range list.Targets {
		t := s.sameTarget(on)
		if t == nil || on.Final == nil {
			continue
		}
		summary.Targets++
		if on.Final.Complete {
			summary.Complete++
		}
		s.applyFinal(t, on, endOf(on.Final.LeaseLeftMillis))
	}
	list.each(taken.NotBefore, func(on runListTarget, r earlierRun) {
		if t := s.sameTarget(on); t != nil && on.Final != nil {
			t.earlierRuns = append(t.earlierRuns, r)
			summary.Runs++
		}
	})
	s.runListDirty = s.runListDirty || summary.Runs > 0
	return summary, nil
}

// applyFinal applies what a final list says of a target.
func (s *Scheduler) applyFinal(t *target, on runListTarget, leaseEnd time.Duration) {
	t.earlierRunsComplete, t.earlierRuns = on.Final.Complete, nil
	t.finalListLeaseEnd = leaseEnd
	t.wasDraining = t.wasDraining || on.Final.Draining && on.StartedMillis == t.info.StartedMillis
	if t.unschedulable() || t.wasDraining {
		s.targetChanged(t.info.ID)
	}
}
