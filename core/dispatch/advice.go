package dispatch

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/retry"
)

// The timing of requests to the advice service.
const (
	ticketMargin   = 60 * time.Millisecond  // A ticket is used only while it is valid for at least this long.
	prefetchMargin = 800 * time.Millisecond // Added to the expected time of a request made before a step's release.
)

// adviceRetry is how long a step whose requests failed makes no other.
var adviceRetry = retry.Backoff{Initial: 200 * time.Millisecond, Max: 1600 * time.Millisecond}

// verdict is the advice service's answer about one target for one step.
type verdict struct {
	allowed   bool // The step's tasks may run on the target.
	ticket    string
	expiresAt time.Duration // When the ticket can no longer be used.
	used      bool          // A task was started with the ticket.
}

// stepAdvice holds the verdicts for a step; whether a target is allowed does not change during the
// target's incarnation.
type stepAdvice struct {
	verdicts     map[cyclamendyke.TargetID]verdict
	ticketsUntil time.Duration // When the last ticket expires.
	call         int64         // Number of the request in flight; zero if there is none.
	failures     int           // Failed requests since the last answer.
	retryAt      time.Duration // No request is made before then.
	expected     float64       // Tasks that were expected to start with the tickets of the last request.
	started      float64       // Tasks that did.
	wantedSince  time.Duration // Since when the step waits for a member to make its request.
	wantedAt     time.Duration // In which pass it last wanted a request; zero once one was made.
}

// SetAdvisers sets the members that can request advice.
func (s *Scheduler) SetAdvisers(members []cyclamendyke.MemberName) {
	s.planner.SetMembers(members)
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
	s.planner.Answered(command.Call, command.Member, s.now, ok)
	s.requestEnded(command.Call)
	step := s.adviceStep(command.Step)
	if step == nil {
		return
	}
	if !ok {
		s.adviceUse(step.job.spec.Queue).Failed++
		step.advice.failures++
		if step.advice.failures > 1 { // The first time, another member may get an answer.
			step.advice.retryAt = s.now + adviceRetry.Delay(step.advice.failures-1)
		}
		return
	}
	step.advice.failures = 0
	s.cfg.LogDecision(Decision{
		Event: EventAdvised, Workflow: command.Step.Workflow, Task: command.Step.String(), Count: len(answer.Tickets), Age: times.Answered - times.Sent,
	})
	s.applyVerdicts(step, command, answer, times.Answered+answer.Valid-ticketMargin)
}

// adviceStep returns the step that a request was about, or nil if it is no longer known.
func (s *Scheduler) adviceStep(name cyclamendyke.StepName) *stepRun {
	j := s.jobs[name.Workflow]
	if j == nil {
		return nil
	}
	occ := j.find(name.Occurrence)
	if occ == nil {
		return nil
	}
	return occ.steps[name.Step]
}

// applyVerdicts keeps the verdicts of an answer whose tickets can be used until expiresAt.
func (s *Scheduler) applyVerdicts(step *stepRun, command AdviseCommand, answer cyclamendyke.Advice, expiresAt time.Duration) {
	s.allowedPart(step.job.spec.Queue).learn(len(command.Targets), len(answer.Tickets))
	use := s.adviceUse(step.job.spec.Queue)
	use.Named += len(command.Targets)
	use.Disallowed += len(command.Targets) - len(answer.Tickets)
	if step.released && !step.active || step.job.state.IsFinal() {
		use.Lapsed += len(answer.Tickets)
		return
	}
	if step.advice.verdicts == nil {
		step.advice.verdicts = map[cyclamendyke.TargetID]verdict{}
	}
	for _, id := range command.Targets {
		s.countLapsed(step, step.advice.verdicts[id])
		step.advice.verdicts[id] = verdict{}
	}
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

// remaining estimates how long it takes until the last running task of the step ends.
func (step *stepRun) remaining(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, task := range step.tasks.All() {
		for _, r := range task.runs {
			longest = max(longest, r.remaining(now))
		}
	}
	return longest
}
