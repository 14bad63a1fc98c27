package dispatch

import "time"

// The timing of moving work off a target that leaves.
const (
	moveAhead = 700 * time.Millisecond // Before a target may be gone, on top of the longest stop.
)

// leaveSoon reports whether a leaving target may be gone before a stop is sure to have ended.
func (s *Scheduler) leaveSoon(t *target) bool {
	return s.now+s.cfg.Bounds.StopTimeout+moveAhead >= t.leaves
}

// noteLeaving takes in how long a leaving target still stays at least.
func (s *Scheduler) noteLeaving(t *target, remaining time.Duration) {
	if remaining > 0 {
		t.leaves = max(t.leaves, s.now+remaining)
	}
}

// moveOff stops a run on a leaving target if what it has done can go on elsewhere.
//
// Lasting tasks move as soon as there is room for them; others only if they
// would not end before the target may be gone and keep checkpoints.
func (s *Scheduler) moveOff(r *run) {
	t := r.target
	if !t.info.Draining || !t.listed || t.leaves == 0 || r.state != runRunning {
		return
	}
	queue := r.step.job.queue(s)
	if queue == nil {
		return
	}
	if r.step.spec.Lasting {
		if !s.leaveSoon(t) && s.best(r.step, s.candidates(r.step, queue), t.info.ID, nil) == nil {
			s.countRoom()
			s.askAgain(r.step, queue, 1, exhausted{})
			return
		}
		s.stop(r, "its target is leaving")
		return
	}
	if !r.step.spec.Checkpoints || !s.leaveSoon(t) || s.now+r.remaining(s.now) < t.leaves {
		return
	}
	for i := range r.step.tasks {
		if i != r.index && !r.step.spec.Gang {
			continue
		}
		for _, member := range r.step.tasks[i].runs {
			s.stop(member, "its target is leaving")
		}
	}
}
