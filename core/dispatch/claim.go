package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
)

// claim reserves room for one task of a step that waits for it on a target.
type claim struct {
	step   *stepRun
	target *target
	need   cyclamendyke.Resources
	from   time.Duration // When the task is expected to start; until then shorter runs may use the room.
	until  time.Duration // When the claim expires.

	isPreempted bool // The room is being freed by preemption.
}

// claim reserves room for one task of a step on a target; from is when the task is expected to start.
func (s *Scheduler) claim(step *stepRun, t *target, from, ttl time.Duration) *claim {
	c := &claim{step: step, target: t, need: step.spec.Reserved(), from: from, until: s.now + ttl}
	t.claims = append(t.claims, c)
	step.claims = append(step.claims, c)
	s.claims = append(s.claims, c)
	return c
}

// expireClaims drops the claims that have expired.
func (s *Scheduler) expireClaims() {
	s.claims = slices.DeleteFunc(s.claims, func(c *claim) bool {
		if s.now < c.until {
			return false
		}
		c.detach()
		return true
	})
}

// dropClaims drops all claims of a step.
func (s *Scheduler) dropClaims(step *stepRun) {
	for _, c := range slices.Clone(step.claims) {
		c.until = s.now
		c.detach()
	}
}

// detach removes the claim from its step and its target.
func (c *claim) detach() {
	c.step.claims = without(c.step.claims, c)
	c.target.claims = without(c.target.claims, c)
}

func without(claims []*claim, c *claim) []*claim {
	return slices.DeleteFunc(claims, func(other *claim) bool { return other == c })
}

// available returns the free resources of a target that no other step claims before a task of the
// step would have ended, or that the step need not leave idle for longer; if step is nil, it subtracts all claims.
func (s *Scheduler) available(step *stepRun, t *target) cyclamendyke.Resources {
	free := t.free()
	for _, c := range t.claims {
		if c.step == step || step != nil && (s.endsBefore(step, t, c.from) || s.mayUseReserved(step, t, c)) {
			continue
		}
		free = free.Sub(c.need)
	}
	return free
}

// backfillMargin is how much earlier than a claim is needed a task that uses its room must be
// expected to end, relative to the task's run time.
const backfillMargin = 0.5

// endsBefore reports whether a task of the step that starts on a target now is expected to end well
// before a given time.
func (s *Scheduler) endsBefore(step *stepRun, t *target, at time.Duration) bool {
	if step.spec.LongRunning {
		return false
	}
	return s.now+time.Duration((1+backfillMargin)*float64(step.runTimeOn(t))) < at
}

// claimsAreFree reports whether all the room that a step claims is free by now.
func (step *stepRun) claimsAreFree() bool {
	claimed := plan{}
	for _, c := range step.claims {
		claimed[c.target]++
	}
	for t, count := range claimed {
		if !step.spec.Reserved().Scale(int64(count)).FitsIn(t.free()) {
			return false
		}
	}
	return len(claimed) > 0
}
