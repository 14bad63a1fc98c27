package dispatch

import (
	"math"
	"time"

	"cyclamendyke/core/forecast"
)

// The rules for learning how fast targets run tasks.
const (
	firstSpeedWeight = 0.5                    // Weight of a target's first comparison.
	leastSpeedWeight = 0.06                   // Weight of each comparison in the long run.
	speedWeightDecay = 6.0                    // Comparisons after which the weight has halved.
	maxSpeedChange   = 0.7                    // Largest change of the slowness by one comparison.
	minMeasuredTime  = 150 * time.Millisecond // In shorter runs the delay of the report counts for too much.
	maxMeasuredRuns  = 1000                   // Of one step; more would tell no more.
)

// speed is what is known of how fast a target runs tasks.
type speed struct {
	slowness    float64 // Logarithm of its run times relative to other targets; 0.26 is 1.3 times as long.
	comparisons int
}

// measuredRun is how long a task took on a target.
type measuredRun struct {
	target  *target
	runTime time.Duration
}

// measure keeps the run time of a task that is done for learnSpeeds.
//
// It leaves out runs that resumed from a checkpoint, which did a part of the work only, gangs, whose
// members all take as long as the slowest, runs that started on a cold target, which says nothing of
// the time after, runs whose start was repeated, which may have begun late, and runs that this epoch has not seen begin. Nor does
// it keep what is told right after this scheduler was busy: such a run may have ended long before.
func (s *Scheduler) measure(r *run) {
	runTime := s.now - r.startedAt
	if s.now < s.attentiveFrom {
		return
	}
	if r.startedAt == 0 || r.step.spec.Gang || r.resumed || r.adopted || r.startedCold || r.starts.repeats > 0 || runTime < minMeasuredTime {
		return
	}
	s.learnEstimateError(r, runTime)
	if len(r.step.measured) >= maxMeasuredRuns {
		return
	}
	m := measuredRun{r.target, runTime}
	r.step.measured = append(r.step.measured, m)
	r.step.measuredWork += m.work()
}

// learnEstimateError compares the run time of a task that is done with its estimate.
func (s *Scheduler) learnEstimateError(r *run, runTime time.Duration) {
	queue := r.step.job.spec.Queue
	e := s.estimateErrors[queue]
	if e == nil {
		e = &forecast.EstimateError{}
		s.estimateErrors[queue] = e
	}
	e.Learn(runTime, time.Duration(float64(r.step.spec.Estimate)*math.Exp(r.target.speed.slowness)))
}

// learnSpeeds compares the run times of a finished step's tasks, which do about the same work, and
// corrects the slowness of their targets.
func (step *stepRun) learnSpeeds() {
	measured := step.measured
	step.measured = nil
	if len(measured) < 2 {
		return
	}
	mean := 0.0
	for _, m := range measured {
		mean += m.work()
	}
	mean /= float64(len(measured))
	for _, m := range measured {
		m.target.speed.correct(m.work()-mean, len(measured))
	}
}

// work returns the logarithm of the run time, in seconds, on a target without slowness.
func (m measuredRun) work() float64 {
	return math.Log(m.runTime.Seconds()) - m.target.speed.slowness
}

// correct moves the slowness towards a run time that differed by a factor, given as its logarithm,
// from the mean of a number of runs.
func (k *speed) correct(difference float64, runs int) {
	weight := leastSpeedWeight + (firstSpeedWeight-leastSpeedWeight)*speedWeightDecay/(speedWeightDecay+float64(k.comparisons))
	weight *= float64(runs-1) / float64(runs) // The mean of few runs is uncertain itself.
	k.slowness += max(-maxSpeedChange, min(maxSpeedChange, weight*difference))
	k.comparisons++
}
