package quota

import (
	"maps"
	"time"

	"cyclamendyke"
)

// Unlimited is what Usable returns for a component without a limit.
const Unlimited = 1 << 50

const (
	writeInterval      = time.Second     // Minimum interval between two writes of one planner.
	minorWriteInterval = 8 * time.Second // Minimum interval before a write of a minor change.
	idleDivisor        = 2               // Zones without demand together keep 1/idleDivisor of the limit.
	headroomDivisor    = 4               // A zone takes 1/headroomDivisor of its want as headroom.
)

// Config names the zone whose allotments a planner changes, and the epoch under which it does so.
type Config struct {
	Zone  cyclamendyke.ZoneName
	Epoch cyclamendyke.Epoch
}

// Proposal announces a change of the ledger; the scheduler must apply Usable before Commit is called.
type Proposal struct {
	Usable map[cyclamendyke.TeamName]cyclamendyke.Resources
}

// Write is a compare-and-swap of the ledger.
type Write struct {
	Expected cyclamendyke.Revision
	Value    []byte
}

// Planner decides how one zone's allotments change during one term.
//
// It does no I/O and is not safe for concurrent use.
//
// A change goes through Propose, Commit and then one of Written, NotWritten and
// OutcomeUnknown. While the ledger does not yet name the planner's epoch for its zone,
// a write of an earlier term may still take effect, and the planner lets the
// zone use no more than the most it has had reserved.
type Planner struct {
	config         Config
	tablesRevision cyclamendyke.Revision
	limits         map[cyclamendyke.TeamName]cyclamendyke.Resources
	demand         map[cyclamendyke.TeamName]cyclamendyke.TeamDemand
	maxReserved    map[cyclamendyke.TeamName]cyclamendyke.Resources // The most reserved until the epoch was recorded.
	ledgerRevision cyclamendyke.Revision
	ledger         Ledger
	ledgerRead     bool
	proposed       *Ledger  // The ledger to be written next.
	writePending   bool     // Commit has returned a write whose outcome was not reported yet.
	unresolved     []Ledger // Ledgers whose writes at the present revision may still take effect.
	lastWrite      time.Time
}

// New returns a planner without limits and without a ledger.
func New(config Config) *Planner {
	return &Planner{
		config:      config,
		ledger:      newLedger(),
		maxReserved: map[cyclamendyke.TeamName]cyclamendyke.Resources{},
	}
}

// SetLimits sets the teams' upper limits of a revision of the tables; an older revision is ignored.
func (p *Planner) SetLimits(revision cyclamendyke.Revision, limits map[cyclamendyke.TeamName]cyclamendyke.Resources) {
	if revision < p.tablesRevision {
		return
	}
	p.tablesRevision = revision
	p.limits = maps.Clone(limits)
	if !p.writePending {
		p.proposed = nil
	}
}

// SetDemand sets what each team has reserved in the zone and what its waiting tasks need.
func (p *Planner) SetDemand(demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand) {
	p.demand = maps.Clone(demand)
	if p.epochRecorded() {
		return
	}
	for team, d := range demand {
		p.maxReserved[team] = p.maxReserved[team].Max(d.Reserved)
	}
}

// SetLedger sets the ledger as read from the store; an older revision is ignored.
//
// Once a newer revision is read, writes whose outcome was unknown can no longer take effect.
func (p *Planner) SetLedger(revision cyclamendyke.Revision, ledger Ledger) {
	if revision < p.ledgerRevision || p.ledgerRead && revision == p.ledgerRevision {
		return
	}
	p.ledgerRead = true
	p.ledgerRevision = revision
	p.ledger = ledger.clone()
	p.unresolved = nil
	if !p.writePending {
		p.proposed = nil
	}
}

