package dispatch

import (
	"math"
	"time"
)

// The rules for relying on the estimates of a queue's run times.
const (
	maxEstimateError = 0.5 // Logarithm by which they may usually be wrong.
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
