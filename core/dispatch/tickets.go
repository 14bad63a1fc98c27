package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// requestInitialAdvice requests advice on the targets with the most free cores, for a step that has
// none yet.
func (s *Scheduler) requestInitialAdvice(step *stepRun, queue *cyclamendyke.Queue) {
	if step.advice.requestInFlight || s.now < step.advice.retryAt || len(step.advice.verdicts) > 0 || s.freeAdviser(queue.Priority == 0) == "" {
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
	s.requestAdvice(step, targetIDs(candidates, maxAdviceTargets))
}

func targetIDs(targets []*target, limit int) []cyclamendyke.TargetID {
	ids := make([]cyclamendyke.TargetID, 0, min(limit, len(targets)))
	for _, t := range targets[:min(limit, len(targets))] {
		ids = append(ids, t.info.ID)
	}
	return ids
}

// requestMissingTickets requests tickets for a step's waiting tasks on targets that are expected to
// have room left after the steps of higher rank.
//
// A request for advice takes far longer than a start, so under a backlog the requests of steps
// without room would delay those of steps that can start. The exception is a step without verdicts
// that is urgent or may preempt: it makes a request even if it finds no room.
func (s *Scheduler) requestMissingTickets(step *stepRun, queue *cyclamendyke.Queue, waiting int, noProjectedRoom noFitCache) {
	if queue.Advice == nil || step.claimCount == 0 && noProjectedRoom.has(queue.Service, step.spec.Reserved()) && !s.mayPreempt(step, queue) {
		return
	}
	targets := s.allocateProjected(step, queue, waiting, noProjectedRoom)
	if step.advice.requestInFlight || s.now < step.advice.retryAt || s.freeAdviser(queue.Priority == 0) == "" {
		return
	}
	if len(step.advice.verdicts) == 0 && (queue.Priority == 0 || (len(targets) > 0 || s.mayPreempt(step, queue)) && s.hasIdleAdviser()) {
		s.requestInitialAdvice(step, queue)
		return
	}
	s.requestAdvice(step, targets)
}

// hasIdleAdviser reports whether some member has no request in flight.
func (s *Scheduler) hasIdleAdviser() bool {
	for _, a := range s.advisers {
		if a.requestsInFlight == 0 {
			return true
		}
	}
	return false
}

// projectionHorizon is the expected remaining time below which a run's resources count as free; a
// request for advice takes about as long.
const projectionHorizon = 400 * time.Millisecond

// projectFree computes projectedFree of each usable target.
func (s *Scheduler) projectFree() {
	for _, t := range s.targets {
		if !s.usable(t) {
			continue
		}
		free := t.free()
		for _, r := range t.runs {
			if r.state == runStopping || !r.step.spec.LongRunning && r.remaining(s.now) < projectionHorizon {
				free = free.Add(r.step.spec.Reserved())
			}
		}
		t.projectedFree = free
	}
}

// ticketLead is added to the expected time of a request for tickets for claimed room.
const ticketLead = 300 * time.Millisecond

// assumedAllowedFraction is the expected fraction of allowed targets among those without a verdict.
const assumedAllowedFraction = 0.4

// allocateProjected subtracts a step's waiting tasks from the projectedFree of targets that they may
// use, and returns the targets among them for which the step needs a ticket now. A gang that does not
// fit as a whole takes nothing, so that smaller steps can use what is there.
func (s *Scheduler) allocateProjected(step *stepRun, queue *cyclamendyke.Queue, waiting int, noProjectedRoom noFitCache) []cyclamendyke.TargetID {
	var missing []cyclamendyke.TargetID
	var chosen []roomOption
	expectedStarts := 0.0
	for _, option := range s.roomOptions(step, queue, noProjectedRoom) {
		if expectedStarts >= float64(waiting) {
			break
		}
		option.tasks = step.fitCount(option.target.projectedFree, waiting)
		chosen = append(chosen, option)
		if option.verdict.allowed {
			expectedStarts += float64(option.tasks)
		} else {
			expectedStarts += assumedAllowedFraction * float64(option.tasks)
		}
		if s.needsTicket(step, queue, option) {
			missing = append(missing, option.target.info.ID)
		}
	}
	if !step.spec.Gang || expectedStarts >= float64(waiting) {
		need := step.spec.Reserved()
		for _, option := range chosen {
			option.target.projectedFree = option.target.projectedFree.Sub(need.Scale(int64(option.tasks)))
		}
	}
	return missing[:min(len(missing), maxAdviceTargets)]
}

// needsTicket reports whether a ticket for an option must be requested now. One for claimed room is
// requested so late that it is still valid when the room is free.
func (s *Scheduler) needsTicket(step *stepRun, queue *cyclamendyke.Queue, option roomOption) bool {
	if !option.verdict.allowed {
		return true
	}
	if s.now < option.verdict.expiresAt {
		return false
	}
	lead := queue.Advice.Base + time.Duration(step.claimCount)*queue.Advice.PerTarget + ticketLead
	return !option.claimed || s.now+lead >= step.claimedFrom
}

// roomOption is a target on which a step claims or finds room and which advice has not ruled out.
type roomOption struct {
	target  *target
	verdict verdict
	claimed bool // The step has a claim on the target.
	tasks   int  // How many of the step's tasks are expected to fit.
}

// roomOptions returns a step's options: first the targets that it claims, then those that advice
// allows, then those without a verdict; among equals, those with more free cores come first.
func (s *Scheduler) roomOptions(step *stepRun, queue *cyclamendyke.Queue, noProjectedRoom noFitCache) []roomOption {
	need := step.spec.Reserved()
	var options []roomOption
	anyFits := false
	for _, t := range s.usableByService[queue.Service] {
		fits := need.FitsIn(t.projectedFree)
		anyFits = anyFits || fits
		claimed := step.claimCount > 0 && t.claimedBy(step)
		if !fits && !claimed || t.atMaxPerTarget(step) || !s.eligible(step, queue, t) {
			continue
		}
		v, hasVerdict := step.advice.verdicts[t.info.ID]
		if v.allowed || !hasVerdict {
			options = append(options, roomOption{target: t, verdict: v, claimed: claimed})
		}
	}
	if !anyFits {
		noProjectedRoom.add(queue.Service, need)
	}
	slices.SortFunc(options, func(a, b roomOption) int {
		return cmp.Or(
			-cmp.Compare(boolRank(a.claimed), boolRank(b.claimed)),
			-cmp.Compare(boolRank(a.verdict.allowed), boolRank(b.verdict.allowed)),
			cmp.Compare(b.target.projectedFree.Cores, a.target.projectedFree.Cores),
			cmp.Compare(a.target.info.ID, b.target.info.ID),
		)
	})
	return options
}

// fitCount returns how many of the step's tasks fit in free, at least one and at most waiting.
func (step *stepRun) fitCount(free cyclamendyke.Resources, waiting int) int {
	limit := waiting
	if step.spec.MaxPerTarget > 0 {
		limit = min(limit, step.spec.MaxPerTarget)
	}
	need := step.spec.Reserved()
	count := 1
	for count < limit && need.Scale(int64(count+1)).FitsIn(free) {
		count++
	}
	return count
}

// prefetchAdvice requests advice for the steps after the given one, if all its remaining tasks are
// running and will end soon.
func (s *Scheduler) prefetchAdvice(step *stepRun) {
	if step.tasksDone+step.runningTasks() < len(step.tasks) {
		return
	}
	queue := step.job.queue(s)
	if queue == nil || queue.Advice == nil {
		return
	}
	leadTime := queue.Advice.Base + maxAdviceTargets*queue.Advice.PerTarget + prefetchMargin
	if step.remaining(s.now) > leadTime {
		return
	}
	for _, next := range step.occ.steps {
		if !next.released && slices.Contains(next.spec.After, step.index) {
			s.requestInitialAdvice(next, queue)
		}
	}
}
