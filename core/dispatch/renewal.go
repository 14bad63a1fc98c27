package dispatch

import (
	"time"

	"cyclamendyke"
)

// The timing of renewals.
const (
	renewWait       = 2 * time.Second        // How long a target may wait for an end before it answers.
	servingWait     = 500 * time.Millisecond // The same where paced tasks run beside serving ones.
	renewRetry      = 250 * time.Millisecond // After a renewal that failed.
	unrecordedDelay = 150 * time.Millisecond // While ends wait to be recorded, after which the target would list them again.
	silentAfter     = renewWait + 700*time.Millisecond
	clockDrift      = 0.98 // The slowest that a target's clock may run.
	lapseMargin     = 200 * time.Millisecond
	leasePart       = 0.85 // Of the longest lease that a target grants.
)

// renewAll sends the renewals that are due.
func (s *Scheduler) renewAll() {
	for _, t := range s.targets {
		if t.renewing || s.now < t.nextRenew {
			continue
		}
		t.renewing = true
		s.emit(RenewCommand{Target: t.info, Renewal: s.renewal(t, s.waitFor(t))})
	}
}

func (s *Scheduler) waitFor(t *target) time.Duration {
	if !t.listed {
		return 0
	}
	serving, filling := false, false
	for _, r := range t.runs {
		serving = serving || r.step.spec.LatencyTarget > 0
		filling = filling || r.step.spec.Filler
	}
	if serving && filling {
		return servingWait
	}
	return renewWait
}

func (s *Scheduler) renewal(t *target, wait time.Duration) cyclamendyke.Renewal {
	renewal := cyclamendyke.Renewal{Fence: s.cfg.Epoch, LastSeen: t.lastSeen, Wait: wait}
	if t.listed && !t.failing { // The lease of a silent target must be able to lapse.
		renewal.Until = s.lease(t)
		t.until = max(t.until, renewal.Until)
	}
	return renewal
}

// look asks for a listing beside the renewal that waits.
func (s *Scheduler) look(t *target) {
	if t.looking || !t.listed {
		return
	}
	t.looking = true
	s.emit(RenewCommand{Target: t.info, Renewal: s.renewal(t, 0), Look: true})
}

// Renewed takes in a target's answer to a renewal that was sent at a moment.
func (s *Scheduler) Renewed(info cyclamendyke.Target, look bool, sent time.Duration, listing cyclamendyke.Listing) {
	t := s.targets[info.ID]
	if t == nil {
		return
	}
	t.renewed(look)
	if listing.Born != 0 && t.info.Born != 0 && listing.Born < t.info.Born {
		t.nextRenew = s.now
		return // The answer of an earlier incarnation.
	}
	if listing.Born > t.info.Born {
		if t.info.Born != 0 {
			s.reborn(t)
		}
		t.info.Born = listing.Born
	}
	if !t.listed {
		t.listed = true
		// An earlier epoch may have granted its longest lease right before this answer.
		t.until = listing.Clock + LongestLease(s.cfg.Bounds)
		s.noteTarget(info.ID, "listed")
	}
	t.over = false
	t.failing = false
	t.heardAt = s.now
	t.listedAt = max(t.listedAt, sent)
	if listing.Clock > t.clock {
		t.clock, t.clockAt = listing.Clock, s.now
	}
	if listing.Draining {
		if !t.info.Draining {
			s.targetSet++
		}
		t.info.Draining = true
		t.info.Remaining = listing.Remaining
		s.noteLeaving(t, listing.Remaining)
	}
	s.takeEnds(t, listing.Ended)
	s.reconcile(t, sent, listing.Running)
	s.setPace(t)
	t.acknowledge()
	t.nextRenew = s.now
	if len(t.unkept) > 0 {
		t.nextRenew = s.now + unrecordedDelay
	}
}

func (t *target) renewed(look bool) {
	if look {
		t.looking = false
	} else {
		t.renewing = false
	}
}

// RenewFailed notes that a renewal had no answer or was refused.
func (s *Scheduler) RenewFailed(info cyclamendyke.Target, look bool, kind cyclamendyke.Kind) {
	t := s.targets[info.ID]
	if t == nil {
		return
	}
	t.renewed(look)
	t.nextRenew = s.now + renewRetry
	if !t.failing {
		t.failing = true
		s.noteTarget(info.ID, "no answer: "+string(kind))
	}
	switch kind {
	case cyclamendyke.KindFenced:
		s.deposed = true
	case cyclamendyke.KindNotTheTarget:
		s.replaced(t, info)
	}
}

// replaced notes that another incarnation answers at the target's address, so that this one has ended.
func (s *Scheduler) replaced(t *target, info cyclamendyke.Target) {
	if t.info.Address != info.Address {
		return
	}
	s.endAll(t, false)
	t.over = true
	if !t.present {
		delete(s.targets, info.ID)
		s.targetSet++
	}
}
