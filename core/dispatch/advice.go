package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
)

// The timing and size of questions to the advice service.
const (
	ticketMargin   = 60 * time.Millisecond // A ticket is used only while it lasts at least this long.
	adviceRetry    = 200 * time.Millisecond
	adviceSlack    = 800 * time.Millisecond // How long before a step's release its advice is asked for.
	adviceMost     = 48                     // Targets in the first question about a step.
	urgentInFlight = 4                      // Questions of one member, if the next one is for urgent work,
	adviceInFlight = 2                      // or for other work.
	urgentPart     = 4                      // One member of so many asks for urgent work alone.
)

// adviser is a member that asks for advice; the service answers each member's questions one at a time.
type adviser struct {
	inFlight int
	load     time.Duration // What the questions under way cost.
}

// verdict is what is known of one target for one step.
type verdict struct {
	good    bool
	ticket  string
	expires time.Duration
}

// advice is what is known of the targets for a step; whether a target is good does not change while it lives.
type advice struct {
	verdicts map[cyclamendyke.TargetID]verdict
	until    time.Duration // When the last ticket expires.
	asking   bool
	notTill  time.Duration
}

// SetAdvisers names the members that can ask for advice.
func (s *Scheduler) SetAdvisers(members []cyclamendyke.MemberName) {
	names := slices.Sorted(slices.Values(members))
	if slices.Equal(names, s.adviserNames) {
		return
	}
	kept := s.advisers
	s.adviserNames, s.advisers = names, map[cyclamendyke.MemberName]*adviser{}
	for _, name := range names {
		s.advisers[name] = kept[name]
		if kept[name] == nil {
			s.advisers[name] = &adviser{}
		}
	}
}

// freeAdviser returns the member that can answer a question soonest, or an empty name if all that may ask it are busy.
//
// It answers bursts of urgent work, whose questions take a few milliseconds,
// among others that take half a second: some members are kept for the former.
func (s *Scheduler) freeAdviser(urgent bool) cyclamendyke.MemberName {
	names := s.adviserNames
	limit := urgentInFlight
	if !urgent {
		names = names[len(names)/urgentPart:]
		limit = adviceInFlight
	}
	best := cyclamendyke.MemberName("")
	for _, name := range names {
		a := s.advisers[name]
		if a.inFlight < limit && (best == "" || a.load < s.advisers[best].load) {
			best = name
		}
	}
	return best
}

// ask has a member ask about targets for a step.
func (s *Scheduler) ask(step *stepRun, targets []cyclamendyke.TargetID) {
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
	s.advisers[member].inFlight++
	s.advisers[member].load += cost
	step.advice.asking = true
	s.emit(AdviseCommand{Member: member, Step: step.name(), Targets: targets, Cost: cost})
}

func (step *stepRun) name() cyclamendyke.StepName {
	return cyclamendyke.StepName{Workflow: step.job.spec.ID, Occurrence: step.occ.number, Step: step.index}
}

// Advised takes in the answer to a question that was sent at a moment; ok is false if there was none.
func (s *Scheduler) Advised(command AdviseCommand, sent time.Duration, answer cyclamendyke.Advice, ok bool) {
	if a := s.advisers[command.Member]; a != nil && a.inFlight > 0 {
		a.inFlight--
		a.load = max(0, a.load-command.Cost)
	}
	j := s.jobs[command.Step.Workflow]
	if j == nil || command.Step.Occurrence >= len(j.occurrences) {
		return
	}
	step := j.occurrences[command.Step.Occurrence].steps[command.Step.Step]
	step.advice.asking = false
	if !ok {
		step.advice.notTill = s.now + adviceRetry
		return
	}
	s.cfg.Decision(Decision{
		Event: EventAdvised, Workflow: j.spec.ID, Task: command.Step.String(), Count: len(answer.Tickets), Age: s.now - sent,
	})
	if step.advice.verdicts == nil {
		step.advice.verdicts = map[cyclamendyke.TargetID]verdict{}
	}
	for _, id := range command.Targets {
		step.advice.verdicts[id] = verdict{}
	}
	expires := s.now + answer.Valid - ticketMargin
	for _, ticket := range answer.Tickets {
		step.advice.verdicts[ticket.Target] = verdict{good: true, ticket: ticket.Text, expires: expires}
		step.advice.until = max(step.advice.until, expires)
	}
}

// ticket returns the ticket for a target, and whether a task of the step may start there now.
func (step *stepRun) ticket(queue *cyclamendyke.Queue, t *target, now time.Duration) (string, bool) {
	if queue.Advice == nil {
		return "", true
	}
	v := step.advice.verdicts[t.info.ID]
	return v.ticket, v.good && now < v.expires
}

func (step *stepRun) runningTasks() int {
	count := 0
	for i := range step.tasks {
		if !step.tasks[i].done && len(step.tasks[i].runs) > 0 {
			count++
		}
	}
	return count
}

// remaining estimates when the last running task of the step ends.
func (step *stepRun) remaining(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range step.tasks {
		for _, r := range step.tasks[i].runs {
			longest = max(longest, r.remaining(now))
		}
	}
	return longest
}

// remaining estimates how long the run goes on.
func (r *run) remaining(now time.Duration) time.Duration {
	return max(0, r.step.spec.Estimate-(now-r.started))
}
