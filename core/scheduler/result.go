package scheduler

import (
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
)

const (
	minRestartDelay = time.Second
	maxRestartDelay = time.Minute // A service's task that ran this long restarts with the minimum delay again.
)

func (s *Scheduler) handleResults(w *worker, results []cyclamendyke.TaskResult) {
	for _, result := range results {
		result.Worker = w.vm.Name
		if t := w.tasks[result.Task]; t != nil && t.state != taskReserved {
			s.finishTask(t, result)
			continue
		}
		if s.jobs[result.Task.Request] == nil {
			s.keepOrphanResult(result)
		} else {
			s.handleLateResult(result)
		}
	}
}

// handleLateResult counts the result of a task from an earlier term that was not adopted, if the
// job still waits for the barrier.
func (s *Scheduler) handleLateResult(result cyclamendyke.TaskResult) {
	j := s.jobs[result.Task.Request]
	if j.state != jobAwaitingBarrier {
		return
	}
	j.mayHaveStarted = true
	s.restoreResult(j, result)
	s.updateWaitingTotals(j)
}

// finishTask handles a task's result from its worker's report: it frees the task's resources,
// applies the result, and ends the job if that completes it.
func (s *Scheduler) finishTask(t *task, result cyclamendyke.TaskResult) {
	j, w := t.job, t.worker
	s.addCoreSeconds(t)
	s.release(t)
	s.emitTaskEvent(cyclamendyke.EventFinished, t, fmt.Sprintf("exit code %d", result.ExitCode))
	if !result.Stopped {
		s.recordTaskEnd(w, j, result.ExitCode == 0)
	}
	if j.state == jobEnded {
		s.accountLateCoreSeconds(t)
		return
	}
	s.applyResult(t, result)
	s.reindex(w)
	if !s.endIfComplete(j) {
		s.recordProgress(j)
	}
}

// applyResult keeps a result, or queues the task or its gang again.
func (s *Scheduler) applyResult(t *task, result cyclamendyke.TaskResult) {
	j := t.job
	failed := result.ExitCode != 0
	switch {
	case j.gangStopping:
		s.requeueStoppedGang(j)
	case j.spec.NotRepeatable:
		j.outcomeUnknown = j.outcomeUnknown || result.Stopped
		s.addResult(j, result)
	case j.policy.AllOrNothing() && (result.Stopped || failed):
		s.handleGangTaskFailure(t, result)
	case j.policy.Restarts():
		s.restartService(t, result)
	case result.Stopped:
		s.requeue(j, t.id.Index)
	case failed:
		s.handleTaskFailure(t, result)
	default:
		s.addResult(j, result)
	}
}

func (s *Scheduler) addResult(j *job, result cyclamendyke.TaskResult) {
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
	s.updateWaitingTotals(j)
	s.enqueue(j)
}

// restartService queues a service's task again, after a growing delay if it ended by itself.
func (s *Scheduler) restartService(t *task, result cyclamendyke.TaskResult) {
	j := t.job
	if result.Stopped {
		s.requeue(j, t.id.Index)
		return
	}
	j.failed++
	if s.now.Sub(t.placedAt) >= maxRestartDelay {
		j.restartDelay = 0
	}
	j.restartDelay = min(max(2*j.restartDelay, minRestartDelay), maxRestartDelay)
	j.notBefore = s.now.Add(j.restartDelay)
	s.emitJobEvent(cyclamendyke.EventBackOff, &j.spec, j.restartDelay.String())
	j.waiting.add(t.id.Index)
	j.waitingSince = s.now
	s.updateWaitingTotals(j)
	s.timers.set(j.notBefore, func(time.Time) { s.enqueue(j) })
}

// markLost removes a task that has certainly ended or never started and whose result will never
// arrive, and queues it or its gang again unless a non-repeatable task may have run.
func (s *Scheduler) markLost(t *task, cause string) {
	j := t.job
	neverStarted := t.state == taskReserved
	s.addCoreSeconds(t)
	s.release(t)
	s.emitTaskEvent(cyclamendyke.EventStopped, t, cause)
	switch {
	case j.state == jobEnded:
		s.accountLateCoreSeconds(t)
		return
	case neverStarted:
		s.requeue(j, t.id.Index)
	case j.gangStopping:
		s.requeueStoppedGang(j)
	case j.spec.NotRepeatable:
		j.outcomeUnknown = true
	case j.policy.AllOrNothing():
		s.restartGang(j)
	default:
		s.requeue(j, t.id.Index)
	}
	s.endIfComplete(j)
}

