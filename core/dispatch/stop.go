package dispatch

import (
	"time"

	"cyclamendyke"
)

// The timing of stops and of stalled runs.
const (
	stopRetryDelay   = 250 * time.Millisecond
	stopListingDelay = 150 * time.Millisecond  // From the stop timeout to the request for a listing, which shows whether the run has ended.
	stallFactor      = 1.0                     // Multiple of the estimate without progress after which a run is stopped.
	minStallTime     = 2500 * time.Millisecond // A run counts as stalled no earlier than this.
)

// stop orders a run to stop.
func (s *Scheduler) stop(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	s.cfg.LogDecision(Decision{
		Event: EventStopOrdered, Workflow: r.step.job.spec.ID, Task: r.taskName().String(), Target: r.target.info.ID,
		Run: r.number, Reason: reason,
	})
	s.sendStop(r)
}

func (s *Scheduler) sendStop(r *run) {
	r.stopInFlight = true
	r.stopSentAt = s.now
	s.emit(StopCommand{Target: r.target.info, Task: r.taskName(), Run: r.number})
}

// Stopped handles the answer to a stop; kind is empty if the target accepted it.
func (s *Scheduler) Stopped(info cyclamendyke.Target, name cyclamendyke.TaskName, number int64, kind cyclamendyke.Kind) {
	t := s.answeringTarget(info.ID, kind)
	if t == nil {
		return
	}
	r := t.runs[runKey{name, number}]
	if r == nil && kind == "" {
		s.lateStopped(t, info, runKey{name, number})
	}
	if r == nil || r.state != runStopping {
		return
	}
	r.stopInFlight = false
	switch kind {
	case "":
		if isLater(t.info, info) {
			return // The incarnation that has accepted it may be gone.
		}
		r.stopAcceptedAt = s.now
		if r.confirmedAt == 0 {
			s.requestListing(t)
		}
	case cyclamendyke.KindWrongTarget:
		s.wrongTargetAnswered(t, info)
	}
}

// checkRun repeats a start or stop that had no answer, requests a listing if a stop takes too long, and
// stops a stalled run.
func (s *Scheduler) checkRun(r *run) {
	switch r.state {
	case runStarting:
		if s.now >= r.starts.sentAt+startRepeatDelay {
			s.repeatStart(r)
		}
	case runStopping:
		switch {
		case r.stopAcceptedAt == 0 && !r.stopInFlight && s.now >= r.stopSentAt+stopRetryDelay:
			s.sendStop(r)
		case r.stopAcceptedAt != 0 && s.now >= r.stopAcceptedAt+s.cfg.Bounds.StopTimeout+stopListingDelay:
			s.requestListing(r.target)
		}
	case runRunning:
		if s.stalled(r) {
			s.stop(r, "no progress")
			r.step.tasks.At(r.taskIndex).avoidTarget = r.target.info.ID
			s.countTargetFailure(r)
		}
	}
}

// stalled reports whether a run has made no progress for longer than both its estimate and
// minStallTime.
func (s *Scheduler) stalled(r *run) bool {
	spec := r.step.spec
	if spec.LongRunning || spec.Filler || r.target.renewFailed || r.target.endsAreCut || r.confirmedAt == 0 {
		return false
	}
	limit := max(minStallTime, time.Duration(stallFactor*float64(spec.Estimate)))
	return r.target.listingSentAt-r.progress.at > limit
}
