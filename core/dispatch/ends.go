package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/crash"
)

// reserve counts a run against its target and its team.
func (s *Scheduler) reserve(r *run) {
	need := r.step.spec.Reserved()
	s.runListDirty = true
	r.target.runs[runKey{r.taskName(), r.number}] = r
	r.target.used = r.target.used.Add(need)
	team := s.team(r.step.job.spec.Team)
	team.used = team.used.Add(need)
	r.urgent = r.urgent || r.step.urgent(s)
	r.target.countRun(r, 1)
	r.step.job.runCount++
	r.step.addRun(r)
}

// release undoes reserve.
func (s *Scheduler) release(r *run) {
	key := runKey{r.taskName(), r.number}
	if r.target.runs[key] != r {
		return
	}
	s.runListStale = true
	s.rememberLateOrders(r)
	need := r.step.spec.Reserved()
	delete(r.target.runs, key)
	r.target.used = r.target.used.Sub(need)
	team := s.team(r.step.job.spec.Team)
	team.used = team.used.Sub(need)
	r.target.countRun(r, -1)
	r.step.job.runCount--
	r.step.removeRun(r)
	s.closeStep(r.step)
	s.closeIfOver(r.step.occ)
}

// applyEnd applies a target's report of the end of one run.
func (s *Scheduler) applyEnd(t *target, end cyclamendyke.EndReport) {
	step := s.findUnfinished(end.Task)
	if step == nil {
		return
	}
	r := t.runs[runKey{end.Task, end.Run}]
	if r == nil {
		r = &run{step: step, taskIndex: end.Task.Index, number: end.Run, target: t}
	}
	s.runEnded(r, end.Kind, end.Checkpoint, end.Sequence)
}

// runEnded applies the end of a run; a run that was never reserved only contributes its result.
//
// sequence is zero if the target has not reported the end, so that the run may never have started.
func (s *Scheduler) runEnded(r *run, kind cyclamendyke.EndKind, savedCheckpoint string, sequence int64) {
	s.release(r)
	runTime := time.Duration(0)
	if r.startedAt != 0 {
		runTime = s.now - r.startedAt
	}
	s.cfg.LogDecision(Decision{
		Event: EventEnded, Workflow: r.step.job.spec.ID, Task: r.taskName().String(), Target: r.target.info.ID,
		Run: r.number, Reason: string(kind), Count: int(sequence), Age: runTime,
	})
	step, j := r.step, r.step.job
	if runTime > crash.ForgetAfter {
		*step.crashHistory(r.taskIndex) = crash.History{}
	}
	if sequence != 0 {
		j.started = true
	}
	if sequence == 0 && r.confirmedAt == 0 && step.spec.Gang {
		s.stopGangOf(r, "a gang member did not start")
	}
	if step.done.Has(r.taskIndex) || j.state.IsFinal() {
		return
	}
	if savedCheckpoint != "" {
		step.tasks.At(r.taskIndex).checkpoint = savedCheckpoint
		if step.spec.Gang {
			step.shareCheckpoint(savedCheckpoint)
		}
		s.markDirty(j)
	}
	switch {
	case kind == cyclamendyke.EndDone && !step.spec.LongRunning:
		s.measure(r)
		s.taskDone(r)
	case kind == cyclamendyke.EndFailed:
		s.taskFailed(r)
	}
	if !step.done.Has(r.taskIndex) && !j.state.IsFinal() && step.released {
		s.active.add(step)
	}
}

// shareCheckpoint gives all members of a gang the same checkpoint.
func (step *stepRun) shareCheckpoint(savedCheckpoint string) {
	for i := range step.spec.Count {
		step.tasks.At(i).checkpoint = savedCheckpoint
	}
}

// taskDone marks a task as done, or all tasks of a gang, whose members end together.
func (s *Scheduler) taskDone(r *run) {
	r.target.failures = 0
	first, last := r.taskIndex, r.taskIndex
	if r.step.spec.Gang {
		first, last = 0, r.step.spec.Count-1
	}
	for i := first; i <= last; i++ {
		if !r.step.taskDone(i) {
			continue
		}
		if task := r.step.tasks.Peek(i); task != nil {
			task.checkpoint, task.failedRuns = "", nil
		}
		if !r.step.spec.Gang {
			for _, other := range slices.Clone(r.step.runsOf(i)) {
				s.stop(other, "another run of the task is done")
			}
		}
		r.step.forgetDone(i)
	}
	s.markDirty(r.step.job)
	if r.step.isDone() {
		s.stepDone(r.step)
	}
}

func (s *Scheduler) stepDone(step *stepRun) {
	s.active.remove(step)
	s.dropClaims(step)
	s.dropTickets(step)
	step.learnSpeeds()
	step.enterPhase(s.now, phaseNone)
	occ, j := step.occ, step.job
	occ.stepDone(step.index)
	s.closeStep(step)
	s.occurrenceChanged(occ)
	if j.isComplete() {
		s.finish(j, cyclamendyke.WorkflowCompleted)
	}
}

// taskFailed counts a failure, and fails the workflow after the last attempt.
func (s *Scheduler) taskFailed(r *run) {
	s.countTargetFailure(r)
	task := r.step.tasks.At(r.taskIndex)
	task.avoidTarget = r.target.info.ID
	if r.step.spec.LongRunning {
		return
	}
	failedRuns := &task.failedRuns
	if r.step.spec.Gang {
		failedRuns = &r.step.failedRuns
	}
	if slices.Contains(*failedRuns, r.number) {
		return
	}
	*failedRuns = append(*failedRuns, r.number)
	s.markDirty(r.step.job)
	if queue := r.step.job.queue(s); queue != nil && len(*failedRuns) >= queue.MaxAttempts {
		s.finish(r.step.job, cyclamendyke.WorkflowFailed)
	}
}

// The rules for avoiding a target on which tasks of different workflows fail one after the other.
const (
	maxTargetFailures = 2 // Consecutive failures, as counted in target.failures.
	failureBackoff    = 4 * time.Second
)

// countTargetFailure counts a failure against the run's target, and blocks the target after too
// many.
func (s *Scheduler) countTargetFailure(r *run) {
	t := r.target
	if t.lastFailedWorkflow == r.step.job.spec.ID {
		return
	}
	t.lastFailedWorkflow = r.step.job.spec.ID
	t.failures++
	if t.failures >= maxTargetFailures {
		t.blockedUntil = max(t.blockedUntil, s.now+failureBackoff)
		s.cfg.LogDecision(Decision{Event: EventTargetAvoided, Target: t.info.ID, Count: t.failures, Reason: ReasonFailures})
	}
}
