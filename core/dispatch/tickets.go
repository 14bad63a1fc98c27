package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cyclamendyke"
)

// The size of requests for advice.
const (
	maxAdviceTargets  = 96  // Most targets in one request.
	minAdviceTargets  = 8   // Fewest targets in the first request of a step.
	adviceSurplus     = 8.0 // Expected room on the allowed targets of a first request, relative to what the step needs.
	candidateSurplus  = 3   // Targets looked at for each one in a first request.
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

// requestInitialAdvice requests advice for a step that has none yet, on as many targets as its tasks are
// likely to need.
func (s *Scheduler) requestInitialAdvice(step *stepRun, queue *cyclamendyke.Queue) {
	if step.advice.requestInFlight || s.now < step.advice.retryAt || len(step.advice.verdicts) > 0 || s.freeAdviser(queue.Priority == 0) == "" {
		return
	}
	s.requestAdvice(step, s.adviceTargets(step, queue))
}

// adviceTargets returns the targets of a step's first request: those with the most room or, among the
// first ones, those whose speed suits the step.
func (s *Scheduler) adviceTargets(step *stepRun, queue *cyclamendyke.Queue) []cyclamendyke.TargetID {
	var candidates []*target
	for _, indexed := range s.targetsByRoom(queue.Service) {
		if len(candidates) == candidateSurplus*maxAdviceTargets {
			break
		}
		if s.eligible(step, queue, indexed.target) {
			candidates = append(candidates, indexed.target)
		}
	}
	need := step.spec.Reserved()
	preference := func(t *target) float64 {
		room := float64(t.projectedFree.Cores) / float64(max(1, t.info.Capacity.Cores))
		if need.FitsIn(t.projectedFree) {
			room++
		}
		return speedWeight*step.haste*t.speed.slowness - room
	}
	slices.SortStableFunc(candidates, func(a, b *target) int { return cmp.Compare(preference(a), preference(b)) })
	return targetIDs(candidates, s.adviceCount(step, queue, candidates))
}

// adviceCount returns on how many of the candidates, in their order, a step requests advice.
func (s *Scheduler) adviceCount(step *stepRun, queue *cyclamendyke.Queue, candidates []*target) int {
	part := float64(*s.allowedPart(queue.Name))
	wanted := adviceSurplus * float64(len(step.tasks)-step.tasksDone)
	expected, count := 0.0, 0
	for _, t := range candidates {
		if count >= maxAdviceTargets || count >= minAdviceTargets && expected >= wanted {
			break
		}
		count++
		expected += part * math.Max(0.5, step.fitsIn(t.projectedFree))
	}
	return count
}

// fitsIn returns how many of the step's tasks fit in free, by cores and memory.
func (step *stepRun) fitsIn(free cyclamendyke.Resources) float64 {
	need := step.spec.Reserved()
	fits := float64(len(step.tasks))
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
	if queue.Advice == nil || len(step.claims) == 0 && noProjectedRoom.has(queue.Service, step.spec.Reserved()) && !s.mayPreempt(step, queue) {
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
