package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cyclamendyke"
	"cyclamendyke/standin"
)

// workload describes the jobs that one zone of a fleet receives.
type workload struct {
	name               string
	topology           standin.Topology
	teams              []teamLoad
	streams            []jobStream
	serviceTasks       int // Long-running tasks submitted at the start, assigned to the teams round-robin.
	serviceReservation cyclamendyke.Resources
}

// teamLoad is one team's fair-share weight and its fraction of the jobs.
type teamLoad struct {
	share       int
	jobFraction float64
}

// jobStream is one kind of job, with random arrivals.
type jobStream struct {
	kind        cyclamendyke.JobKind
	pool        cyclamendyke.PoolName
	perTask     cyclamendyke.Resources
	tasks       int           // Mean for a batch job, exact number for a gang.
	runTime     time.Duration // Mean run time.
	offeredLoad float64       // Fraction of the pool's bottleneck resource that the stream would use.
	urgentEvery int           // Every n-th job is urgent; none if zero.
}

// mixedTeams are six teams, of which three submit most of the jobs.
var mixedTeams = []teamLoad{{4, 0.40}, {3, 0.25}, {2, 0.20}, {1, 0.08}, {1, 0.04}, {1, 0.03}}

// largeFleetTeams returns the teams of the large fleet, of which every sixth is large.
func largeFleetTeams() []teamLoad {
	teams := make([]teamLoad, 0, largeTeams)
	total := 0.0
	for i := range largeTeams {
		load := teamLoad{share: 1, jobFraction: 1}
		if i%6 == 0 {
			load = teamLoad{share: 4, jobFraction: 8}
		}
		total += load.jobFraction
		teams = append(teams, load)
	}
	for i := range teams {
		teams[i].jobFraction /= total
	}
	return teams
}

func taskResources(cores, memory, accelerators int64) cyclamendyke.Resources {
	return cyclamendyke.Resources{
		Cores: cyclamendyke.MilliCores(cores * 1000), Memory: cyclamendyke.MiB(memory * 1024), Accelerators: accelerators, Slots: 1, Connections: 4,
	}
}

// workloads returns the job mixes of two users' fleets and of the large fleet; each mix offers more
// than its fleet can run.
func workloads() []workload {
	hakata := []jobStream{
		{kind: cyclamendyke.KindBatch, pool: "search", perTask: taskResources(6, 12, 0), tasks: 4, runTime: 4 * time.Second, offeredLoad: 0.45, urgentEvery: 20},
		{kind: cyclamendyke.KindBatch, pool: "search", perTask: taskResources(16, 40, 0), tasks: 12, runTime: 40 * time.Second, offeredLoad: 0.40},
		{kind: cyclamendyke.KindBatch, pool: "reader", perTask: taskResources(8, 16, 1), tasks: 8, runTime: 30 * time.Second, offeredLoad: 0.80, urgentEvery: 30},
		{kind: cyclamendyke.KindGang, pool: "reader", perTask: taskResources(16, 32, 2), tasks: 6, runTime: time.Minute, offeredLoad: 0.35},
	}
	hsinchu := []jobStream{
		{kind: cyclamendyke.KindBatch, pool: "bench", perTask: taskResources(2, 4, 0), tasks: 2, runTime: 2 * time.Second, offeredLoad: 0.40, urgentEvery: 20},
		{kind: cyclamendyke.KindBatch, pool: "bench", perTask: taskResources(8, 20, 0), tasks: 10, runTime: 30 * time.Second, offeredLoad: 0.45},
		{kind: cyclamendyke.KindBatch, pool: "design", perTask: taskResources(4, 8, 1), tasks: 10, runTime: time.Minute, offeredLoad: 0.80, urgentEvery: 30},
		{kind: cyclamendyke.KindGang, pool: "design", perTask: taskResources(8, 16, 2), tasks: 4, runTime: 90 * time.Second, offeredLoad: 0.35},
	}
	return []workload{
		{name: "hakata", topology: standin.Hakata(), teams: mixedTeams, streams: hakata, serviceTasks: 12, serviceReservation: taskResources(8, 16, 0)},
		{name: "hsinchu", topology: standin.Hsinchu(), teams: mixedTeams, streams: hsinchu, serviceTasks: 12, serviceReservation: taskResources(4, 8, 0)},
		{name: "large", topology: standin.Large(), teams: largeFleetTeams(), streams: hakata, serviceTasks: 126, serviceReservation: taskResources(8, 16, 0)},
	}
}

