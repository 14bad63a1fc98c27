package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// makeRoom preempts runs for an urgent step, unless there may be room that it has not asked about; for a
// gang or a wide task that has waited for some time, it reserves the room that frees up as runs end, once it has the turn.
func (s *Scheduler) makeRoom(step *stepRun, queue *cyclamendyke.Queue, unplaced int, pass *placementPass) {
	if s.now < step.preemptedUntil && (step.spec.Gang || len(step.claims) >= unplaced) {
		return
	}
	if s.mayPreempt(step, queue) {
		if step.spec.Gang {
			s.dropClaims(step)
		}
		missing := unplaced - len(step.claims)
		if missing > 0 && s.hasVictims(queue, pass) && (step.spec.Gang || !s.mayFindRoom(step, queue, missing)) && s.preempt(step, queue, missing) > 0 {
			return
		}
	}
	if queue.Priority == 0 && !step.spec.Gang {
		return
	}
	if s.now-step.releasedAt > reserveDelay && (step.spec.Gang || s.wide(step, queue)) {
		s.takeTurn(step, queue, pass)
	}
}

// mayFindRoom reports whether targets for which the step has no ticket are likely to have room for count
// more of its tasks, and tickets for them take less time than stopping a run.
func (s *Scheduler) mayFindRoom(step *stepRun, queue *cyclamendyke.Queue, count int) bool {
	if queue.Advice == nil || queue.Advice.Base+maxAdviceTargets*queue.Advice.PerTarget >= s.cfg.Bounds.StopTimeout {
		return false
	}
	expected := 0.0
	for _, t := range s.usableByService[queue.Service] {
		if !s.hasRoomFor(step, t) || !s.eligible(step, queue, t) || t.atMaxPerTarget(step) {
			continue
		}
		expected += s.ticketChance(step, queue, t) * float64(step.fitCount(s.available(step, t), count))
		if expected >= float64(count) {
			return true
		}
	}
	return false
}

// hasRoomFor reports whether a target has room for a task of the step that no other step claims.
func (s *Scheduler) hasRoomFor(step *stepRun, t *target) bool {
	need := step.spec.Reserved()
	return need.FitsIn(t.free()) && need.FitsIn(s.available(step, t))
}

// ticketChance returns how likely a request yields a ticket for a target; it is zero if the step has one.
func (s *Scheduler) ticketChance(step *stepRun, queue *cyclamendyke.Queue, t *target) float64 {
	v, hasVerdict := step.advice.verdicts[t.info.ID]
	switch {
	case !hasVerdict:
		return float64(*s.allowedPart(queue.Name))
	case v.allowed && s.now >= v.expiresAt:
		return 1
	default:
		return 0
	}
}

// mayPreempt reports whether a step may preempt less urgent runs.
func (s *Scheduler) mayPreempt(step *stepRun, queue *cyclamendyke.Queue) bool {
	return !step.job.overShare && (queue.Priority == 0 || step.spec.Gang)
}

// wideShare is the fraction of a target's capacity from which on a task counts as wide.
const wideShare = 0.4

// wide reports whether a task takes so much of every target that smaller tasks could keep overtaking
// it.
func (s *Scheduler) wide(step *stepRun, queue *cyclamendyke.Queue) bool {
	anyEligible := false
	for _, t := range s.usableByService[queue.Service] {
		if !s.eligible(step, queue, t) {
			continue
		}
		if step.spec.Reserved().DominantShare(t.info.Capacity) < wideShare {
			return false
		}
		anyEligible = true
	}
	return anyEligible
}

// fitTimes estimates when the first, second and each further task of the step fits on a target, given
// all claims there; it returns at most limit times.
func (s *Scheduler) fitTimes(step *stepRun, t *target, limit int) []time.Duration {
	need := step.spec.Reserved()
	free := s.available(nil, t)
	ending := s.endingRuns(t)
	var times []time.Duration
	at := s.now
	for len(times) < limit {
		for !need.FitsIn(free) {
			if len(ending) == 0 {
				return times
			}
			at = s.now + ending[0].remaining
			free = free.Add(ending[0].run.step.spec.Reserved())
			ending = ending[1:]
		}
		times = append(times, at)
		free = free.Sub(need)
	}
	return times
}

// endingRun is a run with the time that it is expected to go on.
type endingRun struct {
	run       *run
	remaining time.Duration
}

// endingRuns returns the runs of a target that end by themselves, in the order of their expected ends.
func (s *Scheduler) endingRuns(t *target) []endingRun {
	runs := make([]endingRun, 0, len(t.runs))
	for _, r := range t.runs {
		if !r.step.spec.LongRunning {
			runs = append(runs, endingRun{r, r.remaining(s.now)})
		}
	}
	slices.SortFunc(runs, func(a, b endingRun) int {
		return cmp.Or(cmp.Compare(a.remaining, b.remaining), cmp.Compare(a.run.number, b.run.number), cmp.Compare(a.run.taskIndex, b.run.taskIndex))
	})
	return runs
}
