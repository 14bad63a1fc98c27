package dispatch

import "cyclamendyke"

// noFitCache holds, for one pass, the resources that fit on no target of a service, so that they
// are not tried again for each of thousands of waiting steps.
type noFitCache map[cyclamendyke.ServiceName][]cyclamendyke.Resources

// has reports whether something no larger than need did not fit.
func (c noFitCache) has(service cyclamendyke.ServiceName, need cyclamendyke.Resources) bool {
	for _, failed := range c[service] {
		if failed.FitsIn(need) {
			return true
		}
	}
	return false
}

// add records that need did not fit.
func (c noFitCache) add(service cyclamendyke.ServiceName, need cyclamendyke.Resources) {
	c[service] = append(c[service], need)
}

// indexUsable groups the usable targets by service.
func (s *Scheduler) indexUsable() {
	s.usableByService = map[cyclamendyke.ServiceName][]*target{}
	for _, t := range s.targets {
		if s.usable(t) {
			s.usableByService[t.info.Service] = append(s.usableByService[t.info.Service], t)
		}
	}
}

// fitsAnywhere reports whether a task of the step fits on some usable target, with or without a
// ticket.
func (s *Scheduler) fitsAnywhere(step *stepRun, queue *cyclamendyke.Queue) bool {
	need := step.spec.Reserved()
	for _, t := range s.usableByService[queue.Service] {
		if need.FitsIn(s.available(step, t)) {
			return true
		}
	}
	return false
}
