package dispatch

import (
	"math"
	"time"

	"cyclamendyke"
)

// The size of requests for advice.
const (
	maxAdviceTargets  = 96  // Most targets in one request.
	allowedPartWeight = 0.1 // Weight of one request in the part of the targets that is expected to be allowed.
	firstAllowedPart  = 0.4 // Part expected before any answer.
)

// allowedPart is the part of the targets that advice is expected to allow for a queue's steps.
type allowedPart float64

// learn takes an answer into account.
func (p *allowedPart) learn(asked, allowed int) {
	if asked > 0 {
		*p += allowedPart(allowedPartWeight * (float64(allowed)/float64(asked) - float64(*p)))
	}
}

// allowedPart returns what is expected of a queue.
func (s *Scheduler) allowedPart(queue cyclamendyke.QueueName) *allowedPart {
	part := s.allowedParts[queue]
	if part == nil {
		first := allowedPart(firstAllowedPart)
		part = &first
		s.allowedParts[queue] = part
	}
	return part
}

// wantInitialAdvice wants advice for a step that has none yet and of which some tasks wait.
func (s *Scheduler) wantInitialAdvice(step *stepRun, queue *cyclamendyke.Queue, waiting int) {
	if queue.Advice != nil && len(step.advice.verdicts) == 0 {
		s.wantAdvice(adviceWant{step: step, queue: queue, waiting: waiting})
	}
}

// wantAdviceInTakeover wants advice for a step that waits until the runs of earlier epochs are known. Unless the
// step is urgent, it does so only once that wait is expected to end within adviceLead: earlier tickets would
// lapse.
func (s *Scheduler) wantAdviceInTakeover(step *stepRun, queue *cyclamendyke.Queue, waiting int) {
	if queue.Priority == 0 || queue.Advice != nil && s.now+adviceLead(queue) >= s.earlierRunsKnownAt {
		s.wantInitialAdvice(step, queue, waiting)
	}
}

// adviceLead returns how long before a step's expected start advice for it is asked.
func adviceLead(queue *cyclamendyke.Queue) time.Duration {
	return queue.Advice.Base + maxAdviceTargets*queue.Advice.PerTarget + prefetchMargin
}

// fitsIn returns how many of the step's tasks fit in free, by cores and memory.
func (step *stepRun) fitsIn(free cyclamendyke.Resources) float64 {
	need := step.spec.Reserved()
	fits := float64(step.spec.Count)
	if step.spec.MaxPerTarget > 0 {
		fits = float64(step.spec.MaxPerTarget)
	}
	if need.Cores > 0 {
		fits = min(fits, math.Floor(float64(free.Cores)/float64(need.Cores)))
	}
	if need.Memory > 0 {
		fits = min(fits, math.Floor(float64(free.Memory)/float64(need.Memory)))
	}
	if need.Accelerators > 0 {
		fits = min(fits, math.Floor(float64(free.Accelerators)/float64(need.Accelerators)))
	}
	return max(0, fits)
}

// wantMissingTickets wants tickets for a step's waiting tasks on targets that are expected to
// have room left after the steps of higher rank.
//
// A request for advice takes far longer than a start, so under a backlog the requests of steps
// without room would delay those of steps that can start. The exception is a step without verdicts
// that is urgent or may preempt: it makes a request even if it finds no room.
func (s *Scheduler) wantMissingTickets(step *stepRun, queue *cyclamendyke.Queue, waiting int, noProjectedRoom noFitCache) {
	if queue.Advice == nil || len(step.claims) == 0 && noProjectedRoom.has(queue.Service, step.spec.Reserved()) && !s.mayPreempt(step, queue) {
		return
	}
	targets := s.allocateProjected(step, queue, waiting, noProjectedRoom)
	switch {
	case len(targets) > 0:
		s.wantAdvice(adviceWant{step: step, queue: queue, waiting: waiting, targets: targets})
	case queue.Priority == 0 || s.mayPreempt(step, queue):
		s.wantInitialAdvice(step, queue, waiting)
	}
}

// prefetchAdvice requests advice for the steps after the given one, if all its remaining tasks are
// running and will end soon.
func (s *Scheduler) prefetchAdvice(step *stepRun) {
	if step.waiting.Count() > 0 {
		return
	}
	queue := step.job.queue(s)
	if queue == nil || queue.Advice == nil {
		return
	}
	if step.remaining(s.now) > adviceLead(queue) {
		return
	}
	for _, index := range step.job.graph.Successors(step.index) {
		if step.occ.steps[index] == nil && !s.mayOpen(step.job, stepBytes(&step.job.spec.Steps[index])) {
			return
		}
		if next := s.openStep(step.occ, int(index)); !next.released && !next.isDone() {
			s.wantInitialAdvice(next, queue, next.spec.Count)
		}
	}
}

// ticketLead is added to the expected time of a request for tickets for claimed room.
const ticketLead = 300 * time.Millisecond

// needsTicket reports whether a ticket for a target must be requested now. One for claimed room is
// requested so late that it is still valid when the room is free.
func (s *Scheduler) needsTicket(step *stepRun, queue *cyclamendyke.Queue, v verdict, isClaimed bool) bool {
	if !v.allowed {
		return true
	}
	if s.now < v.expiresAt {
		return false
	}
	lead := queue.Advice.Base + time.Duration(len(step.claims))*queue.Advice.PerTarget + ticketLead
	return !isClaimed || s.now+lead >= step.claimedFrom
}
