package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
)

// The timing and size of requests to the advice service.
const (
	ticketMargin           = 60 * time.Millisecond // A ticket is used only while it is valid for at least this long.
	adviceRetryDelay       = 200 * time.Millisecond
	prefetchMargin         = 800 * time.Millisecond // Added to the expected time of a request made before a step's release.
	urgentInFlightLimit    = 4                      // A member with this many requests in flight gets no further urgent one.
	nonUrgentInFlightLimit = 2                      // A member with this many requests in flight gets no further non-urgent one.
	urgentAdviserDivisor   = 4                      // One member in this many makes urgent requests only.
)

// adviser is a member that requests advice; the service answers each member's requests one at a
// time.
type adviser struct {
	requestsInFlight int
	load             time.Duration // Expected cost of the requests in flight.
}

// verdict is the advice service's answer about one target for one step.
type verdict struct {
	allowed   bool // The step's tasks may run on the target.
	ticket    string
	expiresAt time.Duration // When the ticket can no longer be used.
}

// advice holds the verdicts for a step; whether a target is allowed does not change during the
// target's incarnation.
type advice struct {
	verdicts        map[cyclamendyke.TargetID]verdict
	ticketsUntil    time.Duration // When the last ticket expires.
	requestInFlight bool          // A request for this step is in flight.
	retryAt         time.Duration // No request is made before then.
}

// SetAdvisers sets the members that can request advice.
func (s *Scheduler) SetAdvisers(members []cyclamendyke.MemberName) {
	names := slices.Sorted(slices.Values(members))
	if slices.Equal(names, s.adviserNames) {
		return
	}
	previous := s.advisers
	s.adviserNames, s.advisers = names, map[cyclamendyke.MemberName]*adviser{}
	for _, name := range names {
		s.advisers[name] = previous[name]
		if previous[name] == nil {
			s.advisers[name] = &adviser{}
		}
	}
}

// freeAdviser returns the least loaded member that may take one more request, or an empty name if
// there is none.
//
// Urgent requests, those of queues with priority 0, take a few milliseconds and others up to half a
// second, so some members are reserved for urgent ones: otherwise a burst of urgent work would wait
// behind slow requests.
func (s *Scheduler) freeAdviser(urgent bool) cyclamendyke.MemberName {
	names := s.adviserNames
	limit := urgentInFlightLimit
	if !urgent {
		names = names[len(names)/urgentAdviserDivisor:]
		limit = nonUrgentInFlightLimit
	}
	best := cyclamendyke.MemberName("")
	for _, name := range names {
		a := s.advisers[name]
		if a.requestsInFlight < limit && (best == "" || a.load < s.advisers[best].load) {
			best = name
		}
	}
	return best
}

// requestAdvice has a member request advice on targets for a step.
func (s *Scheduler) requestAdvice(step *stepRun, targets []cyclamendyke.TargetID) {
	queue := step.job.queue(s)
	if queue == nil || len(targets) == 0 {
		return
	}
	member := s.freeAdviser(queue.Priority == 0)
	if member == "" {
		return
	}
	cost := time.Duration(0)
	if queue.Advice != nil {
		cost = queue.Advice.Base + time.Duration(len(targets))*queue.Advice.PerTarget
	}
	s.advisers[member].requestsInFlight++
	s.advisers[member].load += cost
	step.advice.requestInFlight = true
	s.emit(AdviseCommand{Member: member, Step: step.name(), Targets: targets, Cost: cost})
}

func (step *stepRun) name() cyclamendyke.StepName {
	return cyclamendyke.StepName{Workflow: step.job.spec.ID, Occurrence: step.occ.number, Step: step.index}
}

// AdviceTimes are the times of a request for advice.
type AdviceTimes struct {
	Sent     time.Duration
	Answered time.Duration // When the answer arrived, from which its tickets are valid at the latest.
}

// Advised handles the answer to a request for advice; ok is false if it failed.
func (s *Scheduler) Advised(command AdviseCommand, times AdviceTimes, answer cyclamendyke.Advice, ok bool) {
	if a := s.advisers[command.Member]; a != nil && a.requestsInFlight > 0 {
		a.requestsInFlight--
		a.load = max(0, a.load-command.Cost)
	}
	j := s.jobs[command.Step.Workflow]
	if j == nil || command.Step.Occurrence >= len(j.occurrences) {
		return
	}
	step := j.occurrences[command.Step.Occurrence].steps[command.Step.Step]
	step.advice.requestInFlight = false
	if !ok {
		step.advice.retryAt = s.now + adviceRetryDelay
		return
	}
	s.cfg.LogDecision(Decision{
		Event: EventAdvised, Workflow: j.spec.ID, Task: command.Step.String(), Count: len(answer.Tickets), Age: times.Answered - times.Sent,
	})
	if step.advice.verdicts == nil {
		step.advice.verdicts = map[cyclamendyke.TargetID]verdict{}
	}
	s.allowedPart(j.spec.Queue).learn(len(command.Targets), len(answer.Tickets))
	for _, id := range command.Targets {
		step.advice.verdicts[id] = verdict{}
	}
	expiresAt := times.Answered + answer.Valid - ticketMargin
	for _, ticket := range answer.Tickets {
		step.advice.verdicts[ticket.Target] = verdict{allowed: true, ticket: ticket.Text, expiresAt: expiresAt}
		step.advice.ticketsUntil = max(step.advice.ticketsUntil, expiresAt)
	}
}

// ticket returns the step's ticket for a target, and whether a task of the step may start there
// now.
func (step *stepRun) ticket(queue *cyclamendyke.Queue, t *target, now time.Duration) (string, bool) {
	if queue.Advice == nil {
		return "", true
	}
	v := step.advice.verdicts[t.info.ID]
	return v.ticket, v.allowed && now < v.expiresAt
}

// runningTasks counts the tasks that are not done and have a run in any state.
func (step *stepRun) runningTasks() int {
	count := 0
	for i := range step.tasks {
		if !step.tasks[i].done && len(step.tasks[i].runs) > 0 {
			count++
		}
	}
	return count
}

// remaining estimates how long it takes until the last running task of the step ends.
func (step *stepRun) remaining(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range step.tasks {
		for _, r := range step.tasks[i].runs {
			longest = max(longest, r.remaining(now))
		}
	}
	return longest
}