// vms returns the VMs of the workload's first zone.
func (w workload) vms() []cyclamendyke.VM {
	var vms []cyclamendyke.VM
	for _, vm := range w.topology.VMs("10.0.0.1:7400") {
		if vm.Zone == w.topology.Zones[0] {
			vms = append(vms, vm)
		}
	}
	return vms
}

// tables returns the workload's tables, with a route for each kind of job and pool.
func (w workload) tables() *cyclamendyke.Tables {
	tables := uniformTables(len(w.teams))
	for i, team := range w.teams {
		tables.Teams[teamName(i)] = cyclamendyke.Team{Name: teamName(i), Share: team.share}
	}
	for _, pool := range w.topology.Pools {
		kinds := []cyclamendyke.JobKind{cyclamendyke.KindService, cyclamendyke.KindBatch, cyclamendyke.KindGang}
		tables.Pools[pool.Name] = cyclamendyke.Pool{Name: pool.Name, Kinds: kinds, Zones: w.topology.Zones, Shape: pool.Shape}
		for _, kind := range kinds {
			route := tables.Routes[cyclamendyke.RouteName(kind)]
			route.Name = routeName(kind, pool.Name)
			route.Pools = []cyclamendyke.PoolName{pool.Name}
			tables.Routes[route.Name] = route
		}
	}
	return tables
}

func routeName(kind cyclamendyke.JobKind, pool cyclamendyke.PoolName) cyclamendyke.RouteName {
	return cyclamendyke.RouteName(string(kind) + "-" + string(pool))
}

// arrival is a job and the time at which it is submitted.
type arrival struct {
	at  time.Duration
	job cyclamendyke.Job
}

// arrivals returns the jobs that arrive within duration, ordered by time; equal seeds give equal jobs.
func (w workload) arrivals(duration time.Duration, seed uint64) []arrival {
	all := make([]arrival, 0, w.serviceTasks)
	for i := range w.serviceTasks {
		job := w.job(i%len(w.teams), jobStream{kind: cyclamendyke.KindService, pool: w.topology.Pools[0].Name, perTask: w.serviceReservation}, 1, 1000*time.Hour)
		all = append(all, arrival{0, job})
	}
	for i, s := range w.streams {
		all = append(all, w.streamArrivals(s, duration, rand.New(rand.NewPCG(seed, uint64(i))))...)
	}
	sortArrivals(all)
	for i := range all {
		all[i].job.Request = cyclamendyke.NewRequestID(w.topology.Zones[0], fmt.Sprintf("%08d", i))
		all[i].job.AcceptedAt = simulationStart.Add(all[i].at)
	}
	return all
}

func (w workload) streamArrivals(s jobStream, duration time.Duration, random *rand.Rand) []arrival {
	capacity := cyclamendyke.Resources{}
	for _, vm := range w.vms() {
		if vm.Pool == s.pool {
			capacity = capacity.Add(vm.Capacity)
		}
	}
	taskShare := s.perTask.DominantShare(capacity)
	jobsPerSecond := s.offeredLoad / (taskShare * float64(s.tasks) * s.runTime.Seconds())
	var all []arrival
	at := 0.0
	for i := 1; ; i++ {
		at += random.ExpFloat64() / jobsPerSecond
		if at > duration.Seconds() {
			return all
		}
		tasks := s.tasks
		if s.kind == cyclamendyke.KindBatch {
			tasks = 1 + random.IntN(2*s.tasks-1)
		}
		job := w.job(w.pickTeam(random), s, tasks, logNormal(s.runTime, random))
		job.Urgent = s.urgentEvery > 0 && i%s.urgentEvery == 0
		all = append(all, arrival{time.Duration(at * float64(time.Second)), job})
	}
}

func (w workload) job(team int, s jobStream, tasks int, runTime time.Duration) cyclamendyke.Job {
	return cyclamendyke.Job{
		Team: teamName(team), Route: routeName(s.kind, s.pool), Kind: s.kind, Tasks: tasks, PerTask: s.perTask, RunTime: runTime,
	}
}

func (w workload) pickTeam(random *rand.Rand) int {
	x := random.Float64()
	for i, team := range w.teams {
		x -= team.jobFraction
		if x < 0 {
			return i
		}
	}
	return len(w.teams) - 1
}

// logNormal returns a log-normal run time with the given mean, but at least 100 ms.
func logNormal(mean time.Duration, random *rand.Rand) time.Duration {
	const sigma = 0.8
	factor := math.Exp(random.NormFloat64()*sigma - sigma*sigma/2)
	return max(time.Duration(float64(mean)*factor), 100*time.Millisecond)
}
