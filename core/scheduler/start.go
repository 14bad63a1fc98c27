package scheduler

import (
	"errors"
	"time"

	"cyclamendyke"
)

const (
	doubtRecheck = 2 * time.Second // Until the first try to learn what became of a start; later ones are further apart.
	refusedPause = time.Second     // Of a worker that refused a start.
)

func (s *Scheduler) startAnswered(name cyclamendyke.WorkerName, id cyclamendyke.TaskID, err error) {
	w := s.workers[name]
	if w == nil || w.tasks[id] == nil {
		return
	}
	t := w.tasks[id]
	switch {
	case t.state != taskStarting && t.state != taskDoubtful:
	case err == nil:
		s.confirm(t)
	case t.state == taskDoubtful:
	case hadNoEffect(err):
		s.startRefused(t, err)
	default:
		t.state = taskDoubtful
		t.doubted = s.now
		s.after(doubtRecheck, func() { s.recheckStart(t) })
	}
}

// hadNoEffect reports whether the start was certainly not carried out.
func hadNoEffect(err error) bool {
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

func (s *Scheduler) startRefused(t *task, err error) {
	j, w := t.job, t.worker
	s.pause(w)
	s.askListing(w)
	if errors.Is(err, cyclamendyke.KindInvalid) {
		s.failedStart(j, w)
	}
	s.takeBackStart(t)
}

// takeBackStart lets a task wait again whose start certainly had no effect and never will.
func (s *Scheduler) takeBackStart(t *task) {
	j := t.job
	j.startsSent--
	j.sentOnce.remove(t.id.Index)
	s.release(t)
	if j.state == jobEnded {
		return
	}
	j.waiting.add(t.id.Index)
	s.recount(j)
	if j.policy.AllAtOnce() && !j.spec.NotRepeatable {
		s.failGang(j)
		return
	}
	s.enqueue(j)
}

// pause keeps new work off a worker for a moment.
func (s *Scheduler) pause(w *worker) {
	if !w.backOffEnds.IsZero() {
		return
	}
	w.backOffEnds = s.now.Add(refusedPause)
	s.reindex(w)
	ends := w.backOffEnds
	s.timers.set(ends, func(time.Time) {
		if w.backOffEnds.Equal(ends) {
			w.backOffEnds = time.Time{}
			s.reindex(w)
		}
	})
}

// recheckStart learns from listings what became of a start whose answer was lost; it is not sent again, since the first may still arrive.
func (s *Scheduler) recheckStart(t *task) {
	w := t.worker
	if s.workers[w.vm.Name] != w || w.tasks[t.id] != t || t.state != taskDoubtful {
		return
	}
	s.askListing(w)
	pause := max(doubtRecheck, s.now.Sub(t.sent))
	s.after(pause, func() { s.recheckStart(t) })
}
