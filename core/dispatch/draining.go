package dispatch

import "time"

// The timing of stopping runs on a draining target.
const (
	stopMargin = 700 * time.Millisecond // Least time from the end of the longest stop until the target may be gone.
)

// mayLeaveSoon reports whether a run on a draining target must be stopped now to end before the
// target may be gone.
func (s *Scheduler) mayLeaveSoon(t *target) bool {
	return s.now+s.cfg.Bounds.StopTimeout+stopMargin >= t.mayLeaveAt
}

// setMayLeaveAt updates mayLeaveAt from a draining target's minimum time left; zero means unknown.
func (s *Scheduler) setMayLeaveAt(t *target, remaining time.Duration) {
	if remaining > 0 {
		t.mayLeaveAt = max(t.mayLeaveAt, s.now+remaining)
	}
}

// stopOnDraining stops a run on a draining target if the task can continue elsewhere.
//
// A long-running task stops as soon as another target has room for it, or when the target may leave
// soon. Any other task stops only when the target may leave soon, and only if it keeps checkpoints
// and is not expected to end before that.
func (s *Scheduler) stopOnDraining(r *run) {
	t := r.target
	if !t.info.Draining || !t.listed || t.mayLeaveAt == 0 || r.state != runRunning {
		return
	}
	queue := r.step.job.queue(s)
	if queue == nil {
		return
	}
	if r.step.spec.LongRunning {
		if !s.mayLeaveSoon(t) && s.bestTarget(r.step, s.candidates(r.step, queue), t.info.ID, nil) == nil {
			s.projectFree()
			s.wantMissingTickets(r.step, queue, 1, noFitCache{})
			return
		}
		s.stop(r, "target is draining")
		return
	}
	if !r.step.spec.Checkpoints || !s.mayLeaveSoon(t) || s.now+r.remaining(s.now) < t.mayLeaveAt {
		return
	}
	if !r.step.spec.Gang {
		for _, other := range r.step.runsOf(r.taskIndex) {
			s.stop(other, "target is draining")
		}
		return
	}
	for _, member := range r.step.tasks.All() {
		for _, other := range member.runs {
			s.stop(other, "target is draining")
		}
	}
}
