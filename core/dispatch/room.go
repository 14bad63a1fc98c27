package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// The rules for claims, which keep room for a step that waits for it.
const (
	preemptClaim  = time.Second            // How long room that is being freed is kept.
	queuedClaim   = time.Second            // The same where the room frees itself; it is renewed while the step waits.
	claimAfter    = 300 * time.Millisecond // How long a step waits before it may claim room that frees itself.
	maxGangClaims = 2                      // Steps of each pass that may claim room that frees itself.
	unsavedLimit  = 0.5                    // Part of its work that a task without checkpoints may lose to an urgent one.
)

// claim keeps room on a target for a step.
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
				c.step.claims--
			}
			return expired
		})
	}
}

func (s *Scheduler) dropClaims(step *stepRun) {
	if step.claims == 0 {
		return
	}
	for _, t := range s.targets {
		t.claims = slices.DeleteFunc(t.claims, func(c claim) bool { return c.step == step })
	}
	step.claims = 0
}

func (s *Scheduler) claim(step *stepRun, t *target, count int, keep time.Duration) {
	t.claims = append(t.claims, claim{step: step, need: step.spec.Reserved().Scale(int64(count)), until: s.now + keep})
	step.claims++
}

// makeRoom preempts for an urgent step, and claims room that frees itself for one that needs much of it.
func (s *Scheduler) makeRoom(step *stepRun, queue *cyclamendyke.Queue, left int, gangClaims *int) {
	need := step.spec.Reserved()
	count := 1
	if step.spec.Gang {
		count = left
	}
	if !s.team(step.job.spec.Team).admits(need.Scale(int64(count))) {
		return
	}
	if queue.Priority == 0 && !step.spec.Gang && !step.job.over {
		among := s.candidates(step, queue)
		for range left - step.claims {
			if !s.preempt(step, queue, among) {
				break
			}
		}
		return
	}
	if *gangClaims < maxGangClaims && s.now-step.since > claimAfter && (step.spec.Gang || s.wide(step, queue)) {
		*gangClaims++
		s.claimSoonest(step, queue, count)
	}
}

// wideShare is the part of a target from which on a task counts as wide.
const wideShare = 0.4

// wide reports whether a task takes so much of a target that smaller tasks can keep passing it.
func (s *Scheduler) wide(step *stepRun, queue *cyclamendyke.Queue) bool {
	for _, t := range s.targets {
		if s.eligible(step, queue, t) {
			return step.spec.Reserved().DominantShare(t.info.Capacity) >= wideShare
		}
	}
	return false
}

// claimSoonest claims the targets where the step's tasks fit soonest.
func (s *Scheduler) claimSoonest(step *stepRun, queue *cyclamendyke.Queue, count int) {
	type option struct {
		target *target
		fits   time.Duration
	}
	s.dropClaims(step)
	for range count {
		var best *option
		for _, t := range s.targets {
			if !s.eligible(step, queue, t) || !s.usable(t) || t.claimedBy(step) && step.spec.MaxPerTarget == 1 {
				continue
			}
			if v, asked := step.advice.verdicts[t.info.ID]; queue.Advice != nil && asked && !v.good {
				continue
			}
			at, ok := s.fitsAt(step, t)
			if !ok {
				continue
			}
			if best == nil || at < best.fits || at == best.fits && t.info.ID < best.target.info.ID {
				best = &option{t, at}
			}
		}
		if best == nil {
			return
		}
		s.claim(step, best.target, 1, queuedClaim)
	}
}

// fitsAt estimates when one more task of the step fits on a target, beside all claims.
func (s *Scheduler) fitsAt(step *stepRun, t *target) (time.Duration, bool) {
	free := s.available(nil, t)
	need := step.spec.Reserved()
	if need.FitsIn(free) {
		return s.now, true
	}
	runs := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		if !r.step.spec.Lasting {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.expected(s.now), b.expected(s.now)), cmp.Compare(a.number, b.number))
	})
	for _, r := range runs {
		free = free.Add(r.step.spec.Reserved())
		if need.FitsIn(free) {
			return s.now + r.expected(s.now), true
		}
	}
	return 0, false
}

// overdueLeast is the least time that a run beyond its estimate is expected to go on, so that its target never counts as free.
const overdueLeast = 100 * time.Millisecond

// expected estimates how long the run goes on; one that is beyond its estimate is expected to take as long again as it is late.
func (r *run) expected(now time.Duration) time.Duration {
	late := now - r.started - r.step.spec.Estimate
	if late < 0 {
		return -late
	}
	return max(overdueLeast, late)
}

// preempt stops the cheapest set of less urgent runs on one of the candidates that makes room for one task of the step.
func (s *Scheduler) preempt(step *stepRun, queue *cyclamendyke.Queue, among []*target) bool {
	var chosen []*run
	var on *target
	cheapest := 0.0
	for _, t := range among {
		if t.full(step) {
			continue
		}
		victims, cost, ok := s.victims(step, queue, t)
		if ok && (on == nil || cost < cheapest || cost == cheapest && t.info.ID < on.info.ID) {
			chosen, on, cheapest = victims, t, cost
		}
	}
	if on == nil {
		return false
	}
	for _, r := range chosen {
		s.cfg.Decision(Decision{
			Event: EventPreempted, Workflow: r.step.job.spec.ID, Task: r.name().String(), Target: on.info.ID,
			Run: r.number, Reason: "for " + step.name().String(),
		})
		s.stop(r, "preempted")
	}
	s.claim(step, on, 1, preemptClaim)
	return true
}

// victims returns the runs to be stopped on a target, and what is lost with them in core-seconds.
func (s *Scheduler) victims(step *stepRun, queue *cyclamendyke.Queue, t *target) ([]*run, float64, bool) {
	var candidates []*run
	free := s.available(nil, t)
	for _, r := range t.runs {
		if r.state == runStopping {
			free = free.Add(r.step.spec.Reserved()) // On its way out.
		}
		if s.preemptible(r, queue) {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *run) int {
		return cmp.Or(cmp.Compare(s.loss(a), s.loss(b)), cmp.Compare(a.number, b.number))
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
		cost += s.loss(r)
	}
	return chosen, cost, need.FitsIn(free)
}

// preemptible reports whether a run may be stopped for a step of a queue.
func (s *Scheduler) preemptible(r *run, queue *cyclamendyke.Queue) bool {
	own := r.step.job.queue(s)
	if own == nil || own.Priority <= queue.Priority || r.state != runRunning {
		return false
	}
	spec := r.step.spec
	if spec.Lasting || spec.Gang && len(r.step.tasks) > 1 || spec.Filler {
		return false
	}
	return spec.Checkpoints || s.now-r.started < time.Duration(unsavedLimit*float64(spec.Estimate))
}

// loss returns the work that a stop would lose, in core-seconds.
func (s *Scheduler) loss(r *run) float64 {
	lost := s.now - r.started
	if r.step.spec.Checkpoints {
		lost = s.cfg.Bounds.Restore + s.cfg.Bounds.StopTimeout
	}
	return lost.Seconds() * float64(r.step.spec.Need.Cores) / 1000
}
