package scheduler

import "cyclamendyke"

// unlistedCapacity returns an upper bound on what tasks of an earlier term use on workers that
// have not listed their tasks in this term.
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

// updateAllotments sets each team's usable allotment, its allotment less what unlisted tasks
// may use, and wakes the queues that it no longer blocks.
func (s *Scheduler) updateAllotments() {
	unlisted := s.unlistedCapacity()
	for _, t := range s.teamsInOrder() {
		t.usableAllotment = t.allotment.Sub(unlisted)
		s.wakeTeam(t)
	}
}
