package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// The rules for claims, which reserve room for a step that waits for it.
const (
	preemptClaimTTL = time.Second            // Lifetime of a claim on room freed by preemption.
	waitClaimTTL    = time.Second            // Lifetime of a claim on room that frees up as runs end; renewed while the step waits.
	waitClaimDelay  = 300 * time.Millisecond // How long a step waits before it may claim room that frees up as runs end.
	maxWaitClaims   = 2                      // Steps per pass that may claim room that frees up as runs end.
	maxLostFraction = 0.5                    // Part of its estimate after which a task without checkpoints is not preempted.
)

// claim reserves resources of a target for a step until a given time.
type claim struct {
	step  *stepRun
	need  cyclamendyke.Resources
	until time.Duration
}

func (t *target) claimedBy(step *stepRun) bool {
	return slices.ContainsFunc(t.claims, func(c claim) bool { return c.step == step })
}

func (s *Scheduler) expireClaims() {
	for _, t := range s.targets {
		t.claims = slices.DeleteFunc(t.claims, func(c claim) bool {
			expired := s.now >= c.until
			if expired {
				c.step.claimCount--
			}
			return expired
		})
	}
}

func (s *Scheduler) dropClaims(step *stepRun) {
	if step.claimCount == 0 {
		return
	}
	for _, t := range s.targets {
		t.claims = slices.DeleteFunc(t.claims, func(c claim) bool { return c.step == step })
	}
	step.claimCount = 0
}

func (s *Scheduler) claim(step *stepRun, t *target, count int, ttl time.Duration) {
	t.claims = append(t.claims, claim{step: step, need: step.spec.Reserved().Scale(int64(count)), until: s.now + ttl})
	step.claimCount++
}

// makeRoom preempts runs for an urgent step; for a gang or a wide task that has waited for some time,
// it claims the room that frees up as runs end. waitClaims counts the steps of this pass
// that have tried to claim such room.
func (s *Scheduler) makeRoom(step *stepRun, queue *cyclamendyke.Queue, unplaced int, waitClaims *int) {
	need := step.spec.Reserved()
	count := 1
	if step.spec.Gang {
		count = unplaced
	}
	if !s.team(step.job.spec.Team).admits(need.Scale(int64(count))) {
		return
	}
	if queue.Priority == 0 && !step.spec.Gang && !step.job.overShare {
		targets := s.candidates(step, queue)
		for range unplaced - step.claimCount {
			if !s.preempt(step, queue, targets) {
				break
			}
		}
		return
	}
	if *waitClaims < maxWaitClaims && s.now-step.releasedAt > waitClaimDelay && (step.spec.Gang || s.wide(step, queue)) {
		*waitClaims++
		s.claimEarliest(step, queue, count)
	}
}

// wideShare is the fraction of a target's capacity from which on a task counts as wide.
const wideShare = 0.4

// wide reports whether a task takes so much of a target that smaller tasks could keep overtaking
// it.
func (s *Scheduler) wide(step *stepRun, queue *cyclamendyke.Queue) bool {
	for _, t := range s.targets {
		if s.eligible(step, queue, t) {
			return step.spec.Reserved().DominantShare(t.info.Capacity) >= wideShare
		}
	}
	return false
}

// claimEarliest replaces the step's claims by claims on the targets where its tasks are expected to
// fit earliest.
func (s *Scheduler) claimEarliest(step *stepRun, queue *cyclamendyke.Queue, count int) {
	s.dropClaims(step)
	var options []claimOption
	for _, t := range s.usableByService[queue.Service] {
		if v, hasVerdict := step.advice.verdicts[t.info.ID]; queue.Advice != nil && hasVerdict && !v.allowed || !s.eligible(step, queue, t) {
			continue
		}
		limit := count
		if step.spec.MaxPerTarget > 0 {
			limit = min(limit, step.spec.MaxPerTarget)
		}
		for _, at := range s.fitTimes(step, t, limit) {
			options = append(options, claimOption{t, at})
		}
	}
	slices.SortFunc(options, func(a, b claimOption) int {
		return cmp.Or(cmp.Compare(a.fitsAt, b.fitsAt), cmp.Compare(a.target.info.ID, b.target.info.ID))
	})
	for _, option := range options[:min(count, len(options))] {
		s.claim(step, option.target, 1, waitClaimTTL)
	}
}

// claimOption is a target with the time at which one more task of a step is expected to fit there.
type claimOption struct {
	target *target
	fitsAt time.Duration
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

// preempt stops the cheapest set of less urgent runs that makes room for one task of the step on
// one of the targets, and claims that room; it returns false if there is no such set.
func (s *Scheduler) preempt(step *stepRun, queue *cyclamendyke.Queue, targets []*target) bool {
	var chosen []*run
	var bestTarget *target
	bestCost := 0.0
	for _, t := range targets {
		if t.atMaxPerTarget(step) {
			continue
		}
		victims, cost, ok := s.victims(step, queue, t)
		if ok && (bestTarget == nil || cost < bestCost || cost == bestCost && t.info.ID < bestTarget.info.ID) {
			chosen, bestTarget, bestCost = victims, t, cost
		}
	}
	if bestTarget == nil {
		return false
	}
	for _, r := range chosen {
		s.cfg.LogDecision(Decision{
			Event: EventPreempted, Workflow: r.step.job.spec.ID, Task: r.taskName().String(), Target: bestTarget.info.ID,
			Run: r.number, Reason: "for " + step.name().String(),
		})
		s.stop(r, "preempted")
	}
	s.claim(step, bestTarget, 1, preemptClaimTTL)
	return true
}

// victims returns the runs to preempt on a target, their total cost in core-seconds, and whether
// the task then fits.
func (s *Scheduler) victims(step *stepRun, queue *cyclamendyke.Queue, t *target) ([]*run, float64, bool) {
	var candidates []*run
	free := s.available(nil, t)
	for _, r := range t.runs {
		if r.state == runStopping {
			free = free.Add(r.step.spec.Reserved())
		}
		if s.preemptible(r, queue) {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *run) int {
		return cmp.Or(cmp.Compare(s.preemptionCost(a), s.preemptionCost(b)), cmp.Compare(a.number, b.number))
	})
	need := step.spec.Reserved()
	var chosen []*run
	cost := 0.0
	for _, r := range candidates {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(r.step.spec.Reserved())
		chosen = append(chosen, r)
		cost += s.preemptionCost(r)
	}
	return chosen, cost, need.FitsIn(free)
}

// preemptible reports whether a run may be stopped for a step of a queue.
func (s *Scheduler) preemptible(r *run, queue *cyclamendyke.Queue) bool {
	ownQueue := r.step.job.queue(s)
	if ownQueue == nil || ownQueue.Priority <= queue.Priority || r.state != runRunning {
		return false
	}
	spec := r.step.spec
	if spec.LongRunning || spec.Gang && len(r.step.tasks) > 1 || spec.Filler {
		return false
	}
	return spec.Checkpoints || s.now-r.startedAt < time.Duration(maxLostFraction*float64(spec.Estimate))
}

// preemptionCost returns the work that stopping a run would lose, in core-seconds.
func (s *Scheduler) preemptionCost(r *run) float64 {
	lost := s.now - r.startedAt
	if r.step.spec.Checkpoints {
		lost = s.cfg.Bounds.RestoreTime + s.cfg.Bounds.StopTimeout
	}
	return lost.Seconds() * float64(r.step.spec.Need.Cores) / 1000
}
