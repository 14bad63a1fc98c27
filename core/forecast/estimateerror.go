package forecast

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

// EstimateError is by how much the estimates of a queue's run times are usually wrong.
type EstimateError struct {
	mean float64 // Of the logarithm of the run time as a multiple of the estimate, without its sign.
	runs int
}

// IsReliable reports whether the estimates are known to be good enough to go by; the receiver may be nil.
func (e *EstimateError) IsReliable() bool {
	return e != nil && e.runs >= minEstimates && e.mean <= maxEstimateError
}

// Learn compares the run time of a task that is done with what was expected.
func (e *EstimateError) Learn(runTime, expected time.Duration) {
	e.runs = min(e.runs+1, estimateMemory)
	e.mean += (math.Abs(math.Log(float64(runTime)/max(1, float64(expected)))) - e.mean) / float64(e.runs)
}
