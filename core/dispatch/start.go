package dispatch

import (
	"time"

	"cyclamendyke"
)

// start reserves the room for a run and orders it.
func (s *Scheduler) start(step *stepRun, index int, t *target, number int64) {
	task := &step.tasks[index]
	r := &run{
		step: step, index: index, number: number, target: t, state: runStarting,
		started: s.now, checkpoint: task.checkpoint, pace: fullPace,
	}
	s.reserve(r)
	queue := step.job.queue(s)
	ticket, _ := step.ticket(queue, t, s.now)
	until := s.lease(t)
	t.until = max(t.until, until)
	step.noted = ""
	s.cfg.Decision(Decision{
		Event: EventPlaced, Workflow: step.job.spec.ID, Task: r.name().String(), Target: t.info.ID, Run: number,
		Age: s.now - t.heardAt, Reason: "after " + (s.now - step.since).Round(time.Millisecond).String(),
	})
	s.emit(StartCommand{Target: t.info, Order: cyclamendyke.StartOrder{
		Task: r.name(), Run: number, Spec: step.job.spec.Spec, Until: until, Fence: s.cfg.Epoch,
		Checkpoint: task.checkpoint, Ticket: ticket,
	}})
}

// answered returns the target that answered an order, unless it is forgotten or refused the order for the fence of a later epoch.
func (s *Scheduler) answered(id cyclamendyke.TargetID, kind cyclamendyke.Kind) *target {
	t := s.targets[id]
	if t != nil && kind == cyclamendyke.KindFenced {
		s.deposed = true
		return nil
	}
	return t
}

// refusedFor is how long a target is left alone after it refused a start.
const refusedFor = 300 * time.Millisecond

// Started takes in the answer to a start; kind is empty if the target accepted it.
func (s *Scheduler) Started(info cyclamendyke.Target, order cyclamendyke.StartOrder, kind cyclamendyke.Kind) {
	t := s.answered(info.ID, kind)
	if t == nil {
		return
	}
	r := t.runs[runKey{order.Task, order.Run}]
	if r == nil || r.state != runStarting {
		return
	}
	switch kind {
	case "":
		t.heardAt = s.now
		r.state = runRunning
		r.confirmed, r.moved = s.now, s.now
		r.step.job.began = true
		s.paceNew(r)
	case cyclamendyke.KindUnknown:
		s.doubt(r)
	default:
		s.refused(r, kind)
	}
}

// doubt notes that a start may have been carried out or may be yet.
func (s *Scheduler) doubt(r *run) {
	r.state = runDoubted
	s.cfg.Decision(Decision{Event: EventDoubt, Workflow: r.step.job.spec.ID, Task: r.name().String(), Target: r.target.info.ID, Run: r.number})
	if !r.target.listed {
		s.stop(r, "start in doubt")
		return
	}
	r.started = s.now
	s.look(r.target)
}

// refused takes back a run that its target did not start.
func (s *Scheduler) refused(r *run, kind cyclamendyke.Kind) {
	t := r.target
	s.cfg.Decision(Decision{Event: EventRefused, Workflow: r.step.job.spec.ID, Task: r.name().String(), Target: t.info.ID, Run: r.number, Reason: string(kind)})
	s.release(r)
	if kind == cyclamendyke.KindBadTicket {
		delete(r.step.advice.verdicts, t.info.ID)
	} else {
		t.blocked = max(t.blocked, s.now+refusedFor)
		s.look(t)
	}
	if r.step.spec.Gang {
		for i := range r.step.tasks {
			for _, other := range r.step.tasks[i].runs {
				s.stop(other, "a member of the gang was refused")
			}
		}
	}
}
