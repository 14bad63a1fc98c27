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
	wideTrialDelay      = time.Second            // How long wide suspects and gangs do, which wait for other reasons first.
	impossibleFor       = time.Second            // A step for which there are too few targets does not ask again for so long.
	maxReserveAttempts  = 2                      // Steps of a service for which room is looked for in one pass.
	turnGuarantee       = 4 * time.Second        // For so long a more urgent step may take a turn over.
	overdueTrialWait    = 4 * time.Second        // How long suspects wait before they get every second turn.
	reservationPatience = time.Second            // How long reserved room may idle beside work that waits.
	reservationSoon     = 500 * time.Millisecond // A holder that starts within that time is left its room.
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
	step.soonSince = 0
	if line := s.lines[queue.Service]; line != nil {
		line.Leave(step)
	}
}

// trialReserveDelay returns how long a step's suspects wait before they may reserve room for a trial. Small ones mostly find some.
func (s *Scheduler) trialReserveDelay(step *stepRun, queue *cyclamendyke.Queue) time.Duration {
	if step.spec.Gang || s.wide(step, queue) {
		return wideTrialDelay
	}
	return overdueTrialWait
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
		step.mayReserveAt, step.soonSince = s.now+impossibleFor, 0
		line.Leave(step)
		return
	}
	if lost, hasLost := line.Take(s.now, claimant); hasLost {
		s.dropClaims(lost)
	}
	step.claimedFrom = at
	switch {
	case at-s.now > reservationSoon:
		step.soonSince = 0
	case step.soonSince == 0:
		step.soonSince = s.now
	}
	for _, place := range chosen {
		t := s.targets[place.Target]
		t.noteReserved(s.now, step.spec.Reserved())
		s.claim(step, t, at, reservationTTL)
	}
}

// noteReserved notes that room for a need is reserved on the target, so that it is known since when that idles.
func (t *target) noteReserved(now time.Duration, need cyclamendyke.Resources) {
	if now-t.reservedAt > reservationTTL || !need.FitsIn(t.free()) {
		t.reservedIdle = now
	}
	t.reservedAt = now
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
	idle := reserve.Idle{For: s.now - max(step.unplacedSince, t.reservedIdle), StartIn: c.from - s.now}
	if c.step.soonSince != 0 {
		idle.SoonFor = s.now - c.step.soonSince
	}
	return reservationOverride.Allows(idle, step.spec.LongRunning, s.usedShare(t.info.Service))
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
