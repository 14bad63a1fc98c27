package bench

import (
	"fmt"
	"time"

	"cyclamendyke"
	"cyclamendyke/standin"
)

// Size and load of the large fleet, to which measured usage is extrapolated.
const (
	largeZones              = 6
	largeWorkersPerZone     = 120
	largeStartsPerSecond    = 440
	largeRunningTasks       = 3800
	largeTeams              = 59
	largeTableChangesPerDay = 520
	largeJobsPerDay         = 3100
	largeEntriesPerZone     = 3
)

// zoneVMs returns n workers of one zone and one pool, four in each rack.
func zoneVMs(n int) []cyclamendyke.VM {
	topology := standin.Topology{
		Zones: []cyclamendyke.ZoneName{"a1"},
		Pools: []standin.Pool{{Name: "search", Shape: standin.Shape(64, 128, 0), Workers: n, PerRack: 4}},
	}
	return topology.VMs("10.0.0.1:7400")
}

// uniformTables returns tables with the given number of teams, all of equal share, and one route for each
// kind of job.
func uniformTables(teams int, pools ...cyclamendyke.PoolName) *cyclamendyke.Tables {
	tables := &cyclamendyke.Tables{
		Revision: 1,
		Routes:   map[cyclamendyke.RouteName]cyclamendyke.Route{},
		Teams:    map[cyclamendyke.TeamName]cyclamendyke.Team{},
		Pools:    map[cyclamendyke.PoolName]cyclamendyke.Pool{},
	}
	names := make([]cyclamendyke.TeamName, 0, teams)
	for i := range teams {
		name := teamName(i)
		names = append(names, name)
		tables.Teams[name] = cyclamendyke.Team{Name: name, Share: 1}
	}
	kinds := []cyclamendyke.JobKind{cyclamendyke.KindService, cyclamendyke.KindBatch, cyclamendyke.KindGang}
	for _, kind := range kinds {
		name := cyclamendyke.RouteName(kind)
		tables.Routes[name] = cyclamendyke.Route{
			Name: name, Kind: kind, Pools: pools, Teams: names, Urgent: true, MaxQueue: 1 << 20,
		}
	}
	for _, name := range pools {
		tables.Pools[name] = cyclamendyke.Pool{Name: name, Kinds: kinds, Zones: []cyclamendyke.ZoneName{"a1"}, Shape: standin.Shape(64, 128, 0)}
	}
	return tables
}

func teamName(i int) cyclamendyke.TeamName {
	return cyclamendyke.TeamName(fmt.Sprintf("team-%02d", i))
}

// smallTaskResources reserves one of a worker's eight slots and an eighth of its other resources.
var smallTaskResources = cyclamendyke.Resources{Cores: 8000, Memory: 16384, Slots: 1, Connections: 8}

// newBatchJob returns the i-th batch job; jobs are assigned to the teams round-robin.
func newBatchJob(i, tasks int, acceptedAt time.Time) cyclamendyke.Job {
	return cyclamendyke.Job{
		Request:    cyclamendyke.NewRequestID("a1", fmt.Sprintf("01K9ZQ4T6Y8V3N5M7P%08d", i)),
		Team:       teamName(i % largeTeams),
		Route:      cyclamendyke.RouteName(cyclamendyke.KindBatch),
		Kind:       cyclamendyke.KindBatch,
		Tasks:      tasks,
		PerTask:    smallTaskResources,
		RunTime:    time.Minute,
		Payload:    "sheet=12345 page=17",
		AcceptedAt: acceptedAt,
	}
}
