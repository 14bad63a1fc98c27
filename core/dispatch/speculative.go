package dispatch

import (
	"time"

	"cyclamendyke"
)

// The rules for starting a speculative second run of a slow task.
const (
	slowFactor  = 2.0                    // Multiple of the estimate after which a run counts as slow.
	minSlowTime = 400 * time.Millisecond // A run counts as slow no earlier than this.
)

// startSpeculative starts a second run of each slow task, if the step allows speculative runs.
func (s *Scheduler) startSpeculative(step *stepRun, queue *cyclamendyke.Queue) {
	if !step.spec.Speculative || step.spec.Gang || step.spec.LongRunning {
		return
	}
	limit := max(minSlowTime, time.Duration(slowFactor*float64(step.spec.Estimate)))
	for i := range step.tasks {
		task := &step.tasks[i]
		if task.done || len(task.runs) != 1 || s.now-task.runs[0].startedAt < limit {
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
		s.start(step, i, t, s.nextRunNumber())
	}
}
