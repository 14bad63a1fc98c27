package quota

import (
	"maps"
	"slices"
	"time"

	"cyclamendyke"
)

// Unlimited is what Usable gives for a component without a limit.
const Unlimited = 1 << 50

const (
	moveInterval     = time.Second     // Least time between two writes of one zone.
	minorInterval    = 8 * time.Second // Least time before a write that moves little.
	minorFraction    = 32              // A move is minor below one part in so many of the limit.
	floorFraction    = 2               // Idle zones together keep one part in so many of the limit.
	headroomFraction = 4               // A grant adds one part in so many of the want.
	wantFraction     = 4               // A recorded want is left alone while it is off by less than one part in so many.
)

// Config names the zone and the term that a planner works for.
type Config struct {
	Zone  cyclamendyke.ZoneName
	Epoch cyclamendyke.Epoch
}

// Proposal is a ledger to be written; Usable must be in force at the scheduler before Commit is called.
type Proposal struct {
	Usable map[cyclamendyke.TeamName]cyclamendyke.Resources
}

// Write is a compare-and-swap of the ledger.
type Write struct {
	Expected cyclamendyke.Revision
	Value    []byte
}

// Planner decides how one zone's allotments move during one term; it does no I/O and is not safe for concurrent use.
//
// A move goes through Next, Commit and then one of Written, NotWritten and
// InDoubt. Until the ledger names the planner's epoch for its zone, an earlier
// term's write may still arrive, so no more is usable than was ever reserved.
type Planner struct {
	config   Config
	tables   cyclamendyke.Revision
	limits   map[cyclamendyke.TeamName]cyclamendyke.Resources
	demand   map[cyclamendyke.TeamName]cyclamendyke.TeamDemand
	highest  map[cyclamendyke.TeamName]cyclamendyke.Resources // Reserved at any time before the term was confirmed.
	revision cyclamendyke.Revision
	ledger   Ledger
	known    bool // The ledger has been read.
	next     *Ledger
	sent     bool
	doubtful []Ledger // Writes at the present revision that may yet take effect.
	lastMove time.Time
}

// New returns a planner that knows no limits and no ledger.
func New(config Config) *Planner {
	return &Planner{
		config:  config,
		ledger:  newLedger(),
		highest: map[cyclamendyke.TeamName]cyclamendyke.Resources{},
	}
}

// SetLimits takes the teams' upper limits from a revision of the tables; an older one is ignored.
func (p *Planner) SetLimits(revision cyclamendyke.Revision, limits map[cyclamendyke.TeamName]cyclamendyke.Resources) {
	if revision < p.tables {
		return
	}
	p.tables = revision
	p.limits = maps.Clone(limits)
	if !p.sent {
		p.next = nil
	}
}

// SetDemand takes what each team has reserved in the zone and would use besides.
func (p *Planner) SetDemand(demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand) {
	p.demand = maps.Clone(demand)
	if p.confirmed() {
		return
	}
	for team, d := range demand {
		p.highest[team] = p.highest[team].Max(d.Reserved)
	}
}

// SetLedger takes the ledger as read from the store; an older revision is ignored, a newer one settles every write in doubt.
func (p *Planner) SetLedger(revision cyclamendyke.Revision, ledger Ledger) {
	if revision < p.revision || p.known && revision == p.revision {
		return
	}
	p.known = true
	p.revision = revision
	p.ledger = ledger.clone()
	p.doubtful = nil
	if !p.sent {
		p.next = nil
	}
}

// Next proposes a move, or reports false if nothing is to be written; alive names the zones whose wants count.
func (p *Planner) Next(now time.Time, alive []cyclamendyke.ZoneName) (Proposal, bool) {
	overtaken := p.ledger.Zones[p.config.Zone].Compare(p.config.Epoch) > 0 || p.ledger.Tables > p.tables
	if !p.known || p.sent || overtaken || p.limits == nil || now.Sub(p.lastMove) < moveInterval {
		return Proposal{}, false
	}
	next, changed := p.plan(alive)
	if changed == minor && now.Sub(p.lastMove) < minorInterval {
		changed = none
	}
	if changed == none && p.confirmed() && len(p.doubtful) == 0 {
		p.next = nil
		return Proposal{}, false
	}
	p.next = &next
	return Proposal{Usable: p.Usable()}, true
}

