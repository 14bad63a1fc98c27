package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
)

// The timing of stops and of runs that do not move.
const (
	stopRetry    = 250 * time.Millisecond
	stopListing  = 150 * time.Millisecond // After the longest stop, when a target is asked whether the run has ended.
	frozenFactor = 1.0                    // Of the estimate without progress, after which a run is stopped.
	frozenLeast  = 2500 * time.Millisecond
)

// reserve counts a run against its target and its team.
func (s *Scheduler) reserve(r *run) {
	need := r.step.spec.Reserved()
	r.target.runs[runKey{r.name(), r.number}] = r
	r.target.used = r.target.used.Add(need)
	team := s.team(r.step.job.spec.Team)
	team.running = team.running.Add(need)
	task := &r.step.tasks[r.index]
	task.runs = append(task.runs, r)
}

// release gives back what a run held.
func (s *Scheduler) release(r *run) {
	key := runKey{r.name(), r.number}
	if r.target.runs[key] != r {
		return
	}
	need := r.step.spec.Reserved()
	delete(r.target.runs, key)
	r.target.used = r.target.used.Sub(need)
	team := s.team(r.step.job.spec.Team)
	team.running = team.running.Sub(need)
	task := &r.step.tasks[r.index]
	task.runs = slices.DeleteFunc(task.runs, func(other *run) bool { return other == r })
}

// takeEnd takes in one end that a target lists.
func (s *Scheduler) takeEnd(t *target, end cyclamendyke.EndReport) {
	step := s.find(end.Task)
	if step == nil {
		return
	}
	r := t.runs[runKey{end.Task, end.Run}]
	if r == nil {
		r = &run{step: step, index: end.Task.Index, number: end.Run, target: t}
	}
	s.ended(r, end.How, end.Checkpoint, end.Sequence)
}

// ended takes in that a run is over; a run that was not counted only leaves its result.
func (s *Scheduler) ended(r *run, how cyclamendyke.EndKind, saved string, sequence int64) {
	s.release(r)
	ran := time.Duration(0)
	if r.started != 0 {
		ran = s.now - r.started
	}
	s.cfg.Decision(Decision{
		Event: EventEnded, Workflow: r.step.job.spec.ID, Task: r.name().String(), Target: r.target.info.ID,
		Run: r.number, Reason: string(how), Count: int(sequence), Age: ran,
	})
	step, j := r.step, r.step.job
	if sequence != 0 {
		j.began = true
	}
	task := &step.tasks[r.index]
	if task.done || j.state.IsFinal() {
		return
	}
	if saved != "" {
		task.checkpoint = saved
		if step.spec.Gang {
			step.shareCheckpoint(saved)
		}
		s.keep(j)
	}
	switch {
	case how == cyclamendyke.EndDone && !step.spec.Lasting:
		s.done(r)
	case how == cyclamendyke.EndFailed:
		s.failed(r)
	}
	if !task.done && !j.state.IsFinal() && step.released {
		s.active.add(step)
	}
}

// shareCheckpoint gives all members of a gang the same checkpoint.
func (step *stepRun) shareCheckpoint(saved string) {
	for i := range step.tasks {
		step.tasks[i].checkpoint = saved
	}
}

// done notes that a task is done, or all tasks of a gang, whose members end together.
func (s *Scheduler) done(r *run) {
	r.target.failures = 0
	first, last := r.index, r.index
	if r.step.spec.Gang {
		first, last = 0, len(r.step.tasks)-1
	}
	for i := first; i <= last; i++ {
		task := &r.step.tasks[i]
		if task.done {
			continue
		}
		task.done = true
		task.checkpoint = ""
		task.fails = nil
		r.step.done++
		if !r.step.spec.Gang {
			for _, other := range slices.Clone(task.runs) {
				s.stop(other, "a copy is done")
			}
		}
	}
	s.keep(r.step.job)
	if r.step.done == len(r.step.tasks) {
		s.stepDone(r.step)
	}
}