// endIfComplete ends a job that has no waiting or running tasks left, and reports whether it has ended.
func (s *Scheduler) endIfComplete(j *job) bool {
	if j.state == jobEnded {
		return true
	}
	if j.state != jobActive || j.orphan || j.waiting.count > 0 || len(j.tasks) > 0 {
		return false
	}
	outcome := cyclamendyke.Outcome{Verdict: cyclamendyke.VerdictRan}
	if j.outcomeUnknown {
		outcome = s.interruptedOutcome(j, cyclamendyke.ReasonWorkerLost, "Some task may have run without a result.")
	}
	s.endJob(j, outcome)
	return true
}

// interruptedOutcome returns the outcome of a job that ends before all its results have arrived.
func (s *Scheduler) interruptedOutcome(j *job, reason cyclamendyke.Reason, detail string) cyclamendyke.Outcome {
	verdict := cyclamendyke.VerdictMayHaveRun
	if j.notRun() {
		verdict = cyclamendyke.VerdictNotRun
	}
	return cyclamendyke.Outcome{Verdict: verdict, Reason: reason, Detail: detail}
}

// endJob ends a job with an outcome; a journaled job is answered not-run only after the journal has stored that.
func (s *Scheduler) endJob(j *job, outcome cyclamendyke.Outcome) {
	outcome.Request = j.spec.Request
	needsFinalRecord := j.journaled && !j.spec.NotRepeatable && outcome.Verdict == cyclamendyke.VerdictNotRun
	if !needsFinalRecord {
		s.finalizeJob(j, outcome)
		return
	}
	s.clearHold(j)
	for _, w := range s.unreserveGang(j) {
		s.wake(w)
	}
	j.pendingOutcome = outcome
	j.state = jobAwaitingFinalRecord
	j.waiting = indexSet{}
	s.updateWaitingTotals(j)
	record := j.record()
	record.Outcome = outcome
	s.emit(cyclamendyke.PersistCommand{Record: record, AwaitResult: true})
}

// finalizeJob sends a request's final answer; the next Tick stops the job's running tasks.
func (s *Scheduler) finalizeJob(j *job, outcome cyclamendyke.Outcome) {
	s.assertAnswer(j, outcome)
	outcome.Results = slices.SortedFunc(slices.Values(j.results), func(a, b cyclamendyke.TaskResult) int {
		return compareTaskIDs(a.Task, b.Task)
	})
	finalRecordSent := j.state == jobAwaitingFinalRecord
	j.outcome = outcome
	j.results = outcome.Results
	s.markEnded(j)
	s.emit(cyclamendyke.AnswerCommand{Outcome: outcome})
	s.emitJobEvent(cyclamendyke.EventAnswered, &j.spec, string(outcome.Verdict))
	s.emitAccountRecord(j, 1, j.coreSeconds)
	if j.journaled && !finalRecordSent {
		s.emit(cyclamendyke.PersistCommand{Record: j.record()})
	}
	if len(j.tasks) > 0 {
		s.after(0, func() { s.stopAll(j) })
	}
}

// markEnded drops the job's waiting tasks and holds, and keeps its outcome until pruneFinished deletes it.
func (s *Scheduler) markEnded(j *job) {
	s.clearHold(j)
	for _, w := range s.unreserveGang(j) {
		s.wake(w)
	}
	j.state = jobEnded
	j.endedAt = s.now
	j.waiting = indexSet{}
	s.unfinishedCount--
	s.updateWaitingTotals(j)
	s.finished = append(s.finished, j)
}

// pruneFinished deletes the oldest outcomes beyond the limits on their number and age, except
// those of jobs that still have running tasks.
func (s *Scheduler) pruneFinished() {
	for len(s.finished) > 0 {
		oldest := s.finished[0]
		tooMany := len(s.finished) > s.cfg.MaxFinishedJobs
		tooOld := s.now.Sub(oldest.endedAt) > s.cfg.FinishedJobRetention
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

// addCoreSeconds adds the core seconds of a task that had been started to its job's total.
func (s *Scheduler) addCoreSeconds(t *task) {
	j := t.job
	if t.state == taskReserved {
		return
	}
	const milliCoresPerCore = 1000
	j.coreSeconds += float64(t.reserved.Cores) / milliCoresPerCore * s.now.Sub(t.placedAt).Seconds()
	if !slices.Contains(j.ranOn, t.worker.vm.Name) {
		j.ranOn = append(j.ranOn, t.worker.vm.Name)
	}
}

// accountLateCoreSeconds accounts for the core seconds used after the job's answer, once its last task has ended.
func (s *Scheduler) accountLateCoreSeconds(t *task) {
	j := t.job
	if j.orphan || len(j.tasks) > 0 {
		return
	}
	s.emitAccountRecord(j, 0, j.coreSeconds-j.accountedCoreSeconds)
}

func (s *Scheduler) emitAccountRecord(j *job, count int, coreSeconds float64) {
	j.accountedCoreSeconds = j.coreSeconds
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
