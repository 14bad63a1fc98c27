package storepath

import (
	"time"

	"cyclamendyke"
)

// Paths holds what is known of this VM's paths to the store.
type Paths struct {
	cfg           Config
	own           ownPath
	members       map[cyclamendyke.MemberName]memberHistory
	memberLatency latency
	noMemberUntil time.Duration // Until then members are not asked, since none stored the last writes.
	state         State         // The state at the last observation.
	stateSince    time.Duration
	doubts        doubts
}

// New returns Paths that consider the own path good.
func New(cfg Config) *Paths {
	return &Paths{cfg: cfg, members: map[cyclamendyke.MemberName]memberHistory{}, state: Good}
}

// Begin records that a call is sent to the store.
func (p *Paths) Begin(now time.Duration) CallID {
	return p.own.begin(now)
}

// End records how a call to the store ended.
func (p *Paths) End(now time.Duration, call CallID, outcome Outcome) {
	p.own.end(now, call, outcome)
}

// Answered records the answer to a call that was sent at the given time and whose duration says nothing, such
// as a watch.
func (p *Paths) Answered(sent time.Duration) {
	p.own.record(sent, Answered)
}

// State returns the state of the own path.
func (p *Paths) State(now time.Duration) State {
	state := p.own.state(now)
	if state != p.state {
		if p.state == Good || state == Good {
			p.stateSince = now
		}
		p.state = state
	}
	return state
}

// HasNoPath reports whether the own path is broken and no member stored the last writes, or none outside of this
// zone can be reached, so that this VM can store nothing.
func (p *Paths) HasNoPath(now time.Duration) bool {
	return p.State(now) == Broken && (now < p.noMemberUntil || p.isZoneCutOff())
}

// ShouldCheck reports whether a write by the own path should be preceded by a call without effect. If the
// store has fallen silent since its last answer, the write can then be refused instead of ending unknown.
// A slow store is not asked twice.
func (p *Paths) ShouldCheck(now time.Duration) bool {
	return p.State(now) != Good || now-p.own.answeredAt > checkAfter && p.own.latency.usual() <= maxCheckTime
}

// Doubt records that a write of a workflow had no answer.
func (p *Paths) Doubt(now time.Duration, id cyclamendyke.WorkflowID) {
	p.doubts.add(now, id)
}

// InDoubt reports whether a write of a workflow had no answer and none that settled it since.
func (p *Paths) InDoubt(now time.Duration, id cyclamendyke.WorkflowID) bool {
	return p.doubts.has(now, id)
}