func (s *Scheduler) stepDone(step *stepRun) {
	s.active.remove(step)
	s.dropClaims(step)
	occ, j := step.occ, step.job
	occ.done++
	if occ.done < len(occ.steps) {
		s.releaseSteps(occ)
		return
	}
	for _, other := range j.occurrences {
		if other.done < len(other.steps) {
			return
		}
	}
	s.finish(j, cyclamendyke.WorkflowCompleted)
}

// failed counts a failure, and fails the workflow after the last attempt.
func (s *Scheduler) failed(r *run) {
	s.blame(r)
	task := &r.step.tasks[r.index]
	task.avoid = r.target.info.ID
	if r.step.spec.Lasting {
		return
	}
	fails := &task.fails
	if r.step.spec.Gang {
		fails = &r.step.fails
	}
	if slices.Contains(*fails, r.number) {
		return
	}
	*fails = append(*fails, r.number)
	s.keep(r.step.job)
	if queue := r.step.job.queue(s); queue != nil && len(*fails) >= queue.MaxAttempts {
		s.finish(r.step.job, cyclamendyke.WorkflowFailed)
	}
}

// The rules for avoiding a target that fails what others could run.
const (
	blameLimit = 2 // Failures of different workflows in a row.
	blameTime  = 4 * time.Second
)

// blame counts a failure against its target.
func (s *Scheduler) blame(r *run) {
	t := r.target
	if t.failedBy == r.step.job.spec.ID {
		return
	}
	t.failedBy = r.step.job.spec.ID
	t.failures++
	if t.failures >= blameLimit {
		t.blocked = max(t.blocked, s.now+blameTime)
		s.cfg.Decision(Decision{Event: EventBenched, Target: t.info.ID, Count: t.failures, Reason: "failures in a row"})
	}
}

// stop orders the end of a run.
func (s *Scheduler) stop(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	s.cfg.Decision(Decision{
		Event: EventStopped, Workflow: r.step.job.spec.ID, Task: r.name().String(), Target: r.target.info.ID,
		Run: r.number, Reason: reason,
	})
	s.sendStop(r)
}

func (s *Scheduler) sendStop(r *run) {
	r.stopping = true
	r.stopSent = s.now
	s.emit(StopCommand{Target: r.target.info, Task: r.name(), Run: r.number})
}

// Stopped takes in the answer to a stop; kind is empty if the target accepted it.
func (s *Scheduler) Stopped(info cyclamendyke.Target, name cyclamendyke.TaskName, number int64, kind cyclamendyke.Kind) {
	t := s.answered(info.ID, kind)
	if t == nil {
		return
	}
	r := t.runs[runKey{name, number}]
	if r == nil || r.state != runStopping {
		return
	}
	r.stopping = false
	switch kind {
	case "":
		r.stopped = s.now
		if r.confirmed == 0 {
			s.look(t)
		}
	case cyclamendyke.KindNotTheTarget:
		s.ended(r, cyclamendyke.EndLapsed, r.checkpoint, 0)
	}
}

// watchRun repeats what had no answer, and stops a run that does not move.
func (s *Scheduler) watchRun(r *run) {
	switch r.state {
	case runStopping:
		switch {
		case r.stopped == 0 && !r.stopping && s.now >= r.stopSent+stopRetry:
			s.sendStop(r)
		case r.stopped != 0 && s.now >= r.stopped+s.cfg.Bounds.StopTimeout+stopListing:
			s.look(r.target)
		}
	case runRunning:
		if s.frozen(r) {
			s.stop(r, "no progress")
			r.step.tasks[r.index].avoid = r.target.info.ID
			s.blame(r)
		}
	}
}

// frozen reports whether a run's percentage has stood still for far longer than it should.
func (s *Scheduler) frozen(r *run) bool {
	spec := r.step.spec
	if spec.Lasting || spec.Filler || r.target.failing || r.confirmed == 0 {
		return false
	}
	limit := max(frozenLeast, time.Duration(frozenFactor*float64(spec.Estimate)))
	return r.target.listedAt-r.moved > limit
}