// Commit returns the write for the last proposal, in which no allotment is below what demand by now reserves; it reports false if the proposal has been overtaken.
func (p *Planner) Commit(now time.Time, demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand) (Write, bool) {
	p.SetDemand(demand)
	if p.next == nil || p.sent {
		return Write{}, false
	}
	for _, team := range p.ledger.TeamNames() {
		p.keepReserved(team)
	}
	value, err := p.next.Encode()
	if err != nil {
		return Write{}, false
	}
	p.sent = true
	p.lastMove = now
	return Write{Expected: p.revision, Value: value}, true
}

// Written reports that the committed write took effect at revision.
func (p *Planner) Written(revision cyclamendyke.Revision) {
	written := p.next
	p.sent = false
	p.next = nil
	if written != nil {
		p.SetLedger(revision, *written)
	}
}

// NotWritten reports that the committed write certainly had no effect.
func (p *Planner) NotWritten() {
	p.sent = false
	p.next = nil
}

// InDoubt reports that the committed write may have taken effect or may yet.
func (p *Planner) InDoubt(expected cyclamendyke.Revision) {
	if p.next != nil && expected == p.revision {
		p.doubtful = append(p.doubtful, *p.next)
	}
	p.sent = false
	p.next = nil
}

// Usable returns what each team may have reserved in the zone at present, Unlimited for a component without a limit.
func (p *Planner) Usable() map[cyclamendyke.TeamName]cyclamendyke.Resources {
	usable := make(map[cyclamendyke.TeamName]cyclamendyke.Resources, len(p.limits))
	for team := range p.limits {
		usable[team] = p.usable(team).resources()
	}
	return usable
}

// Ledger returns the latest ledger known and its revision.
func (p *Planner) Ledger() (Ledger, cyclamendyke.Revision) {
	return p.ledger, p.revision
}

// confirmed reports whether the ledger names this term, so that no write of an earlier one can succeed.
func (p *Planner) confirmed() bool {
	return p.known && p.ledger.Zones[p.config.Zone] == p.config.Epoch
}

// usable allows no new start while the limit has changed since the ledger was written, or is exceeded.
func (p *Planner) usable(team cyclamendyke.TeamName) vector {
	limit, divided := toVector(p.limits[team]), toVector(p.ledger.Teams[team].Limit)
	held := p.heldFor(team)
	reserved := toVector(p.demand[team].Reserved)
	highest := toVector(p.highest[team])
	sum := toVector(p.ledger.Sum(team))
	for i := range held {
		switch {
		case limit[i] == 0:
			held[i] = Unlimited
		case divided[i] == 0:
			held[i] = reserved[i]
		case divided[i] != limit[i] || sum[i] > limit[i]:
			held[i] = min(held[i], reserved[i])
		case !p.confirmed():
			held[i] = min(held[i], highest[i])
		}
	}
	return held
}

// heldFor returns the least allotment that any ledger which may be in force gives to the zone.
func (p *Planner) heldFor(team cyclamendyke.TeamName) vector {
	zone := p.config.Zone
	held := p.ledger.Teams[team].Zones[zone].Held
	for _, other := range p.doubtful {
		held = held.Min(other.Teams[team].Zones[zone].Held)
	}
	if p.next != nil {
		held = held.Min(p.next.Teams[team].Zones[zone].Held)
	}
	return toVector(held)
}

// plan returns the ledger after this zone's moves, and whether it is worth writing.
func (p *Planner) plan(alive []cyclamendyke.ZoneName) (Ledger, weight) {
	next := p.ledger.clone()
	next.Tables = max(p.tables, p.ledger.Tables)
	next.Zones[p.config.Zone] = p.config.Epoch
	teams := slices.Concat(slices.Collect(maps.Keys(p.limits)), p.ledger.TeamNames())
	slices.Sort(teams)
	changed := none
	for _, team := range slices.Compact(teams) {
		changed = max(changed, p.planTeam(&next, team, alive))
	}
	return next, changed
}

