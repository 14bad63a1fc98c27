package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cyclamendyke"
)

// testMembers returns members of zones a to f with the given cores each.
func testMembers(zones int, cores ...float64) []memberRecord {
	members := make([]memberRecord, 0, zones*len(cores))
	for z := range zones {
		for i, c := range cores {
			zone := cyclamendyke.ZoneName("a"[0] + byte(z))
			members = append(members, memberRecord{Name: cyclamendyke.MemberName(fmt.Sprintf("%s-%d", zone, i)), Zone: zone, Cores: c})
		}
	}
	return members
}

func testTargetsByZone(zones, each int) map[cyclamendyke.ZoneName]int {
	counts := map[cyclamendyke.ZoneName]int{}
	for z := range zones {
		counts[cyclamendyke.ZoneName("a"[0]+byte(z))] = each
	}
	return counts
}

// TestExecutorsByZone checks which members carry out orders for fleets of different sizes.
func TestExecutorsByZone(t *testing.T) {
	weakAndStrong := []float64{0.2, 0.8, 0.2, 0.2, 0.8}
	tests := []struct {
		name     string
		ownCores float64
		cores    []float64 // Of the members of each zone.
		targets  int       // In each of four zones.
		wantEach int       // Executors of each zone.

	}{
		{name: "few targets", ownCores: 0.4, cores: []float64{0.4, 0.4}, targets: 12},
		{name: "few targets, weak scheduler", ownCores: 0.12, cores: []float64{0.12, 0.12, 0.12}, targets: 12, wantEach: 2},
		{name: "two strong members suffice", ownCores: 0.8, cores: weakAndStrong, targets: 90, wantEach: 2},
		{name: "all members are needed", ownCores: 0.8, cores: weakAndStrong, targets: 600, wantEach: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var e executors
			e.assign(test.ownCores, testMembers(4, test.cores...), testTargetsByZone(4, test.targets))
			is.Equal(len(e.all), 4*test.wantEach)
			for _, executors := range e.byZone {
				is.Equal(len(executors), test.wantEach)
				is.Equal(executors[0].Cores, maxOf(test.cores))
			}
		})
	}
}

func maxOf(values []float64) float64 {
	largest := 0.0
	for _, v := range values {
		largest = max(largest, v)
	}
	return largest
}

// TestTargetsAreCalledFromTheirZone checks that targets go to executors of their own zone by their cores,
// to any if that zone has none, and that most keep their executor when another one is lost.
func TestTargetsAreCalledFromTheirZone(t *testing.T) {
	is := is.New(t)
	var e executors
	members, counts := testMembers(3, 0.8, 0.2), testTargetsByZone(3, 1000)
	e.assign(0.8, members, counts)
	target := func(i int, zone cyclamendyke.ZoneName) cyclamendyke.Target {
		return cyclamendyke.Target{ID: cyclamendyke.TargetID(fmt.Sprint("i-", i)), Zone: zone}
	}
	calls := map[cyclamendyke.MemberName]int{}
	before := map[cyclamendyke.TargetID]cyclamendyke.MemberName{}
	for i := range 1000 {
		m, ok := e.forTarget(target(i, "b"))
		is.True(ok)
		is.Equal(m.Zone, cyclamendyke.ZoneName("b"))
		calls[m.Name]++
		before[target(i, "b").ID] = m.Name
	}
	is.True(calls["b-0"] > 750 && calls["b-0"] < 850) // 0.8 of 1 core.
	elsewhere, ok := e.forTarget(target(1, "z"))
	is.True(ok)
	is.True(elsewhere.Name != "")

	e.assign(0.8, append(members, memberRecord{Name: "b-2", Zone: "b", Cores: 0.2}), counts)
	moved := 0
	for i := range 1000 {
		m, _ := e.forTarget(target(i, "b"))
		if m.Name != before[target(i, "b").ID] {
			is.Equal(m.Name, cyclamendyke.MemberName("b-2"))
			moved++
		}
	}
	is.True(moved > 0 && moved < 250) // 0.2 of 1.2 cores.
}
