package scheduler

import "cyclamendyke"

// unlistedCapacity returns what tasks of an earlier term may use at most on workers that have not been listed in this one.
func (s *Scheduler) unlistedCapacity() cyclamendyke.Resources {
	var capacity cyclamendyke.Resources
	if s.barrier.passed {
		return capacity
	}
	for _, w := range s.workers {
		if !w.claimed {
			capacity = capacity.Add(w.vm.Capacity)
		}
	}
	return capacity
}

// limitAllotments leaves of each team's allotment what no unlisted task can be using, and wakes what now may start.
func (s *Scheduler) limitAllotments() {
	unlisted := s.unlistedCapacity()
	for _, t := range s.teamsInOrder() {
		t.allotment = t.granted.Sub(unlisted)
		s.wakeTeam(t)
	}
}
