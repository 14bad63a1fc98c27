package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
)

// claim reserves resources of a target for a step that waits for them.
type claim struct {
	step  *stepRun
	need  cyclamendyke.Resources
	from  time.Duration // When the step is expected to start; until then shorter runs may use the resources.
	until time.Duration // When the claim expires.
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

// claim reserves room for one task of a step on a target; from is when the task is expected to start.
func (s *Scheduler) claim(step *stepRun, t *target, from, ttl time.Duration) {
	t.claims = append(t.claims, claim{step: step, need: step.spec.Reserved(), from: from, until: s.now + ttl})
	step.claimCount++
}

// available returns the free resources of a target that no other step claims before a task of the
// step would have ended; if step is nil, it subtracts all claims.
func (s *Scheduler) available(step *stepRun, t *target) cyclamendyke.Resources {
	free := t.free()
	for _, c := range t.claims {
		if c.step == step || s.now >= c.until || step != nil && s.endsBefore(step, t, c.from) {
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
