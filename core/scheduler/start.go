package scheduler

import (
	"errors"
	"time"

	"cyclamendyke"
)

const (
	startRecheckInterval = 2 * time.Second // Minimum time between listing requests to one worker, and between checks of a start whose answer was lost.
	refusedStartPause    = time.Second     // How long a worker that refused a start gets no new tasks.
)

func (s *Scheduler) handleStartAnswer(name cyclamendyke.WorkerName, id cyclamendyke.TaskID, err error) {
	w := s.workers[name]
	if w == nil || w.tasks[id] == nil {
		return
	}
	t := w.tasks[id]
	switch {
	case t.state != taskStarting && t.state != taskStartUnknown:
	case err == nil:
		s.confirmStart(t)
	case t.state == taskStartUnknown:
	case startHadNoEffect(err):
		s.handleRefusedStart(t, err)
	default:
		t.state = taskStartUnknown
		t.startUnknownSince = s.now
		s.after(startRecheckInterval, func() { s.recheckStart(t) })
	}
}

// startHadNoEffect reports whether the error proves that the start was not carried out.
func startHadNoEffect(err error) bool {
	for _, kind := range [...]cyclamendyke.Kind{
		cyclamendyke.KindNoRoom,
		cyclamendyke.KindNoSession,
		cyclamendyke.KindFenced,
		cyclamendyke.KindSessionHeld,
		cyclamendyke.KindNotFound,
		cyclamendyke.KindUnavailable,
		cyclamendyke.KindLimited,
		cyclamendyke.KindInvalid,
	} {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}

func (s *Scheduler) handleRefusedStart(t *task, err error) {
	j, w := t.job, t.worker
	s.pauseWorker(w)
	s.requestListing(w)
	if errors.Is(err, cyclamendyke.KindInvalid) {
		s.recordJobFailure(j, w)
	}
	s.revertStart(t)
}

// revertStart queues a task again whose start certainly had no effect and never will.
func (s *Scheduler) revertStart(t *task) {
	j := t.job
	j.startsSent--
	j.sentIndices.remove(t.id.Index)
	s.release(t)
	if j.state == jobEnded {
		return
	}
	j.waiting.add(t.id.Index)
	s.updateWaitingTotals(j)
	if j.policy.AllOrNothing() && !j.spec.NotRepeatable {
		s.restartGang(j)
		return
	}
	s.enqueue(j)
}

// pauseWorker stops placing tasks on a worker for refusedStartPause, unless it is already on back-off.
func (s *Scheduler) pauseWorker(w *worker) {
	if !w.backOffUntil.IsZero() {
		return
	}
	w.backOffUntil = s.now.Add(refusedStartPause)
	s.reindex(w)
	until := w.backOffUntil
	s.timers.set(until, func(time.Time) {
		if w.backOffUntil.Equal(until) {
			w.backOffUntil = time.Time{}
			s.reindex(w)
		}
	})
}

// recheckStart requests listings, at intervals that grow with the start's age, until they show
// whether a start whose answer was lost took effect; the start is not sent again, since the first
// copy may still arrive.
func (s *Scheduler) recheckStart(t *task) {
	w := t.worker
	if s.workers[w.vm.Name] != w || w.tasks[t.id] != t || t.state != taskStartUnknown {
		return
	}
	s.requestListing(w)
	delay := max(startRecheckInterval, s.now.Sub(t.startSentAt))
	s.after(delay, func() { s.recheckStart(t) })
}
