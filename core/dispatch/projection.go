package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// projectionHorizon is the expected remaining time below which a run's resources count as free; a
// request for advice takes about as long.
const projectionHorizon = 400 * time.Millisecond

// projectFree computes projectedFree of each usable target.
func (s *Scheduler) projectFree() {
	for _, targets := range s.usableByService {
		for _, t := range targets {
			free := t.free()
			for _, r := range t.runs {
				if r.state == runStopping || !r.step.spec.LongRunning && r.remaining(s.now) < projectionHorizon {
					free = free.Add(r.step.spec.Reserved())
				}
			}
			t.projectedFree = free
		}
	}
}

// allocation is where a step's waiting tasks are expected to run.
type allocation struct {
	step     *stepRun
	waiting  int
	part     float64 // Part of the targets without a verdict that is expected to be allowed.
	expected float64 // Tasks that are expected to start there.
	chosen   []allocatedRoom
	missing  []cyclamendyke.TargetID // Targets for which the step needs a ticket now.
}

// allocatedRoom is room for some tasks on a target.
type allocatedRoom struct {
	target *target
	tasks  int
}

func (a *allocation) isComplete() bool {
	return a.expected >= float64(a.waiting) || len(a.missing) >= maxAdviceTargets
}

// add expects the step to use a target that has room for it.
func (a *allocation) add(t *target, v verdict, needsTicket bool) {
	tasks := a.step.fitCount(t.projectedFree, a.waiting)
	a.chosen = append(a.chosen, allocatedRoom{t, tasks})
	if v.allowed {
		a.expected += float64(tasks)
	} else {
		a.expected += a.part * float64(tasks)
	}
	if needsTicket {
		a.missing = append(a.missing, t.info.ID)
	}
}

// allocateProjected subtracts a step's waiting tasks from the projectedFree of targets that they may
// use, and returns the targets among them for which the step needs a ticket now: first those that it
// claims, then those that advice allows, then those without a verdict. A gang that does not fit as a
// whole takes nothing, so that smaller steps can use what is there.
func (s *Scheduler) allocateProjected(step *stepRun, queue *cyclamendyke.Queue, waiting int, noProjectedRoom noFitCache) []cyclamendyke.TargetID {
	a := &allocation{step: step, waiting: waiting, part: float64(*s.allowedPart(queue.Name))}
	for _, c := range step.claims {
		v, hasVerdict := step.advice.verdicts[c.target.info.ID]
		if (v.allowed || !hasVerdict) && !a.has(c.target) {
			a.add(c.target, v, s.needsTicket(step, queue, v, true))
		}
	}
	if step.rankKey.priority == 0 {
		s.allocateFree(a, queue, noProjectedRoom, true)
	}
	s.allocateFree(a, queue, noProjectedRoom, false)
	if !step.spec.Gang || a.expected >= float64(waiting) {
		need := step.spec.Reserved()
		for _, room := range a.chosen {
			room.target.projectedFree = room.target.projectedFree.Sub(need.Scale(int64(room.tasks)))
		}
	}
	return a.missing[:min(len(a.missing), maxAdviceTargets)]
}

// allocateFree adds targets with room until the step's tasks fit. With roomNow, it adds only those with
// room that need not be freed first.
func (s *Scheduler) allocateFree(a *allocation, queue *cyclamendyke.Queue, noProjectedRoom noFitCache, roomNow bool) {
	s.allocateAllowed(a, queue, roomNow)
	if !a.isComplete() && !noProjectedRoom.has(queue.Service, a.step.spec.Reserved()) {
		s.allocateUnknown(a, queue, noProjectedRoom, roomNow)
	}
}

// has reports whether the step is expected to use a target.
func (a *allocation) has(t *target) bool {
	return slices.ContainsFunc(a.chosen, func(r allocatedRoom) bool { return r.target == t })
}

// allocateAllowed adds targets that advice allows, those with more room first.
func (s *Scheduler) allocateAllowed(a *allocation, queue *cyclamendyke.Queue, roomNow bool) {
	step, need := a.step, a.step.spec.Reserved()
	var allowed []*target
	for id, v := range step.advice.verdicts {
		t := s.targets[id]
		if v.allowed && t != nil && s.usable(t) && !s.isUnstableFor(step, t) && need.FitsIn(t.projectedFree) && !t.claimedBy(step) && !a.has(t) &&
			!t.atMaxPerTarget(step) && s.eligible(step, queue, t) && (!roomNow || s.hasRoomFor(step, t)) {
			allowed = append(allowed, t)
		}
	}
	slices.SortFunc(allowed, func(x, y *target) int {
		return cmp.Or(cmp.Compare(y.projectedFree.Cores, x.projectedFree.Cores), cmp.Compare(x.info.ID, y.info.ID))
	})
	for _, t := range allowed {
		if a.isComplete() {
			return
		}
		v := step.advice.verdicts[t.info.ID]
		a.add(t, v, s.needsTicket(step, queue, v, false))
	}
}

// allocateUnknown adds targets about which advice was not asked yet, and notes in noProjectedRoom if no
// target has room.
func (s *Scheduler) allocateUnknown(a *allocation, queue *cyclamendyke.Queue, noProjectedRoom noFitCache, roomNow bool) {
	step, need := a.step, a.step.spec.Reserved()
	anyFits := false
	for _, indexed := range s.targetsByRoom(queue.Service) {
		if a.isComplete() {
			return
		}
		if indexed.cores < need.Cores {
			break
		}
		t := indexed.target
		if !need.FitsIn(t.projectedFree) {
			continue
		}
		anyFits = true
		if a.has(t) || roomNow && !s.hasRoomFor(step, t) || s.isUnstableFor(step, t) {
			continue
		}
		if _, hasVerdict := step.advice.verdicts[t.info.ID]; hasVerdict || t.claimedBy(step) || t.atMaxPerTarget(step) || !s.eligible(step, queue, t) {
			continue
		}
		a.add(t, verdict{}, true)
	}
	if !anyFits {
		noProjectedRoom.add(queue.Service, need)
	}
}

// claimedBy reports whether the step has a claim on the target.
func (t *target) claimedBy(step *stepRun) bool {
	return slices.ContainsFunc(step.claims, func(c *claim) bool { return c.target == t })
}

// fitCount returns how many of the step's tasks fit in free, at least one and at most waiting.
func (step *stepRun) fitCount(free cyclamendyke.Resources, waiting int) int {
	limit := waiting
	if step.spec.MaxPerTarget > 0 {
		limit = min(limit, step.spec.MaxPerTarget)
	}
	return max(1, min(limit, int(step.fitsIn(free))))
}
