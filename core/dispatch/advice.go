package dispatch

import (
	"cmp"
	"maps"
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
	for name := range s.advisers {
		if !slices.Contains(members, name) {
			delete(s.advisers, name)
		}
	}
	for _, name := range members {
		if s.advisers[name] == nil {
			s.advisers[name] = &adviser{}
		}
	}
}

// freeAdviser returns the member that can answer a question soonest, or an empty name if all that may ask it are busy.
//
// It answers bursts of urgent work, whose questions take a few milliseconds,
// among others that take half a second: some members are kept for the former.
func (s *Scheduler) freeAdviser(urgent bool) cyclamendyke.MemberName {
	names := slices.Sorted(maps.Keys(s.advisers))
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

// askFirst asks about all targets of a step that was not asked about before.
func (s *Scheduler) askFirst(step *stepRun, queue *cyclamendyke.Queue) {
	if step.advice.asking || s.now < step.advice.notTill || len(step.advice.verdicts) > 0 || s.freeAdviser(queue.Priority == 0) == "" {
		return
	}
	var candidates []*target
	for _, t := range s.targets {
		if s.eligible(step, queue, t) {
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, func(a, b *target) int {
		return cmp.Or(cmp.Compare(b.free().Cores, a.free().Cores), cmp.Compare(a.info.ID, b.info.ID))
	})
	s.ask(step, targetIDs(candidates, adviceMost))
}

func targetIDs(targets []*target, most int) []cyclamendyke.TargetID {
	ids := make([]cyclamendyke.TargetID, 0, min(most, len(targets)))
	for _, t := range targets[:min(most, len(targets))] {
		ids = append(ids, t.info.ID)
	}
	return ids
}

// askAgain asks for the tickets that the waiting tasks of a step can use on the room that the steps before it leave.
//
// It answers loads with more waiting work than room: the advice service takes
// far longer for a question than a target for a task, so that questions about
// work that finds no room would keep those waiting that could start.
func (s *Scheduler) askAgain(step *stepRun, queue *cyclamendyke.Queue, waiting int, full exhausted) {
	if queue.Advice == nil || step.claims == 0 && full.has(queue.Service, step.spec.Reserved()) {
		return
	}
	targets := s.useRoom(step, queue, waiting, full)
	if step.advice.asking || s.now < step.advice.notTill || s.freeAdviser(queue.Priority == 0) == "" {
		return
	}
	if len(step.advice.verdicts) == 0 && (queue.Priority == 0 || len(targets) > 0 && s.idleAdviser()) {
		s.askFirst(step, queue)
		return
	}
	s.ask(step, targets)
}

// idleAdviser reports whether a member has no question under way.
func (s *Scheduler) idleAdviser() bool {
	for _, a := range s.advisers {
		if a.inFlight == 0 {
			return true
		}
	}
	return false
}

// soonFree is how far ahead the end of a run counts as room, since an answer takes about as long.
const soonFree = 400 * time.Millisecond

// countRoom works out what is free on each usable target, or soon will be.
func (s *Scheduler) countRoom() {
	for _, t := range s.targets {
		if !s.usable(t) {
			continue
		}
		free := t.free()
		for _, r := range t.runs {
			if r.state == runStopping || !r.step.spec.Lasting && r.remaining(s.now) < soonFree {
				free = free.Add(r.step.spec.Reserved())
			}
		}
		t.left = free
	}
}

// unknownHope is the part of the targets that are not known yet which are expected to be good.
const unknownHope = 0.4

// useRoom takes room for the waiting tasks of a step and returns the targets for which it lacks a ticket.
func (s *Scheduler) useRoom(step *stepRun, queue *cyclamendyke.Queue, waiting int, full exhausted) []cyclamendyke.TargetID {
	need := step.spec.Reserved()
	var lacking []cyclamendyke.TargetID
	expected := 0.0
	for _, o := range s.roomFor(step, queue, full) {
		if expected >= float64(waiting) {
			break
		}
		t := o.target
		fits := step.fitting(t.left, waiting)
		t.left = t.left.Sub(need.Scale(int64(fits)))
		if o.verdict.good {
			expected += float64(fits)
		} else {
			expected += unknownHope * float64(fits)
		}
		if !o.verdict.good || s.now >= o.verdict.expires {
			lacking = append(lacking, t.info.ID)
		}
	}
	return lacking[:min(len(lacking), adviceMost)]
}

// roomOption is a target that a step may ask about or has a ticket for.
type roomOption struct {
	target  *target
	verdict verdict
	claimed bool
}

// roomFor returns the targets whose room a step can use: those that it claims, then those that are known to be good, then the roomiest.
func (s *Scheduler) roomFor(step *stepRun, queue *cyclamendyke.Queue, full exhausted) []roomOption {
	need := step.spec.Reserved()
	var options []roomOption
	roomy := false
	for _, t := range s.ready[queue.Service] {
		fits := need.FitsIn(t.left)
		roomy = roomy || fits
		claimed := step.claims > 0 && t.claimedBy(step)
		if !fits && !claimed || t.full(step) || !s.eligible(step, queue, t) {
			continue
		}
		v, asked := step.advice.verdicts[t.info.ID]
		if v.good || !asked {
			options = append(options, roomOption{t, v, claimed})
		}
	}
	if !roomy {
		full.add(queue.Service, need)
	}
	slices.SortFunc(options, func(a, b roomOption) int {
		return cmp.Or(
			-cmp.Compare(boolRank(a.claimed), boolRank(b.claimed)),
			-cmp.Compare(boolRank(a.verdict.good), boolRank(b.verdict.good)),
			cmp.Compare(b.target.left.Cores, a.target.left.Cores),
			cmp.Compare(a.target.info.ID, b.target.info.ID),
		)
	})
	return options
}

// fitting returns how many of the step's tasks fit in free, at least one and at most waiting.
func (step *stepRun) fitting(free cyclamendyke.Resources, waiting int) int {
	most := waiting
	if step.spec.MaxPerTarget > 0 {
		most = min(most, step.spec.MaxPerTarget)
	}
	need := step.spec.Reserved()
	count := 1
	for count < most && need.Scale(int64(count+1)).FitsIn(free) {
		count++
	}
	return count
}

// askAhead asks for the steps that follow one whose tasks all run and soon end.
func (s *Scheduler) askAhead(step *stepRun) {
	if step.done+step.runningTasks() < len(step.tasks) {
		return
	}
	queue := step.job.queue(s)
	if queue == nil || queue.Advice == nil {
		return
	}
	lead := queue.Advice.Base + adviceMost*queue.Advice.PerTarget + adviceSlack
	if step.remaining(s.now) > lead {
		return
	}
	for _, next := range step.occ.steps {
		if !next.released && slices.Contains(next.spec.After, step.index) {
			s.askFirst(next, queue)
		}
	}
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
