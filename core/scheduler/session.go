package scheduler

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/invariant"
)

// maxLeaseLifetime returns how long a worker's tasks can keep running after the last renewal that
// may have reached it.
func (s *Scheduler) maxLeaseLifetime() time.Duration {
	return s.cfg.TaskTTL + s.cfg.ClockMargin
}

func (s *Scheduler) handleClaimReport(report cyclamendyke.WorkerReport, sent time.Time) {
	w := s.workers[report.Worker]
	if w == nil {
		return
	}
	w.claimed = true
	w.incarnation = report.Incarnation
	w.sequence = report.Sequence
	s.setCapacity(w, report.Capacity)
	s.markReachable(w, sent)
	s.handleResults(w, report.Finished)
	listed := make(map[cyclamendyke.TaskID]bool, len(report.Running))
	for _, running := range report.Running {
		listed[running.Task] = true
		s.handleListedTask(w, running)
	}
	for _, t := range w.tasksInOrder() {
		if !listed[t.id] {
			s.handleUnlistedTask(t, sent)
		}
	}
	s.handleUsage(w, report.Usage)
	s.reindex(w)
	s.checkBarrier()
}

func (s *Scheduler) handleRenewal(report cyclamendyke.WorkerReport, sent time.Time) {
	w := s.workers[report.Worker]
	if w == nil {
		return
	}
	if report.Sequence < w.sequence {
		return
	}
	w.sequence = report.Sequence
	s.setCapacity(w, report.Capacity)
	wasUnreachable := !w.unreachableSince.IsZero()
	s.markReachable(w, sent)
	if wasUnreachable {
		s.requestListing(w) // It may have restarted while it was unreachable.
	}
	s.handleResults(w, report.Finished)
	s.handleUsage(w, report.Usage)
	s.reindex(w)
}

// markReachable records the answer to a call sent at sent and marks the worker as reachable.
func (s *Scheduler) markReachable(w *worker, sent time.Time) {
	if sent.After(w.lastContact) {
		w.lastContact = sent
	}
	if w.unreachableSince.IsZero() {
		return
	}
	w.unreachableSince = time.Time{}
	if w.renewalsEnded {
		w.renewalsEnded = false
		s.emit(cyclamendyke.ClaimCommand{VM: w.vm})
	}
	s.emitWorkerEvent(cyclamendyke.EventWorkerBack, w, "")
}

// handleUnreachable stops placing tasks on an unreachable worker; after a grace period its
// renewals end, so that its leases lapse by a known time.
func (s *Scheduler) handleUnreachable(name cyclamendyke.WorkerName) {
	w := s.workers[name]
	if w == nil || !w.unreachableSince.IsZero() {
		return
	}
	w.unreachableSince = s.now
	s.releaseHoldsOn(w)
	s.reindex(w)
	s.emitWorkerEvent(cyclamendyke.EventWorkerLost, w, "no answer to renewals")
	if !w.claimed && !s.barrier.passed {
		s.endRenewals(w)
		return
	}
	since := w.unreachableSince
	s.after(s.cfg.UnreachableGrace, func() {
		if s.workers[name] == w && w.unreachableSince.Equal(since) && len(w.tasks) > 0 {
			s.endRenewals(w)
		}
	})
}

// endRenewals ends all calls that could extend the leases of the worker's tasks, and claims the
// worker again once the leases have lapsed. If the worker is not claimed yet, it also moves the
// barrier's deadline to that time.
func (s *Scheduler) endRenewals(w *worker) {
	w.renewalsEnded = true
	if !s.barrier.passed && !w.claimed {
		s.barrier.deadline = s.now.Add(s.maxLeaseLifetime())
	}
	s.emit(cyclamendyke.EndRenewalsCommand{Worker: w.vm.Name})
	since := w.unreachableSince
	s.after(s.maxLeaseLifetime(), func() {
		if s.workers[w.vm.Name] != w || !w.unreachableSince.Equal(since) || !w.renewalsEnded {
			return
		}
		if !w.claimed && !s.barrier.passed {
			return // passBarrier claims it again.
		}
		w.renewalsEnded = false
		w.claimed = false
		s.markTasksLost(w, "the worker's lease has lapsed")
		s.reindex(w)
		if w.absentSince.IsZero() {
			s.emit(cyclamendyke.ClaimCommand{VM: w.vm})
		}
	})
}

