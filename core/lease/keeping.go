package lease

import (
	"time"

	"cyclamendyke"
)

// The timing of renewals that are sent beside a scheduler that is late.
const (
	latenessFraction = 0.2                     // A scheduler that has renewed nothing for this part of the longest grant is late.
	renewalFraction  = 0.1                     // Beside it, each target is asked again after this part.
	freshReading     = 1500 * time.Millisecond // A lease counts from a reading of the target's clock that is no older.
)

// Holding is what is known of the lease on a target that answers.
type Holding struct {
	Target     cyclamendyke.Target
	Clock      time.Duration // Last reading of the target's clock.
	ReadAt     time.Duration // When the answer with that reading arrived.
	GrantedEnd time.Duration // Latest end of the leases that this epoch has granted, on the target's clock.
}

// end returns when the granted leases are over, on this process's clock.
func (h *Holding) end() time.Duration {
	return h.ReadAt + time.Duration(float64(h.GrantedEnd-h.Clock)/MinClockRate) + Margin
}

// LateRenewal asks a target for its listing and extends its lease until a time on its clock, unless that is zero.
type LateRenewal struct {
	Target cyclamendyke.Target
	Until  time.Duration
}

// keeping is what a ledger knows of the leases that others may renew while the scheduler is late, since one of its passes,
// or what it does between them, takes long.
type keeping struct {
	holdings  map[cyclamendyke.TargetID]*holding
	kept      map[cyclamendyke.TargetID]Holding // What was learnt and granted beside the scheduler, which it does not know yet.
	renewedAt time.Duration                     // When the scheduler last sent renewals itself.
}

// holding is the state of a lease that may be renewed beside the scheduler.
type holding struct {
	Holding
	isNamed      bool          // The last call of Hold names it.
	askedAt      time.Duration // When the target was last asked beside the scheduler; zero if it is to be asked at once.
	isAsked      bool          // That has no outcome yet.
	extends      bool          // It extends the lease.
	hasFailed    bool          // It had no answer, so that the next one extends nothing.
	hasRestarted bool          // Another incarnation has answered.
}

// Hold replaces the leases that may be renewed beside the scheduler, which has sent its own renewals now. It names targets that
// answer. What was granted beside the scheduler since Kept was last called is not forgotten.
func (l *Ledger) Hold(holdings []Holding, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt = now
	if l.holdings == nil {
		l.holdings = map[cyclamendyke.TargetID]*holding{}
	}
	for i := range holdings {
		l.hold(&holdings[i])
	}
	for id, h := range l.holdings {
		if !h.isNamed {
			delete(l.holdings, id)
		}
		h.isNamed = false
	}
}

func (l *Ledger) hold(named *Holding) {
	h := l.holdings[named.Target.ID]
	if h == nil || h.Target.StartedMillis != named.Target.StartedMillis {
		l.holdings[named.Target.ID] = &holding{Holding: *named, isNamed: true}
		return
	}
	h.Target, h.isNamed, h.hasFailed = named.Target, true, false
	h.GrantedEnd = max(h.GrantedEnd, named.GrantedEnd)
	if named.Clock > h.Clock {
		h.Clock, h.ReadAt = named.Clock, named.ReadAt
	}
}

// release takes a target off the leases that are renewed beside the scheduler, and returns when those granted so are over.
func (l *Ledger) release(id cyclamendyke.TargetID) time.Duration {
	delete(l.holdings, id)
	if kept, isKept := l.kept[id]; isKept {
		return kept.end()
	}
	return 0
}

// ReleaseAll ends the renewals beside the scheduler for good.
func (l *Ledger) ReleaseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdings = nil
}

// Kept returns what was learnt and granted beside the scheduler since it was last called.
func (l *Ledger) Kept() map[cyclamendyke.TargetID]Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.kept
	l.kept = nil
	return kept
}

// Lateness returns for how long the scheduler has sent no renewals, or zero if it is not late.
func (l *Ledger) Lateness(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since := now - l.renewedAt; len(l.holdings) > 0 && since >= l.partOfGrant(latenessFraction) {
		return since
	}
	return 0
}

func (l *Ledger) partOfGrant(part float64) time.Duration {
	return time.Duration(part * float64(l.cfg.LongestGrant))
}

// TakeLateRenewals returns the renewals that are due beside a scheduler that is late. Each needs its outcome.
func (l *Ledger) TakeLateRenewals(now time.Duration) []LateRenewal {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []LateRenewal
	for id, h := range l.holdings {
		if h.isAsked || h.hasRestarted || h.askedAt != 0 && now < h.askedAt+l.partOfGrant(renewalFraction) {
			continue
		}
		h.isAsked, h.askedAt, h.extends = true, now, false
		renewal := LateRenewal{Target: h.Target}
		if !h.hasFailed && now < h.ReadAt+freshReading && l.mayGrant(id) {
			h.GrantedEnd = max(h.GrantedEnd, h.Clock+min(l.cfg.LongestGrant, l.grantUntil-h.ReadAt))
			renewal.Until, h.extends = h.GrantedEnd, true
			l.keep(h)
		}
		due = append(due, renewal)
	}
	return due
}

// keep notes what the scheduler does not know yet of a lease.
func (l *Ledger) keep(h *holding) {
	if l.kept == nil {
		l.kept = map[cyclamendyke.TargetID]Holding{}
	}
	l.kept[h.Target.ID] = h.Holding
}

// Answered notes the answer to a late renewal: the target's clock, and when its incarnation has started.
func (l *Ledger) Answered(target cyclamendyke.Target, clock time.Duration, startedMillis int64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.asked(target)
	if h == nil || startedMillis != 0 && startedMillis < target.StartedMillis {
		return // An earlier incarnation has given it.
	}
	h.hasFailed = false
	if h.hasRestarted = target.StartedMillis != 0 && startedMillis > target.StartedMillis; h.hasRestarted {
		return
	}
	if clock > h.Clock {
		h.Clock, h.ReadAt = clock, now
		l.keep(h)
	}
	if !h.extends {
		h.askedAt = 0
	}
}

// Unanswered notes that a late renewal had no answer or was refused.
func (l *Ledger) Unanswered(target cyclamendyke.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.asked(target); h != nil {
		h.hasFailed = true
	}
}

// asked returns the holding that a late renewal was for, which has its outcome now, or nil.
func (l *Ledger) asked(target cyclamendyke.Target) *holding {
	h := l.holdings[target.ID]
	if h == nil || h.Target.StartedMillis != target.StartedMillis {
		return nil
	}
	h.isAsked = false
	return h
}
