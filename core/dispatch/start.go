package dispatch

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/invariant"
)

// start reserves resources for a new run and emits its start command.
func (s *Scheduler) start(step *stepRun, index int, t *target, number int64) {
	if s.evacuated(t) {
		s.cfg.RecordViolation(invariant.EvacuatedZone, string(t.info.ID)+" in zone "+string(t.info.Zone))
		return
	}
	task := step.tasks.At(index)
	r := &run{
		step: step, taskIndex: index, number: number, target: t, state: runStarting,
		startedAt: s.now, checkpoint: task.checkpoint, resumed: task.checkpoint != "", pace: fullPace,
		startedCold: s.now < t.coldUntil,
	}
	if h := s.headrooms[t.info.Service]; h != nil {
		h.free -= h.slotsLost(s.urgentFree(t), step.spec.Reserved(), 0)
	}
	s.reserve(r)
	t.lastStartAt = s.now
	queue := step.job.queue(s)
	ticket, _ := step.ticket(queue, t, s.now)
	s.useTicket(step, t.info.ID)
	until := s.grantLease(t)
	step.unplacedReason = ""
	s.cfg.LogDecision(Decision{
		Event: EventPlaced, Workflow: step.job.spec.ID, Task: r.taskName().String(), Target: t.info.ID, Run: number,
		Age: s.now - t.answeredAt, Reason: "waited " + (s.now - step.releasedAt).Round(time.Millisecond).String() + step.crashNote(index),
	})
	r.starts = startOrders{target: t.info, order: cyclamendyke.StartOrder{
		Task: r.taskName(), Run: number, Spec: step.job.spec.Spec, Until: until, Fence: s.cfg.Epoch,
		Checkpoint: task.checkpoint, Ticket: ticket,
	}}
	s.startRepeatTokens = min(startRepeatBurst, s.startRepeatTokens+startRepeatShare)
	s.sendStart(r)
}

// answeringTarget returns the target that answered a request, or nil if it is no longer known or
// refused the request because of a later epoch; such a refusal sets superseded.
func (s *Scheduler) answeringTarget(id cyclamendyke.TargetID, kind cyclamendyke.Kind) *target {
	t := s.targets[id]
	if t != nil && kind == cyclamendyke.KindFenced {
		s.superseded = true
		return nil
	}
	return t
}

// refusalBackoff is how long nothing is placed on a target that refused a start.
const refusalBackoff = 300 * time.Millisecond

// Started handles the answer to a start; kind is empty if the target accepted it, with clock as the time on its clock, or zero if
// that is not known.
func (s *Scheduler) Started(info cyclamendyke.Target, order cyclamendyke.StartOrder, kind cyclamendyke.Kind, clock time.Duration) {
	key := runKey{order.Task, order.Run}
	if t := s.targets[info.ID]; t != nil {
		r := t.runs[key]
		t.startAnswered(key, r == nil || r.starts.inFlight <= 1)
	}
	t := s.answeringTarget(info.ID, kind)
	if t == nil {
		return
	}
	r := t.runs[key]
	sent := s.now
	if r != nil {
		sent = r.starts.sentAt
	}
	isOtherLife := s.startOutcome(t, sent, kind == cyclamendyke.KindUnknown, kind == "", clock)
	if r == nil {
		return
	}
	r.starts.inFlight--
	r.starts.answeredAt = s.now
	if kind == cyclamendyke.KindUnknown {
		r.starts.unanswered++
	}
	if r.state != runStarting {
		return
	}
	switch {
	case isOtherLife:
		s.startUnknown(r) // The listing that it asks for shows what the new incarnation has.
	case kind == "":
		if t.announced == nil {
			t.answeredAt = s.now
		}
		r.state = runRunning
		r.confirmedAt = s.now
		r.progress.begin(0, s.now)
		s.runConfirmed(r)
		r.step.job.started = true
		s.paceNewRun(r)
	case kind == cyclamendyke.KindUnknown:
		s.startUnanswered(r)
	default:
		if r.starts.repeats > 0 {
			s.startUnknown(r) // An earlier request may have been carried out.
			return
		}
		s.startRefused(r, kind)
	}
}

// startUnknown handles a start whose answer was lost, so that it may have been carried out or may still be, or a run
// of which it is not known whether the target's last incarnation had begun it or the present one has.
func (s *Scheduler) startUnknown(r *run) {
	r.state = runStartUnknown
	s.cfg.LogDecision(Decision{Event: EventStartUnknown, Workflow: r.step.job.spec.ID, Task: r.taskName().String(), Target: r.target.info.ID, Run: r.number})
	r.startedAt = s.now
	s.requestListing(r.target)
}

// startRefused releases a run that its target refused to start, and stops the other members of a
// gang.
func (s *Scheduler) startRefused(r *run, kind cyclamendyke.Kind) {
	t := r.target
	s.cfg.LogDecision(Decision{Event: EventStartRefused, Workflow: r.step.job.spec.ID, Task: r.taskName().String(), Target: t.info.ID, Run: r.number, Reason: string(kind)})
	s.release(r)
	if kind == cyclamendyke.KindBadTicket {
		delete(r.step.advice.verdicts, t.info.ID)
	} else {
		t.blockedUntil = max(t.blockedUntil, s.now+refusalBackoff)
		s.requestListing(t)
	}
	if r.step.spec.Gang {
		s.stopGangOf(r, "start of a gang member was refused")
	}
}