// markTasksLost marks every task of a worker as lost; it is called only when none can still be running.
func (s *Scheduler) markTasksLost(w *worker, cause string) {
	for _, t := range w.tasksInOrder() {
		s.markLost(t, cause)
	}
}

// handleListedTask confirms or adopts a task that a worker reports as running.
func (s *Scheduler) handleListedTask(w *worker, running cyclamendyke.RunningTask) {
	j := s.jobs[running.Task.Request]
	if j == nil {
		j = s.adoptJob(running.Job)
	}
	t := j.tasks[running.Task.Index]
	switch {
	case t != nil && t.worker == w:
		s.confirmStart(t)
	case t != nil:
		s.assert(false, invariant.OnePlace, "%s on %s and %s", t.id, t.worker.vm.Name, w.vm.Name)
		s.sendStop(w, running.Task, cyclamendyke.StopKill)
	default:
		s.adopt(w, j, running)
	}
}

// adopt takes over a running task that this scheduler did not start, and stops it if its job doesn't need it.
func (s *Scheduler) adopt(w *worker, j *job, running cyclamendyke.RunningTask) {
	needed := j.state != jobEnded && (j.waiting.has(running.Task.Index) || j.spec.NotRepeatable)
	j.waiting.remove(running.Task.Index)
	j.mayHaveStarted = true
	s.updateWaitingTotals(j)
	t := &task{
		id:          running.Task,
		job:         j,
		worker:      w,
		reserved:    running.Reserved,
		state:       taskRunning,
		throttled:   running.Throttled,
		startSentAt: s.now,
		placedAt:    s.now,
	}
	s.reserve(t)
	s.emitTaskEvent(cyclamendyke.EventAdopted, t, "")
	if !needed {
		s.stop(t, cyclamendyke.StopKill)
	}
}

// adoptJob creates a job for a running task whose request is not known; the caller may still resubmit it.
func (s *Scheduler) adoptJob(spec cyclamendyke.Job) *job {
	j := newJob(spec, s.policyOf(spec.Kind), s.nextSeq())
	j.orphan = true
	j.mayHaveStarted = true
	j.state = jobAwaitingBarrier
	s.jobs[spec.Request] = j
	s.unfinishedCount++
	return j
}

// confirmStart marks a task as running once its start is known to have taken effect.
func (s *Scheduler) confirmStart(t *task) {
	if t.state != taskStarting && t.state != taskStartUnknown {
		return
	}
	t.state = taskRunning
	t.startConfirmedAt = s.now
	s.emitTaskEvent(cyclamendyke.EventStarted, t, "")
	s.reindex(t.worker)
}

// handleUnlistedTask handles a task that is missing from the answer to a claim sent at sent.
func (s *Scheduler) handleUnlistedTask(t *task, sent time.Time) {
	switch t.state {
	case taskReserved:
	case taskRunning:
		if sent.After(t.startConfirmedAt) {
			s.markLost(t, "the worker no longer has it")
			return
		}
		s.after(startRecheckInterval, func() { s.requestListing(t.worker) }) // The listing may predate the start.
	case taskStartUnknown:
		if sent.After(t.startUnknownSince) {
			s.resolveUnknownStart(t)
		}
	case taskStarting:
		if sent.Sub(t.startSentAt) >= s.maxLeaseLifetime() {
			s.markLost(t, "its start had no effect in time")
		}
	}
}

// resolveUnknownStart handles a start whose answer was lost and whose task a later claim did not
// list. The worker refuses starts sent before the claim, so the start has no effect if it arrives
// late. If the worker has not restarted, the task never ran: its listing would show the task or its result.
func (s *Scheduler) resolveUnknownStart(t *task) {
	sameProcess := t.sentIncarnation != 0 && t.sentIncarnation == t.worker.incarnation
	if !sameProcess || t.job.gangStopping {
		s.markLost(t, "its start had no effect")
		return
	}
	s.emitTaskEvent(cyclamendyke.EventStopped, t, "its start never arrived")
	s.revertStart(t)
}

// requestListing claims a reachable worker again to get a fresh listing of its tasks.
func (s *Scheduler) requestListing(w *worker) {
	if s.now.Sub(w.lastListingRequest) < startRecheckInterval || !w.reachable() || !w.absentSince.IsZero() {
		return
	}
	w.lastListingRequest = s.now
	s.emit(cyclamendyke.ClaimCommand{VM: w.vm})
}
