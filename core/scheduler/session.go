package scheduler

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/invariant"
)

// proofTime is how long after the last renewal that may have reached a worker its tasks are certainly over.
func (s *Scheduler) proofTime() time.Duration {
	return s.cfg.TaskTTL + s.cfg.ClockMargin
}

func (s *Scheduler) claimed(report cyclamendyke.WorkerReport, sent time.Time) {
	w := s.workers[report.Worker]
	if w == nil {
		return
	}
	w.claimed = true
	w.incarnation = report.Incarnation
	w.sequence = report.Sequence
	s.setCapacity(w, report.Capacity)
	s.workerAnswered(w, sent)
	s.takeResults(w, report.Finished)
	listed := make(map[cyclamendyke.TaskID]bool, len(report.Running))
	for _, running := range report.Running {
		listed[running.Task] = true
		s.listed(w, running)
	}
	for _, t := range w.tasksInOrder() {
		if !listed[t.id] {
			s.unlisted(t, sent)
		}
	}
	s.takeUsage(w, report.Usage)
	s.reindex(w)
	s.checkBarrier()
}

func (s *Scheduler) renewed(report cyclamendyke.WorkerReport, sent time.Time) {
	w := s.workers[report.Worker]
	if w == nil {
		return
	}
	if report.Sequence < w.sequence {
		return
	}
	w.sequence = report.Sequence
	s.setCapacity(w, report.Capacity)
	wasSilent := !w.silentSince.IsZero()
	s.workerAnswered(w, sent)
	if wasSilent {
		s.askListing(w) // It may have restarted meanwhile.
	}
	s.takeResults(w, report.Finished)
	s.takeUsage(w, report.Usage)
	s.reindex(w)
}

// workerAnswered notes the answer to a call sent at sent and ends the worker's silence.
func (s *Scheduler) workerAnswered(w *worker, sent time.Time) {
	if sent.After(w.answered) {
		w.answered = sent
	}
	if w.silentSince.IsZero() {
		return
	}
	w.silentSince = time.Time{}
	if w.forgotten {
		w.forgotten = false
		s.emit(cyclamendyke.ClaimCommand{VM: w.vm})
	}
	s.workerEvent(cyclamendyke.EventWorkerBack, w, "")
}

// unreachable stops placing on a silent worker; after a grace its renewals end, so that its tasks are over at a known time.
func (s *Scheduler) unreachable(name cyclamendyke.WorkerName) {
	w := s.workers[name]
	if w == nil || !w.silentSince.IsZero() {
		return
	}
	w.silentSince = s.now
	s.dropHolds(w)
	s.reindex(w)
	s.workerEvent(cyclamendyke.EventWorkerLost, w, "no answer to renewals")
	if !w.claimed && !s.barrier.passed {
		s.endRenewals(w)
		return
	}
	silent := w.silentSince
	s.after(s.cfg.SilentGrace, func() {
		if s.workers[name] == w && w.silentSince.Equal(silent) && len(w.tasks) > 0 {
			s.endRenewals(w)
		}
	})
}

// endRenewals has nothing more sent that could extend the leases of the worker's tasks, and claims it again once they are over.
func (s *Scheduler) endRenewals(w *worker) {
	w.forgotten = true
	if !s.barrier.passed && !w.claimed {
		s.barrier.at = s.now.Add(s.proofTime())
	}
	s.emit(cyclamendyke.ForgetCommand{Worker: w.vm.Name})
	silent := w.silentSince
	s.after(s.proofTime(), func() {
		if s.workers[w.vm.Name] != w || !w.silentSince.Equal(silent) || !w.forgotten {
			return
		}
		if !w.claimed && !s.barrier.passed {
			return // The barrier claims it again.
		}
		w.forgotten = false
		w.claimed = false
		s.loseTasks(w, "the worker's lease has lapsed")
		s.reindex(w)
		if w.goneSince.IsZero() {
			s.emit(cyclamendyke.ClaimCommand{VM: w.vm})
		}
	})
}

