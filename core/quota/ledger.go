package quota

import (
	"encoding/json"
	"maps"
	"slices"

	"cyclamendyke"
)

// Ledger is the division of teams' upper limits over the zones.
//
// The store has one ledger for each team, under the team's key below AllotmentsPrefix.
type Ledger struct {
	Tables cyclamendyke.Revision                        // Revision of the tables that the limits come from.
	Zones  map[cyclamendyke.ZoneName]cyclamendyke.Epoch // The epoch that last wrote each zone's allotments.
	Teams  map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments
}

// wireLedger is the JSON form of a Ledger; vectors end after their last non-zero component.
type wireLedger struct {
	Tables cyclamendyke.Revision                        `json:"tables"`
	Zones  map[cyclamendyke.ZoneName]cyclamendyke.Epoch `json:"zones"`
	Teams  map[cyclamendyke.TeamName]wireTeam           `json:"teams"`
}

type wireTeam struct {
	Limit []int64                           `json:"limit"`
	Held  map[cyclamendyke.ZoneName][]int64 `json:"held,omitempty"`
	Want  map[cyclamendyke.ZoneName][]int64 `json:"want,omitempty"`
}

// Decode reads a ledger from its JSON form, or returns an Error of KindInvalid; an empty value is an empty ledger.
func Decode(value []byte) (Ledger, error) {
	ledger := newLedger()
	if len(value) == 0 {
		return ledger, nil
	}
	var wire wireLedger
	if err := json.Unmarshal(value, &wire); err != nil {
		return Ledger{}, newError("decode", cyclamendyke.KindInvalid, err)
	}
	ledger.Tables = wire.Tables
	maps.Copy(ledger.Zones, wire.Zones)
	for name, team := range wire.Teams {
		ledger.Teams[name] = decodeTeam(team)
	}
	return ledger, nil
}

// Encode returns the ledger's JSON form, which is the same for equal ledgers.
func (l Ledger) Encode() ([]byte, error) {
	wire := wireLedger{Tables: l.Tables, Zones: l.Zones, Teams: map[cyclamendyke.TeamName]wireTeam{}}
	for name, team := range l.Teams {
		wire.Teams[name] = encodeTeam(team)
	}
	value, err := json.Marshal(wire)
	if err != nil {
		return nil, newError("encode", cyclamendyke.KindInvalid, err)
	}
	return value, nil
}

// Sum returns what all zones together hold of one team's limit.
func (l Ledger) Sum(team cyclamendyke.TeamName) cyclamendyke.Resources {
	var sum cyclamendyke.Resources
	for _, allotment := range l.Teams[team].Zones {
		sum = sum.Add(allotment.Held)
	}
	return sum
}

// TeamNames returns the teams in the ledger, sorted by name.
func (l Ledger) TeamNames() []cyclamendyke.TeamName {
	return slices.Sorted(maps.Keys(l.Teams))
}

func newLedger() Ledger {
	return Ledger{
		Zones: map[cyclamendyke.ZoneName]cyclamendyke.Epoch{},
		Teams: map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments{},
	}
}

func (l Ledger) clone() Ledger {
	copied := Ledger{Tables: l.Tables, Zones: maps.Clone(l.Zones), Teams: maps.Clone(l.Teams)}
	for name, team := range copied.Teams {
		team.Zones = maps.Clone(team.Zones)
		copied.Teams[name] = team
	}
	return copied
}

func decodeTeam(wire wireTeam) cyclamendyke.TeamAllotments {
	team := cyclamendyke.TeamAllotments{
		Limit: decodeVector(wire.Limit).resources(),
		Zones: map[cyclamendyke.ZoneName]cyclamendyke.Allotment{},
	}
	for zone, held := range wire.Held {
		team.Zones[zone] = cyclamendyke.Allotment{Held: decodeVector(held).resources()}
	}
	for zone, want := range wire.Want {
		allotment := team.Zones[zone]
		allotment.Want = decodeVector(want).resources()
		team.Zones[zone] = allotment
	}
	return team
}

func encodeTeam(team cyclamendyke.TeamAllotments) wireTeam {
	wire := wireTeam{
		Limit: encodeVector(team.Limit),
		Held:  map[cyclamendyke.ZoneName][]int64{},
		Want:  map[cyclamendyke.ZoneName][]int64{},
	}
	for zone, allotment := range team.Zones {
		if !allotment.Held.IsZero() {
			wire.Held[zone] = encodeVector(allotment.Held)
		}
		if !allotment.Want.IsZero() {
			wire.Want[zone] = encodeVector(allotment.Want)
		}
	}
	return wire
}
