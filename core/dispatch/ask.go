package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

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
