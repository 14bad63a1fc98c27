package bench

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/keys"
	"cyclamendyke/core/policy"
	"cyclamendyke/core/role"
	"cyclamendyke/core/tables"
	"cyclamendyke/core/timeline"
)

// measureState measures the memory or stored bytes per item of each kind of state.
func measureState(uint64) (*Report, error) {
	report := &Report{}
	measureSchedulerState(report)
	if err := measureTableState(report); err != nil {
		return nil, err
	}
	return report, measureOtherState(report)
}

// heapSeries measures the heap bytes that the value built at each size retains.
func heapSeries[T any](report *Report, name, per string, sizes []int, build func(n int) T) {
	points := make([]Point, 0, len(sizes))
	for _, n := range sizes {
		points = append(points, Point{float64(n), retainedHeap(func() T { return build(n) })})
	}
	report.addSeries(name, "bytes", per, points)
}

func measureSchedulerState(report *Report) {
	heapSeries(report, "scheduler workers", "worker", []int{30, 60, 120, 240, 480}, newDefaultZone)
	heapSeries(report, "scheduler running tasks", "running task", []int{160, 320, 480, 640, 960}, func(n int) *zoneSimulation {
		z := newDefaultZone(120)
		submitJobs(z, n, 1)
		z.workers = nil // The simulation's copy of the running tasks is not part of the scheduler.
		z.pendingEnds = nil
		return z
	})
	heapSeries(report, "scheduler waiting jobs", "waiting job", []int{500, 1000, 2000, 4000}, func(n int) *zoneSimulation {
		z := newDefaultZone(1)
		submitJobs(z, 8+n, 1) // The first 8 tasks fill the worker's slots.
		return z
	})
	heapSeries(report, "scheduler waiting tasks of one job", "waiting task", []int{1000, 10_000, 50_000, 100_000}, func(n int) *zoneSimulation {
		z := newDefaultZone(1)
		submitJobs(z, 1, 8+n) // The first 8 tasks fill the worker's slots.
		return z
	})
	heapSeries(report, "role", "worker", []int{30, 60, 120, 240}, func(n int) *role.Role {
		r := role.New(role.Config{Member: "entry-a1", Zone: "a1", InitialVMs: zoneVMs(n)})
		r.Tick(simulationStart)
		return r
	})
}

// newDefaultZone returns a simulated zone whose tasks run longer than any measurement.
func newDefaultZone(workers int) *zoneSimulation {
	return newZoneSimulation(zoneSimulationConfig{
		Name: "a1", VMs: zoneVMs(workers), Tables: uniformTables(largeTeams, "search"), Policies: policy.Standard(),
		MaxJobs: 200_000, RunTime: func(cyclamendyke.Job) time.Duration { return 1000 * time.Hour },
	})
}

// submitJobs submits jobs and lets the scheduler place as many tasks as fit.
func submitJobs(z *zoneSimulation, jobs, tasksPerJob int) {
	for i := range jobs {
		job := newBatchJob(i, tasksPerJob, z.now)
		z.call(func() []cyclamendyke.Command { return z.scheduler.Submit(z.now, job) })
	}
	z.advance()
	z.advance()
}

func measureTableState(report *Report) error {
	var parseErr error
	heapSeries(report, "tables", "team and route", []int{15, 30, 59, 120}, func(n int) *cyclamendyke.Tables {
		parsed, faults := tables.Parse(tablesText(n), 1)
		if len(faults) > 0 {
			parseErr = fmt.Errorf("tables: %s", faults[0])
		}
		return parsed
	})
	var bytes []Point
	for _, n := range []int{15, 30, 59, 120} {
		value, err := tables.Encode(tablesText(n))
		if err != nil {
			return err
		}
		bytes = append(bytes, Point{float64(n), float64(len(value))})
	}
	report.addSeries("tables value in the store", "bytes", "team and route", bytes)
	return parseErr
}

