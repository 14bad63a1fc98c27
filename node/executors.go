package node

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamendyke"
)

// The share of a fleet's calls to targets that one VM can carry.
const (
	targetsPerCore   = 250 // Targets that a VM can call for each core that it has.
	minZoneExecutors = 2   // Executors of each zone that has so many members, for the case that one is lost.
	unknownCores     = 1.0 // Assumed of a VM whose settings do not name its cores.
)

// executors are the members that carry out orders for the scheduler of a large fleet.
//
// The targets of a zone are called by members of the same zone, so that a call crosses zones once, as
// an order in a batch. Each zone has as many executors as its targets need, strongest first.
type executors struct {
	byZone   map[cyclamendyke.ZoneName][]memberRecord
	all      []memberRecord // Those of all zones, for targets of a zone without an executor.
	assigned map[cyclamendyke.TargetID]memberRecord
}

// assign selects the executors among the members; none if the scheduler's own cores suffice for all
// targets.
func (e *executors) assign(ownCores float64, members []memberRecord, targets map[cyclamendyke.ZoneName]int) {
	before := e.all
	e.byZone, e.all = map[cyclamendyke.ZoneName][]memberRecord{}, nil
	total := 0
	for _, count := range targets {
		total += count
	}
	if float64(total) > targetsPerCore*cmp.Or(ownCores, unknownCores) {
		e.selectByZone(members, targets)
	}
	if !slices.Equal(before, e.all) {
		e.assigned = map[cyclamendyke.TargetID]memberRecord{}
	}
}

func (e *executors) selectByZone(members []memberRecord, targets map[cyclamendyke.ZoneName]int) {
	strongest := slices.SortedFunc(slices.Values(members), func(a, b memberRecord) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
	cores := map[cyclamendyke.ZoneName]float64{}
	for _, m := range strongest {
		enough := targetsPerCore*cores[m.Zone] >= float64(targets[m.Zone])
		if enough && len(e.byZone[m.Zone]) >= minZoneExecutors {
			continue
		}
		cores[m.Zone] += cmp.Or(m.Cores, unknownCores)
		e.byZone[m.Zone] = append(e.byZone[m.Zone], m)
		e.all = append(e.all, m)
	}
}

// copied returns the selected executors for another goroutine; selecting anew does not change them.
func (e *executors) copied() *executors {
	return &executors{byZone: e.byZone, all: e.all, assigned: map[cyclamendyke.TargetID]memberRecord{}}
}

// forTarget returns the member that calls a target, or false if the scheduler calls it itself.
func (e *executors) forTarget(target cyclamendyke.Target) (memberRecord, bool) {
	if m, ok := e.assigned[target.ID]; ok {
		return m, true
	}
	candidates := e.byZone[target.Zone]
	if len(candidates) == 0 {
		candidates = e.all
	}
	if len(candidates) == 0 {
		return memberRecord{}, false
	}
	m := slices.MinFunc(candidates, func(a, b memberRecord) int {
		return cmp.Compare(a.distance(target.ID), b.distance(target.ID))
	})
	e.assigned[target.ID] = m
	return m, true
}

// distance orders the members that may call a target by rendezvous hashing: each member is first for a
// part of the targets that corresponds to its cores, and keeps these targets when others come or go.
func (m memberRecord) distance(target cyclamendyke.TargetID) float64 {
	const mantissaBits = 53
	hash := xxhash.Sum64String(string(m.Name) + "\x00" + string(target))
	uniform := (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -math.Log(uniform) / cmp.Or(m.Cores, unknownCores)
}