// Propose proposes a change, or returns false if nothing is to be written.
//
// Zones that are not in alive keep what they hold, and their wants are ignored.
func (p *Planner) Propose(now time.Time, alive []cyclamendyke.ZoneName) (Proposal, bool) {
	superseded := p.ledger.Zones[p.config.Zone].Compare(p.config.Epoch) > 0 || p.ledger.Tables > p.tablesRevision
	if !p.ledgerRead || p.writePending || superseded || p.limits == nil || now.Sub(p.lastWrite) < writeInterval {
		return Proposal{}, false
	}
	next, changed := p.plan(alive)
	if changed == minorChange && now.Sub(p.lastWrite) < minorWriteInterval {
		changed = noChange
	}
	if changed == noChange && p.epochRecorded() && len(p.unresolved) == 0 {
		p.proposed = nil
		return Proposal{}, false
	}
	p.proposed = &next
	return Proposal{Usable: p.Usable()}, true
}

// Commit returns the write for the last proposal, or false if the proposal is no longer valid.
//
// The write leaves the zone at least what demand shows as reserved by now.
func (p *Planner) Commit(now time.Time, demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand) (Write, bool) {
	p.SetDemand(demand)
	if p.proposed == nil || p.writePending {
		return Write{}, false
	}
	for _, team := range p.ledger.TeamNames() {
		p.raiseToReserved(team)
	}
	value, err := p.proposed.Encode()
	if err != nil {
		return Write{}, false
	}
	p.writePending = true
	p.lastWrite = now
	return Write{Expected: p.ledgerRevision, Value: value}, true
}

// Written is called when the committed write took effect at revision.
func (p *Planner) Written(revision cyclamendyke.Revision) {
	written := p.proposed
	p.writePending = false
	p.proposed = nil
	if written != nil {
		p.SetLedger(revision, *written)
	}
}

// NotWritten is called when the committed write certainly had and will have no effect.
func (p *Planner) NotWritten() {
	p.writePending = false
	p.proposed = nil
}

// OutcomeUnknown is called when it is unknown whether the committed write took effect or still will.
func (p *Planner) OutcomeUnknown(expected cyclamendyke.Revision) {
	if p.proposed != nil && expected == p.ledgerRevision {
		p.unresolved = append(p.unresolved, *p.proposed)
	}
	p.writePending = false
	p.proposed = nil
}

// Usable returns how much each team may have reserved in the zone, which is Unlimited for a component
// without a limit.
func (p *Planner) Usable() map[cyclamendyke.TeamName]cyclamendyke.Resources {
	usable := make(map[cyclamendyke.TeamName]cyclamendyke.Resources, len(p.limits))
	for team := range p.limits {
		usable[team] = p.usableFor(team).resources()
	}
	return usable
}

// Ledger returns the latest ledger that was set and its revision.
func (p *Planner) Ledger() (Ledger, cyclamendyke.Revision) {
	return p.ledger, p.ledgerRevision
}

// epochRecorded reports whether the ledger names this planner's epoch, so that no write of an earlier
// epoch can succeed.
func (p *Planner) epochRecorded() bool {
	return p.ledgerRead && p.ledger.Zones[p.config.Zone] == p.config.Epoch
}

// usableFor returns how much the team may have reserved; it allows no new start while the limit differs
// from the one in the ledger or the zones together hold more than it.
func (p *Planner) usableFor(team cyclamendyke.TeamName) vector {
	limit, ledgerLimit := toVector(p.limits[team]), toVector(p.ledger.Teams[team].Limit)
	held := p.leastHeld(team)
	reserved := toVector(p.demand[team].Reserved)
	maxReserved := toVector(p.maxReserved[team])
	sum := toVector(p.ledger.Sum(team))
	for i := range held {
		switch {
		case limit[i] == 0:
			held[i] = Unlimited
		case ledgerLimit[i] == 0:
			held[i] = reserved[i]
		case ledgerLimit[i] != limit[i] || sum[i] > limit[i]:
			held[i] = min(held[i], reserved[i])
		case !p.epochRecorded():
			held[i] = min(held[i], maxReserved[i])
		}
	}
	return held
}

// leastHeld returns the zone's smallest allotment in all ledgers that may be in the store now or next.
func (p *Planner) leastHeld(team cyclamendyke.TeamName) vector {
	zone := p.config.Zone
	held := p.ledger.Teams[team].Zones[zone].Held
	for _, other := range p.unresolved {
		held = held.Min(other.Teams[team].Zones[zone].Held)
	}
	if p.proposed != nil {
		held = held.Min(p.proposed.Teams[team].Zones[zone].Held)
	}
	return toVector(held)
}
