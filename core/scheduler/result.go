package scheduler

import (
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
)

const (
	restartDelayMin = time.Second
	restartDelayMax = time.Minute // Also how long a service must run for its delay to start over.
)

func (s *Scheduler) takeResults(w *worker, results []cyclamendyke.TaskResult) {
	for _, result := range results {
		result.Worker = w.vm.Name
		if t := w.tasks[result.Task]; t != nil && t.state != taskHeld {
			s.finish(t, result)
			continue
		}
		if s.jobs[result.Task.Request] == nil {
			s.keepStray(result)
		} else {
			s.takeLateResult(result)
		}
	}
}

// takeLateResult counts a result of a task that ran before this term and was not adopted.
func (s *Scheduler) takeLateResult(result cyclamendyke.TaskResult) {
	j := s.jobs[result.Task.Request]
	if j.state != jobAwaitingBarrier {
		return
	}
	j.mayHaveStarted = true
	s.restoreResult(j, result)
	s.recount(j)
}

// finish takes the end of a task from its worker's report.
func (s *Scheduler) finish(t *task, result cyclamendyke.TaskResult) {
	j, w := t.job, t.worker
	s.charge(t)
	s.release(t)
	s.taskEvent(cyclamendyke.EventFinished, t, fmt.Sprintf("exit code %d", result.ExitCode))
	if !result.Stopped {
		s.judge(w, j, result.ExitCode == 0)
	}
	if j.state == jobEnded {
		s.chargeEnded(t)
		return
	}
	s.settle(t, result)
	s.reindex(w)
	if !s.complete(j) {
		s.recordProgress(j)
	}
}

// settle decides what follows from a result: it is kept, or the task waits again.
func (s *Scheduler) settle(t *task, result cyclamendyke.TaskResult) {
	j := t.job
	failed := result.ExitCode != 0
	switch {
	case j.gangBroken:
		s.mendGang(j)
	case j.spec.NotRepeatable:
		j.doubt = j.doubt || result.Stopped
		s.keepResult(j, result)
	case j.policy.AllAtOnce() && (result.Stopped || failed):
		s.gangTaskFailed(t, result)
	case j.policy.Restarts():
		s.restartService(t, result)
	case result.Stopped:
		s.requeue(j, t.id.Index)
	case failed:
		s.taskFailed(t, result)
	default:
		s.keepResult(j, result)
	}
}

func (s *Scheduler) keepResult(j *job, result cyclamendyke.TaskResult) {
	j.results = append(j.results, result)
	if result.ExitCode == 0 && !result.Stopped {
		j.done++
		return
	}
	j.failed++
}

func (s *Scheduler) requeue(j *job, index int) {
	j.waiting.add(index)
	j.waitingSince = s.now
	s.recount(j)
	s.enqueue(j)
}

// restartService lets a service's task start again, after a growing delay if it keeps ending early.
func (s *Scheduler) restartService(t *task, result cyclamendyke.TaskResult) {
	j := t.job
	if result.Stopped {
		s.requeue(j, t.id.Index)
		return
	}
	j.failed++
	if s.now.Sub(t.since) >= restartDelayMax {
		j.restartDelay = 0
	}
	j.restartDelay = min(max(2*j.restartDelay, restartDelayMin), restartDelayMax)
	j.notBefore = s.now.Add(j.restartDelay)
	s.jobEvent(cyclamendyke.EventBackOff, &j.spec, j.restartDelay.String())
	j.waiting.add(t.id.Index)
	j.waitingSince = s.now
	s.recount(j)
	s.timers.set(j.notBefore, func(time.Time) { s.enqueue(j) })
}

// lose ends a task that is certainly over and of which no result will come.
func (s *Scheduler) lose(t *task, cause string) {
	j := t.job
	held := t.state == taskHeld
	s.charge(t)
	s.release(t)
	s.taskEvent(cyclamendyke.EventStopped, t, cause)
	switch {
	case j.state == jobEnded:
		s.chargeEnded(t)
		return
	case held:
		s.requeue(j, t.id.Index)
	case j.gangBroken:
		s.mendGang(j)
	case j.spec.NotRepeatable:
		j.doubt = true
	case j.policy.AllAtOnce():
		s.failGang(j)
	default:
		s.requeue(j, t.id.Index)
	}
	s.complete(j)
}

// complete ends a job of which nothing waits or runs any more, and reports whether it has ended.
func (s *Scheduler) complete(j *job) bool {
	if j.state == jobEnded {
		return true
	}
	if j.state != jobActive || j.orphan || j.waiting.count > 0 || len(j.tasks) > 0 {
		return false
	}
	outcome := cyclamendyke.Outcome{Verdict: cyclamendyke.VerdictRan}
	if j.doubt {
		outcome = s.interrupted(j, cyclamendyke.ReasonWorkerLost, "Some task may have run without a result.")
	}
	s.end(j, outcome)
	return true
}