// loseTasks ends every task of a worker on which certainly nothing runs.
func (s *Scheduler) loseTasks(w *worker, cause string) {
	for _, t := range w.tasksInOrder() {
		s.lose(t, cause)
	}
}

// listed confirms or adopts a task that a worker runs.
func (s *Scheduler) listed(w *worker, running cyclamendyke.RunningTask) {
	j := s.jobs[running.Task.Request]
	if j == nil {
		j = s.adoptJob(running.Job)
	}
	t := j.tasks[running.Task.Index]
	switch {
	case t != nil && t.worker == w:
		s.confirm(t)
	case t != nil:
		s.assert(false, invariant.OnePlace, "%s on %s and %s", t.id, t.worker.vm.Name, w.vm.Name)
		s.sendStop(w, running.Task, cyclamendyke.StopKill)
	default:
		s.adopt(w, j, running)
	}
}

func (s *Scheduler) adopt(w *worker, j *job, running cyclamendyke.RunningTask) {
	wanted := j.state != jobEnded && (j.waiting.has(running.Task.Index) || j.spec.NotRepeatable)
	j.waiting.remove(running.Task.Index)
	j.mayHaveStarted = true
	s.recount(j)
	t := &task{
		id:        running.Task,
		job:       j,
		worker:    w,
		reserved:  running.Reserved,
		state:     taskRunning,
		throttled: running.Throttled,
		sent:      s.now,
		since:     s.now,
	}
	s.reserve(t)
	s.taskEvent(cyclamendyke.EventAdopted, t, "")
	if !wanted {
		s.stop(t, cyclamendyke.StopKill)
	}
}

// adoptJob makes a job of a running task whose request is not known yet; its caller may still ask for it.
func (s *Scheduler) adoptJob(spec cyclamendyke.Job) *job {
	j := newJob(spec, s.policyOf(spec.Kind), s.seq())
	j.orphan = true
	j.mayHaveStarted = true
	j.state = jobAwaitingBarrier
	s.jobs[spec.Request] = j
	s.unfinished++
	return j
}

// confirm notes that a start has taken effect.
func (s *Scheduler) confirm(t *task) {
	if t.state != taskStarting && t.state != taskDoubtful {
		return
	}
	t.state = taskRunning
	t.confirmed = s.now
	s.taskEvent(cyclamendyke.EventStarted, t, "")
	s.reindex(t.worker)
}

// unlisted handles a task that a worker did not list in answer to a claim sent at sent.
func (s *Scheduler) unlisted(t *task, sent time.Time) {
	switch t.state {
	case taskHeld:
	case taskRunning:
		if sent.After(t.confirmed) {
			s.lose(t, "the worker no longer has it")
			return
		}
		s.after(doubtRecheck, func() { s.askListing(t.worker) }) // The listing may be older than the start.
	case taskDoubtful:
		if sent.After(t.doubted) {
			s.neverListed(t)
		}
	case taskStarting:
		if sent.Sub(t.sent) >= s.proofTime() {
			s.lose(t, "its start had no effect in time")
		}
	}
}

// neverListed ends a start in doubt: the claim's floor keeps a late copy out, and a worker that has not restarted would list the task or its result.
func (s *Scheduler) neverListed(t *task) {
	sameProcess := t.sentTo != 0 && t.sentTo == t.worker.incarnation
	if !sameProcess || t.job.gangBroken {
		s.lose(t, "its start had no effect")
		return
	}
	s.taskEvent(cyclamendyke.EventStopped, t, "its start never arrived")
	s.takeBackStart(t)
}

// askListing has a worker claimed once more, because something about its tasks is in doubt.
func (s *Scheduler) askListing(w *worker) {
	if s.now.Sub(w.listingAsked) < doubtRecheck || !w.reachable() || !w.goneSince.IsZero() {
		return
	}
	w.listingAsked = s.now
	s.emit(cyclamendyke.ClaimCommand{VM: w.vm})
}
