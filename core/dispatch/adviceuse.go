package dispatch

import (
	"time"

	"cyclamendyke"
)

// AdviceUse says what a queue's requests for advice took and what they were good for.
type AdviceUse struct {
	Time       time.Duration // Time that the advice service takes for the requests.
	Named      int           // Targets named in answered requests.
	Disallowed int           // Those of them that advice did not allow.
	Used       int           // Tickets with which a task was started.
	Lapsed     int           // Tickets that were replaced, or whose step ended, without a start.
	Failed     int           // Requests that failed or were overdue.
}

// adviceUse returns the use of a queue's requests since the last TakeAdviceUse.
func (s *Scheduler) adviceUse(queue cyclamendyke.QueueName) *AdviceUse {
	use := s.adviceUses[queue]
	if use == nil {
		use = &AdviceUse{}
		s.adviceUses[queue] = use
	}
	return use
}

// TakeAdviceUse returns the use of advice by queue since the last call.
func (s *Scheduler) TakeAdviceUse() map[cyclamendyke.QueueName]*AdviceUse {
	uses := s.adviceUses
	s.adviceUses = map[cyclamendyke.QueueName]*AdviceUse{}
	return uses
}

// AdviceBacklog returns how many steps waited after the last pass for a member to make their request.
func (s *Scheduler) AdviceBacklog() int {
	return s.adviceBacklog
}

// useTicket notes that a task of the step starts with its ticket for a target.
func (s *Scheduler) useTicket(step *stepRun, id cyclamendyke.TargetID) {
	step.advice.started++
	v, ok := step.advice.verdicts[id]
	if !ok || v.used {
		return
	}
	v.used = true
	step.advice.verdicts[id] = v
	s.adviceUse(step.job.spec.Queue).Used++
}

// dropTickets forgets the verdicts of a step that starts no further task.
func (s *Scheduler) dropTickets(step *stepRun) {
	for _, v := range step.advice.verdicts {
		s.countLapsed(step, v)
	}
	step.advice.verdicts = nil
	s.learnFoundPart(step)
}

// learnFoundPart learns how many tasks have found room by the step's last request, relative to what was
// expected; the rest takes another request.
func (s *Scheduler) learnFoundPart(step *stepRun) {
	a := &step.advice
	if a.expected > 0 {
		part := s.foundPart(step.job.spec.Queue)
		*part += foundPartWeight * (max(leastFoundPart, min(1, a.started/a.expected)) - *part)
	}
	a.expected, a.started = 0, 0
}

// The rules for learning how much of the expected room steps find.
const (
	foundPartWeight = 0.05
	leastFoundPart  = 0.1
)

// foundPart returns the part of the expected room that a queue's steps find.
func (s *Scheduler) foundPart(queue cyclamendyke.QueueName) *float64 {
	part := s.foundParts[queue]
	if part == nil {
		first := 1.0
		part = &first
		s.foundParts[queue] = part
	}
	return part
}

// countLapsed counts a ticket that is dropped if no task was started with it.
func (s *Scheduler) countLapsed(step *stepRun, v verdict) {
	if v.allowed && !v.used {
		s.adviceUse(step.job.spec.Queue).Lapsed++
	}
}
