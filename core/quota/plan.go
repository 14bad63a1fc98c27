package quota

import (
	"maps"
	"slices"

	"cyclamendyke"
)

// plan returns the ledger after this zone's changes, and how large they are.
func (p *Planner) plan(alive []cyclamendyke.ZoneName) (Ledger, changeSize) {
	next := p.ledger.clone()
	next.Tables = max(p.tablesRevision, p.ledger.Tables)
	next.Zones[p.config.Zone] = p.config.Epoch
	teams := slices.Concat(slices.Collect(maps.Keys(p.limits)), p.ledger.TeamNames())
	slices.Sort(teams)
	changed := noChange
	for _, team := range slices.Compact(teams) {
		changed = max(changed, p.planTeam(&next, team, alive))
	}
	return next, changed
}

// planTeam changes the team's row in the ledger and returns how large the change is.
func (p *Planner) planTeam(ledger *Ledger, team cyclamendyke.TeamName, alive []cyclamendyke.ZoneName) changeSize {
	limit, inTables := p.limits[team]
	row := ledger.Teams[team]
	if limit.IsZero() && inTables {
		delete(ledger.Teams, team) // Without a limit there is nothing to divide.
		if len(row.Zones) > 0 {
			return majorChange
		}
		return noChange
	}
	demand := p.demand[team]
	zones := p.participatingZones(row, alive)
	self := slices.Index(zones, p.config.Zone)
	own := row.Zones[p.config.Zone]
	newHeld, wanted := toVector(own.Held), toVector(demand.Reserved.Add(demand.Waiting))
	reserved := toVector(demand.Reserved.Add(demand.UnlistedBound))
	for i := range newHeld {
		componentLimit := toVector(limit)[i]
		switch {
		case componentLimit == 0 && inTables:
			newHeld[i], wanted[i] = 0, 0
		case toVector(row.Limit)[i] == 0:
			newHeld[i] = max(newHeld[i], reserved[i]) // Covers tasks that started before the limit was set.
		default:
			newHeld[i] += allotmentChange(componentLimit, p.zoneDemands(row, zones, alive, i, wanted[i]), self, reserved[i])
		}
	}
	changed := heldChangeSize(toVector(limit), toVector(own.Held), newHeld)
	if row.Limit != limit {
		changed = majorChange
	}
	changed = max(changed, wantChangeSize(toVector(own.Want), wanted, newHeld))
	if changed == noChange {
		wanted = toVector(own.Want)
	}
	if row.Zones == nil {
		row.Zones = map[cyclamendyke.ZoneName]cyclamendyke.Allotment{}
	}
	row.Limit = limit
	row.Zones[p.config.Zone] = cyclamendyke.Allotment{Held: newHeld.resources(), Want: wanted.resources()}
	if row.Zones[p.config.Zone] == (cyclamendyke.Allotment{}) {
		delete(row.Zones, p.config.Zone)
	}
	ledger.Teams[team] = row
	if !inTables && len(row.Zones) == 0 {
		delete(ledger.Teams, team)
	}
	return changed
}

// participatingZones returns this zone, those that are alive and those with an allotment in the row,
// sorted by name.
func (p *Planner) participatingZones(row cyclamendyke.TeamAllotments, alive []cyclamendyke.ZoneName) []cyclamendyke.ZoneName {
	zones := slices.Concat(slices.Collect(maps.Keys(row.Zones)), alive, []cyclamendyke.ZoneName{p.config.Zone})
	slices.Sort(zones)
	return slices.Compact(zones)
}

// zoneDemands returns the demands of zones in one component, with want as this zone's own.
func (p *Planner) zoneDemands(row cyclamendyke.TeamAllotments, zones, alive []cyclamendyke.ZoneName, component int, want int64) []zoneDemand {
	demands := make([]zoneDemand, len(zones))
	for i, zone := range zones {
		allotment := row.Zones[zone]
		demands[i] = zoneDemand{
			held:  toVector(allotment.Held)[component],
			want:  toVector(allotment.Want)[component],
			alive: slices.Contains(alive, zone),
		}
		if zone == p.config.Zone {
			demands[i].want = want
			demands[i].alive = true
		}
	}
	return demands
}

// raiseToReserved raises the zone's proposed allotment to what has been reserved since it was planned,
// but not above the present allotment.
func (p *Planner) raiseToReserved(team cyclamendyke.TeamName) {
	row := p.proposed.Teams[team]
	own := row.Zones[p.config.Zone]
	before := p.ledger.Teams[team].Zones[p.config.Zone].Held
	kept := before.Min(p.demand[team].Reserved.Add(p.demand[team].UnlistedBound))
	raised := own.Held.Max(kept)
	if raised == own.Held {
		return
	}
	own.Held = raised
	if row.Zones == nil {
		row.Zones = map[cyclamendyke.ZoneName]cyclamendyke.Allotment{}
	}
	row.Zones[p.config.Zone] = own
	p.proposed.Teams[team] = row
}
