package dispatch

import (
	"time"

	"cyclamendyke"
)

// The rules for starting a speculative second run of a slow task.
const (
	slowFactor   = 1.5                    // Multiple of the expected run time after which a run may be slow.
	minSlowTime  = 400 * time.Millisecond // A run counts as slow no earlier than this.
	copyGain     = 1.5                    // The run must be expected to go on for this multiple of what the copy takes.
	stuckFactor  = 2.0                    // Multiple of the expected run time after which a run without known progress counts as stuck.
	copyLookWait = 500 * time.Millisecond // Least time between two requests for a listing to learn a run's progress.
)

// startSpeculative starts a second run of each task whose run is slow, if the step allows it.
//
// A copy takes room from steps that wait, so it must be likely to end well before the first run.
func (s *Scheduler) startSpeculative(step *stepRun, queue *cyclamendyke.Queue) {
	if !step.spec.Speculative || step.spec.Gang || step.spec.LongRunning {
		return
	}
	for i := range step.tasks {
		task := &step.tasks[i]
		if task.done || len(task.runs) != 1 || !s.slow(task.runs[0]) {
			continue
		}
		slow := task.runs[0]
		if !s.team(step.job.spec.Team).admits(step.spec.Reserved()) {
			return
		}
		t := s.bestTarget(step, s.candidates(step, queue), slow.target.info.ID, nil)
		if t == nil || t == slow.target {
			s.requestMissingTickets(step, queue, 1, noFitCache{})
			continue
		}
		if s.copyWorthwhile(slow, t) {
			s.start(step, i, t, s.nextRunNumber())
		}
	}
}

// slow reports whether a run takes longer than expected.
func (s *Scheduler) slow(r *run) bool {
	limit := max(minSlowTime, time.Duration(slowFactor*float64(r.step.runTimeOn(r.target))))
	return s.now-r.startedAt >= limit
}

// copyWorthwhile reports whether a copy on a target is expected to end well before the run. If the
// run's progress is not known, it asks for a listing and counts the run as stuck only after a longer
// time.
func (s *Scheduler) copyWorthwhile(r *run, t *target) bool {
	copyTime := r.step.runTimeOn(t)
	if left, ok := r.progress.remaining(s.now); ok {
		return left > time.Duration(copyGain*float64(copyTime))
	}
	if s.now-r.target.listingSentAt > copyLookWait {
		s.requestListing(r.target)
	}
	return s.now-r.startedAt > time.Duration(stuckFactor*float64(r.step.runTimeOn(r.target)))
}
