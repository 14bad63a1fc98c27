package dispatch

import "cyclamendyke"

// rememberDropped remembers a target that was dropped with runs that ended in silence, in case that its crash
// is proven later.
func (s *Scheduler) rememberDropped(t *target) {
	for address, old := range s.droppedTargets {
		if s.now-old.workedUntil > silenceRetention {
			delete(s.droppedTargets, address)
		}
	}
	if len(t.silentRuns) > 0 && !t.ended {
		s.droppedTargets[t.info.Address] = t
	}
}

// addressTaken handles that a target has answered at the address of others, whose incarnations have ended if they began
// before.
func (s *Scheduler) addressTaken(info cyclamendyke.Target) {
	const reason = "a later incarnation has its address"
	began := func(old *target) bool {
		return old.info.StartedMillis != 0 && old.info.StartedMillis < info.StartedMillis
	}
	if old := s.droppedTargets[info.Address]; old != nil && began(old) {
		delete(s.droppedTargets, info.Address)
		s.targetEnded(old, reason)
	}
	for id, old := range s.targets {
		if id != info.ID && old.info.Address == info.Address && began(old) {
			s.targetEnded(old, reason)
			s.endReplacedTarget(old)
		}
	}
}
