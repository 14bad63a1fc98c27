package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"cyclamendyke"
)

// The rules for finding targets that have become much slower than usual, by the progress of what runs there.
const (
	minLagFactor    = 2.5             // Multiple of its expected time that the median run must take.
	minLagWorkflows = 3               // One workflow's estimate may be wrong, but hardly those of so many.
	maxLaggingShare = 0.25            // If more of a service's targets seem slow, the estimates are wrong.
	lagMemory       = 2 * time.Second // After the last sign of it, the target is used again.
)

// updateLag judges by a target's newest listing whether it lags.
func (s *Scheduler) updateLag(t *target) {
	factors := map[cyclamendyke.WorkflowID]float64{} // Run times as multiples of those expected.
	for _, r := range t.runs {
		perPercent, known := r.progress.perPercent()
		if !known || r.state != runRunning || !s.estimateErrors[r.step.job.spec.Queue].IsReliable() {
			continue
		}
		factors[r.step.job.spec.ID] = 100 * float64(perPercent) / float64(r.step.runTimeOn(t))
	}
	if len(factors) < minLagWorkflows {
		return
	}
	sorted := slices.Sorted(maps.Values(factors))
	s.setLag(t, sorted[(len(sorted)-1)/2] >= minLagFactor)
}

// setLag records whether a target lags, and logs that if it has changed.
func (s *Scheduler) setLag(t *target, lags bool) {
	lagged := s.now < t.lagsUntil
	t.lagsUntil = 0
	if lags {
		t.lagsUntil = s.now + lagMemory
	}
	switch {
	case lags && !lagged:
		s.logTarget(t.info.ID, "lags")
	case lagged && !lags:
		s.logTarget(t.info.ID, "no longer lags")
	}
}

// updateLagging counts the lagging targets of each service, and ignores them where they are too many.
func (s *Scheduler) updateLagging() {
	s.lagsIgnored = map[cyclamendyke.ServiceName]bool{}
	for service, targets := range s.usableByService {
		lagging := 0
		for _, t := range targets {
			if s.now < t.lagsUntil {
				lagging++
			}
		}
		s.lagsIgnored[service] = float64(lagging) > maxLaggingShare*float64(len(targets))
	}
}

// lags reports whether a target is much slower than usual, so that nothing is placed there.
func (s *Scheduler) lags(t *target) bool {
	return s.now < t.lagsUntil && !s.lagsIgnored[t.info.Service]
}

// moveLagging stops an urgent step's runs on lagging targets, if another run is expected to end well before. It asks
// for the progress of those that take longer than expected.
func (s *Scheduler) moveLagging(step *stepRun) {
	if !step.urgent(s) || step.spec.Gang || step.spec.LongRunning || step.spec.Speculative {
		return
	}
	for _, task := range step.tasks.All() {
		for _, r := range task.runs {
			if r.state != runRunning || r.target.renewFailed || !s.slow(r) {
				continue
			}
			if s.now-r.target.listingSentAt > copyLookWait {
				s.requestProgress(r.target)
			}
			if s.lags(r.target) && s.moveSaves(r) {
				s.stop(r, "its target lags")
				task.avoidTarget = r.target.info.ID
			}
		}
	}
}

// moveSaves reports whether a run is expected to go on for much longer than it takes to stop it and run its task
// elsewhere.
func (s *Scheduler) moveSaves(r *run) bool {
	left, known := r.progress.remaining(s.now)
	elsewhere := time.Duration(float64(r.step.runTimeOn(r.target)) * math.Exp(-r.target.speed.slowness))
	return known && left > time.Duration(copyGain*float64(s.cfg.Bounds.StopTimeout+elsewhere))
}
