package dispatch

import (
	"time"

	"cyclamendyke"
)

// The rules for starting a copy beside a slow run.
const (
	slowFactor = 2.0 // Of the estimate, after which a run counts as slow.
	slowLeast  = 400 * time.Millisecond
)

// copySlow starts copies of tasks that run for much longer than estimated, where the step allows copies.
func (s *Scheduler) copySlow(step *stepRun, queue *cyclamendyke.Queue) {
	if !step.spec.Speculative || step.spec.Gang || step.spec.Lasting {
		return
	}
	limit := max(slowLeast, time.Duration(slowFactor*float64(step.spec.Estimate)))
	for i := range step.tasks {
		task := &step.tasks[i]
		if task.done || len(task.runs) != 1 || s.now-task.runs[0].started < limit {
			continue
		}
		slow := task.runs[0]
		if !s.team(step.job.spec.Team).admits(step.spec.Reserved()) {
			return
		}
		t := s.best(step, s.candidates(step, queue), slow.target.info.ID, nil)
		if t == nil || t == slow.target {
			s.askAgain(step, queue, 1, exhausted{})
			continue
		}
		s.start(step, i, t, s.nextRun())
	}
}
