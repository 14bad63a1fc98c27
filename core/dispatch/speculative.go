package dispatch

import (
	"math"
	"slices"
	"time"

	"cyclamendyke"
)

// The rules for starting a speculative second run of a slow task.
const (
	slowFactor       = 1.5                    // Multiple of the expected run time after which a run may be slow.
	minSlowTime      = 400 * time.Millisecond // A run counts as slow no earlier than this.
	copyGain         = 1.5                    // The run must be expected to go on for this multiple of what the copy takes.
	stuckFactor      = 2.0                    // Multiple of the expected run time after which a run without known progress counts as stuck.
	overrunTolerance = 0.5                    // Fraction of the predicted remaining time by which a run may overrun before it counts as stuck.
	copyLookWait     = 500 * time.Millisecond // Least time between two requests for a listing to learn a run's progress.
)

// startSpeculative starts a second run of each task whose run is slow, if the step allows it.
//
// A copy takes room from steps that wait, so it must be likely to end well before the first run.
func (s *Scheduler) startSpeculative(step *stepRun, queue *cyclamendyke.Queue) {
	if !step.spec.Speculative || step.spec.Gang || step.spec.LongRunning {
		return
	}
	for i, task := range step.tasks.All() {
		if step.done.Has(i) || task.crashes.Suspected() || len(task.runs) != 1 || !s.slow(task.runs[0]) {
			continue
		}
		slow := task.runs[0]
		if !s.team(step.job.spec.Team).admits(step.spec.Reserved()) {
			return
		}
		t := s.bestTarget(step, s.candidates(step, queue), slow.target.info.ID, nil)
		if t == nil || t == slow.target {
			s.wantMissingTickets(step, queue, 1, noFitCache{})
			continue
		}
		if s.copyWorthwhile(slow, t) && s.haveNotRestarted(t) {
			s.start(step, i, t, s.nextRunNumber())
		}
	}
}

// slow reports whether a run takes longer than expected.
func (s *Scheduler) slow(r *run) bool {
	limit := max(minSlowTime, time.Duration(slowFactor*float64(r.step.runTimeOn(r.target))))
	return s.now-r.startedAt >= limit
}

// copyWorthwhile reports whether a copy on a target is expected to end well before the run.
func (s *Scheduler) copyWorthwhile(r *run, t *target) bool {
	end, known := r.progress.expectedEnd()
	copyTime := r.step.paceTimeOn(t)
	if known && s.now < end {
		return end-s.now > time.Duration(copyGain*float64(copyTime))
	}
	stuckAt := r.startedAt + time.Duration(stuckFactor*float64(r.step.runTimeOn(r.target)))
	if known {
		stuckAt = max(stuckAt, end+time.Duration(overrunTolerance*float64(end-r.progress.at)))
	}
	return s.checkStuck(r, stuckAt)
}

// checkStuck reports whether a run has shown no progress by a given time. It requests a fresh listing to
// find out, and counts the run as stuck if none was sent within copyLookWait of that time.
func (s *Scheduler) checkStuck(r *run, at time.Duration) bool {
	if r.target.listingSentAt > at || s.now > at+copyLookWait {
		return true
	}
	if s.now > at || s.now-r.target.listingSentAt > copyLookWait {
		s.requestListing(r.target)
	}
	return false
}

// paceTimeOn estimates how long a task of the step runs on a target. Before any of them is done, it goes
// by the median pace of those that run, since all of them may take longer than their estimate.
func (step *stepRun) paceTimeOn(t *target) time.Duration {
	if len(step.measured) > 0 {
		return step.runTimeOn(t)
	}
	var times []float64
	for _, task := range step.tasks.All() {
		for _, r := range task.runs {
			if perPercent, known := r.progress.perPercent(); known {
				times = append(times, 100*float64(perPercent)*math.Exp(-r.target.speed.slowness))
			}
		}
	}
	if len(times) == 0 {
		return step.runTimeOn(t)
	}
	slices.Sort(times)
	return time.Duration(times[(len(times)-1)/2] * math.Exp(t.speed.slowness))
}