func (p *Planner) planTeam(next *Ledger, team cyclamendyke.TeamName, alive []cyclamendyke.ZoneName) weight {
	limit, named := p.limits[team]
	row := next.Teams[team]
	if limit.IsZero() && named {
		delete(next.Teams, team) // Without any limit there is nothing to divide.
		if len(row.Zones) > 0 {
			return major
		}
		return none
	}
	demand := p.demand[team]
	zones := p.zonesOf(row, alive)
	self := slices.Index(zones, p.config.Zone)
	own := row.Zones[p.config.Zone]
	moved, wanted := toVector(own.Held), toVector(demand.Reserved.Add(demand.Waiting))
	reserved := toVector(demand.Reserved.Add(demand.Unlisted))
	for i := range moved {
		limitOf := toVector(limit)[i]
		switch {
		case limitOf == 0 && named:
			moved[i], wanted[i] = 0, 0
		case toVector(row.Limit)[i] == 0:
			moved[i] = max(moved[i], reserved[i]) // What ran before there was a limit.
		default:
			moved[i] += move(limitOf, p.claimants(row, zones, alive, i, wanted[i]), self, reserved[i])
		}
	}
	changed := weigh(toVector(limit), toVector(own.Held), moved)
	if row.Limit != limit {
		changed = major
	}
	changed = max(changed, wantChanged(toVector(own.Want), wanted, moved))
	if changed == none {
		wanted = toVector(own.Want)
	}
	if row.Zones == nil {
		row.Zones = map[cyclamendyke.ZoneName]cyclamendyke.Allotment{}
	}
	row.Limit = limit
	row.Zones[p.config.Zone] = cyclamendyke.Allotment{Held: moved.resources(), Want: wanted.resources()}
	if row.Zones[p.config.Zone] == (cyclamendyke.Allotment{}) {
		delete(row.Zones, p.config.Zone)
	}
	next.Teams[team] = row
	if !named && len(row.Zones) == 0 {
		delete(next.Teams, team)
	}
	return changed
}

// weight says how soon a change is worth a write.
type weight int

const (
	none weight = iota
	minor
	major
)

// weigh compares a zone's allotment before and after a move.
func weigh(limit, before, after vector) weight {
	heaviest := none
	for i := range before {
		difference := max(after[i]-before[i], before[i]-after[i])
		switch {
		case difference*minorFraction >= limit[i] && difference > 0:
			return major
		case difference > 0:
			heaviest = minor
		}
	}
	return heaviest
}

// zonesOf returns this zone, those that are alive and those with a part in the row, in order.
func (p *Planner) zonesOf(row cyclamendyke.TeamAllotments, alive []cyclamendyke.ZoneName) []cyclamendyke.ZoneName {
	zones := slices.Concat(slices.Collect(maps.Keys(row.Zones)), alive, []cyclamendyke.ZoneName{p.config.Zone})
	slices.Sort(zones)
	return slices.Compact(zones)
}

func (p *Planner) claimants(row cyclamendyke.TeamAllotments, zones, alive []cyclamendyke.ZoneName, component int, want int64) []claimant {
	claimants := make([]claimant, len(zones))
	for i, zone := range zones {
		allotment := row.Zones[zone]
		claimants[i] = claimant{
			held:  toVector(allotment.Held)[component],
			want:  toVector(allotment.Want)[component],
			alive: slices.Contains(alive, zone),
		}
		if zone == p.config.Zone {
			claimants[i].want = want
			claimants[i].alive = true
		}
	}
	return claimants
}

// wantChanged weighs whether other zones would divide differently if they knew the present want; a first lack counts most.
func wantChanged(recorded, wanted, held vector) weight {
	heaviest := none
	for i := range recorded {
		lacked, lacks := max(recorded[i]-held[i], 0), max(wanted[i]-held[i], 0)
		difference := max(lacked-lacks, lacks-lacked)
		switch {
		case lacked == 0 && lacks > 0:
			return major
		case difference*wantFraction > max(lacked, lacks):
			heaviest = minor
		}
	}
	return heaviest
}

// keepReserved raises the zone's next allotment to what has been reserved since it was planned.
func (p *Planner) keepReserved(team cyclamendyke.TeamName) {
	row := p.next.Teams[team]
	own := row.Zones[p.config.Zone]
	before := p.ledger.Teams[team].Zones[p.config.Zone].Held
	kept := before.Min(p.demand[team].Reserved.Add(p.demand[team].Unlisted))
	raised := own.Held.Max(kept)
	if raised == own.Held {
		return
	}
	own.Held = raised
	if row.Zones == nil {
		row.Zones = map[cyclamendyke.ZoneName]cyclamendyke.Allotment{}
	}
	row.Zones[p.config.Zone] = own
	p.next.Teams[team] = row
}