// tablesText returns tables with n teams and n routes.
func tablesText(n int) cyclamendyke.TablesText {
	text := cyclamendyke.TablesText{
		Pools: "[pool \"search\"]\ncores = 64\nmemory = 128GiB\nslots = 8\nconnections = 64\nzones = a1, a2, a3, b1, b2, b3\nkinds = service, batch, gang\n",
	}
	for i := range n {
		text.Routes += fmt.Sprintf("[route \"route-%d\"]\nkind = batch\npools = search\nteams = %s\nmax-queue = 50\nurgent = true\nzone-loss = stay\n", i, teamName(i))
		text.Routes += fmt.Sprintf("[team \"%s\"]\nshare = 3\nlimit-cores = 1024\nlimit-memory = 2TiB\n", teamName(i))
	}
	return text
}

func measureOtherState(report *Report) error {
	var value []byte
	var buildErr error
	heapSeries(report, "keys", "key", []int{59, 120, 240, 480}, func(n int) *keys.Ring {
		value, buildErr = keys.Encode(keyRecords(n))
		ring, err := keys.NewRing(cyclamendyke.Entry{Value: value, Revision: 1})
		if err != nil {
			buildErr = err
		}
		return ring
	})
	report.addValue("keys value in the store, 480 keys", float64(len(value)), "bytes")
	heapSeries(report, "time line", "event", []int{1000, 2000, 5000, 10_000}, func(n int) *timeline.Ring {
		ring := timeline.NewRing(timeline.RingConfig{Clock: timeline.NewClock(timeline.ClockConfig{}), Member: "entry-a1", Size: n})
		for i := range n {
			ring.Add(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventPlaced, Request: newBatchJob(i, 1, simulationStart).Request, Worker: "a1-search-001"})
		}
		return ring
	})
	heapSeries(report, "peer states", "peer", []int{8, 16, 32, 64}, func(n int) []cyclamendyke.MemberState {
		states := make([]cyclamendyke.MemberState, 0, n)
		for i := range n {
			states = append(states, memberState(i))
		}
		return states
	})
	allotments, err := json.Marshal(teamAllotments())
	report.addValue("allotments of one team in the store, 6 zones", float64(len(allotments)), "bytes")
	if buildErr != nil {
		return buildErr
	}
	return err
}

func keyRecords(n int) []cyclamendyke.KeyRecord {
	records := make([]cyclamendyke.KeyRecord, 0, n)
	for i := range n {
		records = append(records, cyclamendyke.KeyRecord{
			ID:        fmt.Sprintf("k%07d", i),
			Team:      teamName(i % largeTeams),
			Hash:      hex.EncodeToString(make([]byte, 32)),
			GrantedAt: simulationStart,
		})
	}
	return records
}

// memberState returns the state that the i-th daemon's heartbeats carry while it is a zone's scheduler.
func memberState(i int) cyclamendyke.MemberState {
	name := cyclamendyke.MemberName(fmt.Sprintf("entry-a%d-%d", i/largeEntriesPerZone, i%largeEntriesPerZone))
	return cyclamendyke.MemberState{
		Member: cyclamendyke.Member{Name: name, Zone: "a1", Region: "a", Peer: "10.0.0.17:7400", HTTP: "10.0.0.17:7500", Started: simulationStart},
		Pools: map[cyclamendyke.PoolName]cyclamendyke.PoolState{
			"search": {Workers: 90, Capacity: smallTaskResources.Scale(720), Reserved: smallTaskResources.Scale(600), Waiting: 12},
			"reader": {Workers: 30, Capacity: smallTaskResources.Scale(240), Reserved: smallTaskResources.Scale(200), Waiting: 3},
		},
	}
}

// teamAllotments returns the stored allotments of one team in six zones.
func teamAllotments() cyclamendyke.TeamAllotments {
	zones := map[cyclamendyke.ZoneName]cyclamendyke.Allotment{}
	for _, name := range []cyclamendyke.ZoneName{"a1", "a2", "a3", "b1", "b2", "b3"} {
		zones[name] = cyclamendyke.Allotment{Held: smallTaskResources.Scale(100), Want: smallTaskResources.Scale(120)}
	}
	return cyclamendyke.TeamAllotments{Limit: smallTaskResources.Scale(600), Zones: zones}
}