// interrupted returns the outcome of a job that ends before all its results are in.
func (s *Scheduler) interrupted(j *job, reason cyclamendyke.Reason, detail string) cyclamendyke.Outcome {
	verdict := cyclamendyke.VerdictMayHaveRun
	if j.notRun() {
		verdict = cyclamendyke.VerdictNotRun
	}
	return cyclamendyke.Outcome{Verdict: verdict, Reason: reason, Detail: detail}
}

// end gives a job its outcome; a kept one is called not-run only once the journal has that.
func (s *Scheduler) end(j *job, outcome cyclamendyke.Outcome) {
	outcome.Request = j.spec.Request
	mayStartAgain := j.kept && !j.spec.NotRepeatable && outcome.Verdict == cyclamendyke.VerdictNotRun
	if !mayStartAgain {
		s.conclude(j, outcome)
		return
	}
	s.dropHold(j)
	for _, w := range s.releaseHolds(j) {
		s.wake(w)
	}
	j.ending = outcome
	j.state = jobClosing
	j.waiting = spans{}
	s.recount(j)
	record := j.record()
	record.Outcome = outcome
	s.emit(cyclamendyke.PersistCommand{Record: record, AwaitResult: true})
}

// conclude answers a request once and for all; what still runs of it is stopped.
func (s *Scheduler) conclude(j *job, outcome cyclamendyke.Outcome) {
	s.assertAnswer(j, outcome)
	outcome.Results = slices.SortedFunc(slices.Values(j.results), func(a, b cyclamendyke.TaskResult) int {
		return compareTasks(a.Task, b.Task)
	})
	closing := j.state == jobClosing
	j.outcome = outcome
	j.results = outcome.Results
	s.retire(j)
	s.emit(cyclamendyke.AnswerCommand{Outcome: outcome})
	s.jobEvent(cyclamendyke.EventAnswered, &j.spec, string(outcome.Verdict))
	s.account(j, 1, j.coreSeconds)
	if j.kept && !closing {
		s.emit(cyclamendyke.PersistCommand{Record: j.record()})
	}
	if len(j.tasks) > 0 {
		s.after(0, func() { s.stopAll(j) })
	}
}

// retire takes a job with a final outcome out of what waits and remembers it for a while.
func (s *Scheduler) retire(j *job) {
	s.dropHold(j)
	for _, w := range s.releaseHolds(j) {
		s.wake(w)
	}
	j.state = jobEnded
	j.endedAt = s.now
	j.waiting = spans{}
	s.unfinished--
	s.recount(j)
	s.finished = append(s.finished, j)
}

// forgetFinished drops the oldest outcomes once there are too many or they are too old.
func (s *Scheduler) forgetFinished() {
	for len(s.finished) > 0 {
		oldest := s.finished[0]
		tooMany := len(s.finished) > s.cfg.RememberJobs
		tooOld := s.now.Sub(oldest.endedAt) > s.cfg.RememberFor
		if !tooMany && !tooOld {
			return
		}
		s.finished[0] = nil
		s.finished = s.finished[1:]
		if len(oldest.tasks) > 0 {
			oldest.endedAt = s.now
			s.finished = append(s.finished, oldest)
			return
		}
		delete(s.jobs, oldest.spec.Request)
	}
}

// charge counts what a task took for as long as it had its place.
func (s *Scheduler) charge(t *task) {
	j := t.job
	if t.state == taskHeld {
		return
	}
	const milli = 1000
	j.coreSeconds += float64(t.reserved.Cores) / milli * s.now.Sub(t.since).Seconds()
	if !slices.Contains(j.ranOn, t.worker.vm.Name) {
		j.ranOn = append(j.ranOn, t.worker.vm.Name)
	}
}

// chargeEnded accounts for a task that outlived its job's answer.
func (s *Scheduler) chargeEnded(t *task) {
	j := t.job
	if j.orphan || len(j.tasks) > 0 {
		return
	}
	s.account(j, 0, j.coreSeconds-j.charged)
}

func (s *Scheduler) account(j *job, count int, coreSeconds float64) {
	j.charged = j.coreSeconds
	s.emit(cyclamendyke.AccountCommand{Record: cyclamendyke.AccountRecord{
		At:          s.now,
		Request:     j.spec.Request,
		Team:        j.spec.Team,
		Route:       j.spec.Route,
		Verdict:     j.outcome.Verdict,
		Reason:      j.outcome.Reason,
		Tasks:       j.spec.Tasks,
		Count:       count,
		CoreSeconds: coreSeconds,
		Workers:     slices.Sorted(slices.Values(j.ranOn)),
	}})
}
