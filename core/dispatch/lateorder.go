package dispatch

import (
	"time"

	"cyclamendyke"
)

// The timing of orders that may be carried out after the run that they are for has ended.
const (
	lateOrderMemory = 15 * time.Second // How long a request without an outcome may be on its way.
	lateStopDelay   = 250 * time.Millisecond
)

// lateOrders are the requests to start runs on a target that may still be on their way although the runs have ended. A target
// rejects them until it restarts: then it knows nothing of these runs, so that it must be told again not to start them.
type lateOrders struct {
	lateRuns  map[runKey]time.Duration // Until when a request for the run may arrive.
	lateStops map[runKey]time.Duration // The runs that the present incarnation has not rejected yet, with when it is told next.
	rejectsAt time.Duration            // When it had rejected the last of them; a listing that is asked for later names what had begun.
}

// rememberLateOrders remembers a run that is released while a request to start it has no outcome.
func (s *Scheduler) rememberLateOrders(r *run) {
	if r.startsAnswered() {
		return
	}
	if r.target.lateRuns == nil {
		r.target.lateRuns = map[runKey]time.Duration{}
	}
	r.target.lateRuns[runKey{r.taskName(), r.number}] = s.now + lateOrderMemory
}

// expectLateOrders begins to tell a new incarnation of a target which runs not to start, but for those that its first
// listing has named.
func (s *Scheduler) expectLateOrders(t *target) {
	t.lateStops = map[runKey]time.Duration{}
	for key := range t.lateRuns {
		if t.runs[key] == nil && !t.orphans[key] {
			t.lateStops[key] = s.now
		}
	}
	s.sendLateStops(t)
}

// sendLateStops tells a target again which runs not to start, and forgets those of which no request can be on its way.
func (s *Scheduler) sendLateStops(t *target) {
	for key, until := range t.lateRuns {
		if s.now >= until {
			delete(t.lateRuns, key)
			s.lateStopDone(t, key)
		}
	}
	for key, at := range t.lateStops {
		if s.now >= at && !t.renewFailed {
			t.lateStops[key] = s.now + lateStopDelay
			s.emit(StopCommand{Target: t.info, Task: key.task, Run: key.number})
		}
	}
}

// lateStopped notes that a target has accepted to stop a run that is not known there.
func (s *Scheduler) lateStopped(t *target, info cyclamendyke.Target, key runKey) {
	if t.info.StartedMillis == info.StartedMillis {
		s.lateStopDone(t, key)
	}
}

func (s *Scheduler) lateStopDone(t *target, key runKey) {
	if _, isExpected := t.lateStops[key]; !isExpected {
		return
	}
	delete(t.lateStops, key)
	if len(t.lateStops) == 0 {
		t.rejectsAt = s.now
		s.requestListing(t)
	}
}

// mayStartLate reports whether a target may start, or may be running, a run that is not known there.
func (t *target) mayStartLate() bool {
	return len(t.lateStops) > 0 || t.rejectsAt != 0 && t.listingSentAt <= t.rejectsAt
}
