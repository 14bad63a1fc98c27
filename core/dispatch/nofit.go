package dispatch

import "cyclamendyke"

// noFitCache holds, for one pass, the needs that fit on no target of a service, so that not every
// one of thousands of waiting steps tries all targets again.
type noFitCache map[cyclamendyke.ServiceName][]cyclamendyke.Resources

// has reports whether need cannot fit, because an equal or smaller need did not.
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

// indexUsable groups the usable targets by service, and those that only an evacuation makes unusable.
func (s *Scheduler) indexUsable() {
	s.usableByService = map[cyclamendyke.ServiceName][]*target{}
	s.evacuatedByService = map[cyclamendyke.ServiceName][]*target{}
	for _, t := range s.targets {
		switch {
		case s.usable(t):
			s.usableByService[t.info.Service] = append(s.usableByService[t.info.Service], t)
		case s.ready(t) && s.evacuated(t):
			s.evacuatedByService[t.info.Service] = append(s.evacuatedByService[t.info.Service], t)
		}
	}
}

// fitsAnywhere reports whether some usable target has room for a task of the step, whatever the
// step's label and tickets.
func (s *Scheduler) fitsAnywhere(step *stepRun, queue *cyclamendyke.Queue) bool {
	need := step.spec.Reserved()
	for _, t := range s.usableByService[queue.Service] {
		if need.FitsIn(s.available(step, t)) {
			return true
		}
	}
	return false
}
