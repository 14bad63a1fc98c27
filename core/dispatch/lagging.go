package dispatch

import (
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

	maxEstimateError = 0.5 // Logarithm by which a queue's estimates may usually be wrong to be relied on.
	minEstimates     = 10  // Runs after which the error is known.
	estimateMemory   = 100 // Runs whose error counts.
)

// estimateError is by how much the estimates of a queue's run times are usually wrong.
type estimateError struct {
	mean float64 // Of the logarithm of the run time as a multiple of the estimate, without its sign.
	runs int
}

func (e *estimateError) isReliable() bool {
	return e != nil && e.runs >= minEstimates && e.mean <= maxEstimateError
}

// learnEstimateError compares the run time of a task that is done with its estimate.
func (s *Scheduler) learnEstimateError(r *run, runTime time.Duration) {
	queue := r.step.job.spec.Queue
	e := s.estimateErrors[queue]
	if e == nil {
		e = &estimateError{}
		s.estimateErrors[queue] = e
	}
	e.runs = min(e.runs+1, estimateMemory)
	expected := float64(r.step.spec.Estimate) * math.Exp(r.target.speed.slowness)
	e.mean += (math.Abs(math.Log(float64(runTime)/max(1, expected))) - e.mean) / float64(e.runs)
}

// updateLag judges by a target's newest listing whether it lags.
func (s *Scheduler) updateLag(t *target) {
	factors := map[cyclamendyke.WorkflowID]float64{}
	for _, r := range t.runs {
		perPercent, known := r.progress.perPercent()
		if !known || r.state != runRunning || !s.estimateErrors[r.step.job.spec.Queue].isReliable() {
			continue
		}
		factors[r.step.job.spec.ID] = 100 * float64(perPercent) / float64(r.step.runTimeOn(t))
	}
	if len(factors) < minLagWorkflows {
		return
	}
	sorted := make([]float64, 0, len(factors))
	for _, factor := range factors {
		sorted = append(sorted, factor)
	}
	slices.Sort(sorted)
	wasLagging := s.now < t.lagsUntil
	t.lagsUntil = 0
	if sorted[(len(sorted)-1)/2] >= minLagFactor {
		t.lagsUntil = s.now + lagMemory
	}
	if lags := s.now < t.lagsUntil; lags != wasLagging {
		s.logTarget(t.info.ID, map[bool]string{true: "lags", false: "no longer lags"}[lags])
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
	for i := range step.tasks {
		for _, r := range step.tasks[i].runs {
			if r.state != runRunning || r.target.renewFailed || !s.slow(r) {
				continue
			}
			if s.now-r.target.listingSentAt > copyLookWait {
				s.requestProgress(r.target)
			}
			if s.lags(r.target) && s.moveSaves(r) {
				s.stop(r, "its target lags")
				step.tasks[i].avoidTarget = r.target.info.ID
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
