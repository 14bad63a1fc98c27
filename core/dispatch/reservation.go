package dispatch

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/crash"
	"cyclamendyke/core/reserve"
)

// The rules for reservations of room that frees up as runs end (docs/design/reservations.md).
const (
	reservationTTL      = time.Second            // Renewed while the step waits.
	reserveDelay        = 300 * time.Millisecond // How long a step waits before it may reserve room.
	trialReserveDelay   = time.Second            // How long suspects do, which wait for other reasons first.
	impossibleFor       = time.Second            // A step for which there are too few targets does not ask again for so long.
	maxReserveAttempts  = 2                      // Steps of a service for which room is looked for in one pass.
	turnGuarantee       = 4 * time.Second        // For so long a more urgent step may take a turn over.
	overdueTrialWait    = 4 * time.Second        // How long suspects wait before they get every second turn.
	reservationPatience = time.Second            // How long work waits beside reserved room that idles.
	reservationSoon     = 500 * time.Millisecond // What starts within that time is left its room for longer.
	busyShare           = 0.5                    // Part of a service in use from which on idle room may be kept from work that ends.
)

// reservationOverride says which work may use reserved room.
var reservationOverride = reserve.Override{Patience: reservationPatience, Soon: reservationSoon, Busy: busyShare}

// line returns the line of a service for the turn to reserve room.
func (s *Scheduler) line(service cyclamendyke.ServiceName) *reserve.Line[*stepRun] {
	line := s.lines[service]
	if line == nil {
		line = reserve.NewLine[*stepRun](reserve.Config{Guarantee: turnGuarantee, Lapse: reservationTTL, TrialWait: overdueTrialWait})
		s.lines[service] = line
	}
	return line
}

// hasTurn reports whether it is a step's turn to reserve room.
func (s *Scheduler) hasTurn(step *stepRun, queue *cyclamendyke.Queue) bool {
	line := s.lines[queue.Service]
	return line != nil && line.Has(step)
}

// leaveLine ends a step's turn and drops what it claims.
func (s *Scheduler) leaveLine(step *stepRun, queue *cyclamendyke.Queue) {
	s.dropClaims(step)
	if line := s.lines[queue.Service]; line != nil {
		line.Leave(step)
	}
}

// takeTurn reserves room for all members of a step's gang, or for one task, where they are expected to fit earliest, if it is the step's
// turn. It holds no part of what it needs: if the targets that there are can't have room for all, the turn goes on.
func (s *Scheduler) takeTurn(step *stepRun, queue *cyclamendyke.Queue, pass *placementPass) {
	line := s.line(queue.Service)
	claimant := reserve.Claimant[*stepRun]{ID: step, Urgency: queue.Priority, Since: step.unplacedSince, IsTrial: step.hasSuspects}
	if !line.Has(step) && (s.now < step.mayReserveAt || pass.reserveAttempts[queue.Service] >= maxReserveAttempts) || !line.Ask(s.now, claimant) {
		return
	}
	pass.reserveAttempts[queue.Service]++
	s.dropClaims(step)
	count := 1
	if step.spec.Gang {
		count = step.spec.Count
	}
	chosen, at, ok := reserve.Earliest(s.places(step, queue, count), count)
	if !ok {
		step.mayReserveAt = s.now + impossibleFor
		line.Leave(step)
		return
	}
	if lost, hasLost := line.Take(s.now, claimant); hasLost {
		s.dropClaims(lost)
	}
	step.claimedFrom = at
	for _, place := range chosen {
		s.claim(step, s.targets[place.Target], at, reservationTTL)
	}
}

// places returns where and when tasks of a step are expected to fit, at most count on each target. A target that is kept for a trial
// counts from the end of that on.
func (s *Scheduler) places(step *stepRun, queue *cyclamendyke.Queue, count int) []reserve.Place[cyclamendyke.TargetID] {
	limit := count
	if step.spec.MaxPerTarget > 0 {
		limit = min(limit, step.spec.MaxPerTarget)
	}
	var out []reserve.Place[cyclamendyke.TargetID]
	for id, t := range s.targets {
		v, hasVerdict := step.advice.verdicts[id]
		isDenied := queue.Advice != nil && hasVerdict && !v.allowed
		if t.info.Service != queue.Service || isDenied || !s.ready(t) || s.evacuated(t) || !s.eligible(step, queue, t) || s.isUnstableFor(step, t) {
			continue
		}
		free := s.now + s.trialLeft(t)
		for _, at := range s.fitTimes(step, t, limit) {
			out = append(out, reserve.Place[cyclamendyke.TargetID]{Target: id, At: max(at, free)})
		}
	}
	return out
}

// trialLeft returns how long a target is expected to be kept for a trial.
func (s *Scheduler) trialLeft(t *target) time.Duration {
	switch {
	case t.trial == nil:
		return 0
	case t.trial.began:
		return max(0, t.trial.beganAt+crash.MaxTrialTime-s.now)
	default:
		return crash.MaxTrialTime
	}
}

// mayUseReserved reports whether a step may use room that another one has reserved and can't use yet.
func (s *Scheduler) mayUseReserved(step *stepRun, t *target, c *claim) bool {
	if c.isPreempted || step.unplacedSince == 0 {
		return false
	}
	return reservationOverride.Allows(s.now, c.from, s.now-step.unplacedSince, step.spec.LongRunning, s.usedShare(t.info.Service))
}

// usedShare returns the largest part of a resource of a service's ready targets that is in use.
func (s *Scheduler) usedShare(service cyclamendyke.ServiceName) float64 {
	if share, isKnown := s.usedShares[service]; isKnown {
		return share
	}
	var used, capacity cyclamendyke.Resources
	for _, t := range s.targets {
		if t.info.Service == service && s.ready(t) {
			used, capacity = used.Add(t.used), capacity.Add(t.info.Capacity)
		}
	}
	share := used.DominantShare(capacity)
	s.usedShares[service] = share
	return share
}
