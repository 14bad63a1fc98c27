package dispatch

import (
	"time"

	"cyclamendyke"
)

// capacityMargin is the time for which a start may be on its way, kept back from Bounds.MaxCapacityAge.
const capacityMargin = 500 * time.Millisecond

// SetTargetsAsOf says as of when the descriptions of targets were known to be complete; earlier times change nothing.
func (s *Scheduler) SetTargetsAsOf(at time.Duration) {
	s.targetsAsOf = max(s.targetsAsOf, at)
}

// updateStaleServices decides in which services nothing is started, since the capacity of their targets may have
// shrunk for so long that it counts, and the targets would start what exceeds it.
func (s *Scheduler) updateStaleServices() {
	limit := s.cfg.Bounds.MaxCapacityAge
	isStale := limit > 0 && s.now-s.targetsAsOf > limit-capacityMargin
	if isStale != s.capacitiesStale {
		s.capacitiesStale = isStale
		reason := "capacities of targets are known again"
		if isStale {
			reason = "capacities of targets are not known: nothing is started on targets that do not guard theirs"
		}
		s.cfg.LogDecision(Decision{Event: EventCapacities, Age: s.now - s.targetsAsOf, Count: len(s.targets), Reason: reason})
	}
	s.staleServices = map[cyclamendyke.ServiceName]bool{}
	if !isStale || s.fleet == nil {
		return
	}
	for _, service := range s.fleet.Services {
		s.staleServices[service.Name] = !service.GuardsTargets
	}
}
