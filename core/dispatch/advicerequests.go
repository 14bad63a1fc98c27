package dispatch

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/advice"
)

// adviceWant is a step that wants advice in a pass.
type adviceWant struct {
	step    *stepRun
	queue   *cyclamendyke.Queue
	waiting int                     // Tasks that wait, or will after the step's release.
	targets []cyclamendyke.TargetID // Targets with room for which it needs tickets now.
}

// wantGap is the time without a want after which a step's wait for a member counts anew.
const wantGap = 500 * time.Millisecond

// wantAdvice has a step take part in the pass's requests, unless one of its own is in flight.
func (s *Scheduler) wantAdvice(w adviceWant) {
	a := &w.step.advice
	if a.call != 0 || s.now < a.retryAt || a.wantedAt == s.now {
		return
	}
	if a.wantedAt == 0 || s.now-a.wantedAt > wantGap {
		a.wantedSince = s.now
	}
	a.wantedAt = s.now
	if w.queue.Priority == 0 && !w.step.spec.LongRunning {
		w.waiting = max(w.waiting, w.step.waiting.Count()) // Its limit may be free by the time of the answer.
	}
	s.adviceWants = append(s.adviceWants, w)
}

// requestAdvice makes the requests of a pass, as far as members can make them soon.
func (s *Scheduler) requestAdvice() {
	wants := s.adviceWants
	s.adviceWants = nil
	s.adviceBacklog = len(wants)
	s.planner.SetUrgentWaiting(false)
	var later []adviceWant
	for _, i := range s.planner.Order(s.describeWants(wants)) {
		w := wants[i]
		urgent := w.queue.Priority == 0
		switch {
		case s.planner.CanTake(urgent) && !s.lapses(w):
			s.sendRequest(w, urgent)
		case s.planner.CanTake(urgent):
			later = append(later, w)
		case urgent:
			s.planner.SetUrgentWaiting(true)
		}
	}
	for _, w := range later { // Only members that have nothing else to do make these.
		s.sendRequest(w, w.queue.Priority == 0)
	}
}

// lapses reports whether tickets of a request made now would lapse, as far as is known.
func (s *Scheduler) lapses(w adviceWant) bool {
	return w.step.spec.Gang && len(w.step.advice.verdicts) > 0 && !s.gangMayStart(w)
}

// describeWants describes wants for the planner.
func (s *Scheduler) describeWants(wants []adviceWant) []advice.Want {
	out := make([]advice.Want, 0, len(wants))
	for _, w := range wants {
		out = append(out, advice.Want{
			Urgent: w.queue.Priority == 0, Again: w.step.spec.LongRunning && w.step.job.started,
			Since: w.step.advice.wantedSince, Served: s.team(w.step.job.spec.Team).adviceServed(s.now),
		})
	}
	return out
}

// sendRequest has a member request advice for a step.
func (s *Scheduler) sendRequest(w adviceWant, urgent bool) {
	if !s.planner.CanTake(urgent) {
		return
	}
	request := s.planRequest(w)
	if len(request.targets) == 0 {
		return
	}
	cost := w.queue.Advice.Base + time.Duration(len(request.targets))*w.queue.Advice.PerTarget
	call := s.planner.Take(urgent, cost)
	if call == nil {
		return
	}
	s.learnFoundPart(w.step)
	w.step.advice.expected = min(request.expected(), float64(w.waiting))
	w.step.advice.call, w.step.advice.wantedAt = call.Number, 0
	s.countOn(w, request, call.Number)
	command := AdviseCommand{Member: call.Member, Call: call.Number, Step: w.step.name(), Targets: request.targets, Cost: cost}
	s.adviceCalls[call.Number] = command
	s.team(w.step.job.spec.Team).adviceLoad.Add(s.now, cost)
	s.adviceUse(w.queue.Name).Time += cost
	s.adviceBacklog--
	s.emit(command)
}

// adviceServed returns how many members the team's requests have kept busy lately, relative to its weight.
func (t *team) adviceServed(now time.Duration) float64 {
	served := t.adviceLoad.Mean(now)
	if t.config.Weight > 0 {
		served /= t.config.Weight
	}
	return served
}

// dropOverdue lets the steps whose requests are overdue make others.
func (s *Scheduler) dropOverdue() {
	for _, call := range s.planner.Advance(s.now) {
		if step := s.adviceStep(s.adviceCalls[call.Number].Step); step != nil {
			s.adviceUse(step.job.spec.Queue).Failed++
		}
		s.requestEnded(call.Number)
	}
}

// requestEnded ends a request that was answered, failed or is overdue.
func (s *Scheduler) requestEnded(call int64) {
	command, ok := s.adviceCalls[call]
	if !ok {
		return
	}
	delete(s.adviceCalls, call)
	s.countOff(call, command.Targets)
	if step := s.adviceStep(command.Step); step != nil && step.advice.call == call {
		step.advice.call = 0
	}
}
