package worker

import (
	"slices"
	"time"

	"cyclamendyke"
)

type session struct {
	epoch       cyclamendyke.Epoch
	mode        cyclamendyke.SessionMode
	modeVersion uint64
	startFloor  uint64 // Starts with a lower order are refused.
	expires     time.Time
}

func (m *machine) hasLiveSession(now time.Time) bool {
	return now.Before(m.session.expires)
}

// claim gives the session to the epoch, or returns the reason for refusing it. It does not extend
// the leases of running tasks.
func (m *machine) claim(now time.Time, claim cyclamendyke.Claim) cyclamendyke.Kind {
	if claim.Epoch.Compare(m.fence) < 0 {
		return cyclamendyke.KindFenced
	}
	if m.hasLiveSession(now) && m.session.epoch != claim.Epoch && !m.canPreempt(claim) {
		return cyclamendyke.KindSessionHeld
	}
	if m.fence != claim.Epoch {
		m.fence = claim.Epoch
		m.wakeWaiters()
	}
	m.extendSession(now, claim)
	if len(m.tasks) == 0 {
		m.resetTaskLeaseTimer(claim.TaskTTL)
	}
	return ""
}

// canPreempt reports whether the claim, which is for another epoch, may preempt the live session.
func (m *machine) canPreempt(claim cyclamendyke.Claim) bool {
	return m.session.mode == cyclamendyke.SessionPreemptible &&
		claim.StoreLease &&
		claim.Epoch.Compare(m.session.epoch) > 0
}

func (m *machine) renew(now time.Time, claim cyclamendyke.Claim) cyclamendyke.Kind {
	if kind := m.checkSession(now, claim.Epoch); kind != "" {
		return kind
	}
	m.extendSession(now, claim)
	m.resetTaskLeaseTimer(claim.TaskTTL)
	return ""
}

// checkSession returns the reason for refusing a call under the epoch, or "" if the epoch holds
// the live session.
func (m *machine) checkSession(now time.Time, epoch cyclamendyke.Epoch) cyclamendyke.Kind {
	if epoch.Compare(m.fence) < 0 {
		return cyclamendyke.KindFenced
	}
	if !m.hasLiveSession(now) || m.session.epoch != epoch {
		return cyclamendyke.KindNoSession
	}
	return ""
}

// extendSession renews the session or gives it to a new epoch, and discards acknowledged results.
// Within an epoch it ignores a mode whose version is older than the current one.
func (m *machine) extendSession(now time.Time, claim cyclamendyke.Claim) {
	if m.session.epoch != claim.Epoch || claim.ModeVersion >= m.session.modeVersion {
		m.session.mode = claim.Mode
		m.session.modeVersion = claim.ModeVersion
	}
	if m.session.epoch != claim.Epoch {
		m.session.startFloor = 0
	}
	m.session.startFloor = max(m.session.startFloor, claim.StartFloor)
	m.session.epoch = claim.Epoch
	m.session.expires = now.Add(claim.SessionTTL)
	m.results = slices.DeleteFunc(m.results, func(r result) bool { return r.sequence <= claim.Ack })
}

func (m *machine) release(now time.Time, epoch cyclamendyke.Epoch) cyclamendyke.Kind {
	if epoch.Compare(m.fence) < 0 {
		return cyclamendyke.KindFenced
	}
	if m.session.epoch == epoch {
		m.session.expires = now
	}
	return ""
}
