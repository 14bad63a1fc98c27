package bench

import (
	"strings"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

const (
	policyDuration      = 20 * time.Minute
	policyWarmup        = 2 * time.Minute // Jobs accepted in it are not measured.
	policySeeds         = 3               // Number of consecutive seeds.
	policyTicks         = int(policyDuration / cyclamendyke.TickInterval)
	sampleIntervalTicks = int(time.Second / cyclamendyke.TickInterval)

	crashIntervalTicks = int(3 * time.Minute / cyclamendyke.TickInterval)
	failingFromTick    = int(8*time.Minute/cyclamendyke.TickInterval) + 1
	failingUntilTick   = int(13*time.Minute/cyclamendyke.TickInterval) + 1
)

// policyRun measures one set of policies on one workload, over several seeds.
type policyRun struct {
	*zoneSimulation
	work           workload
	waitTimes      map[string]histogram // By kind of job and urgency.
	submitted      map[cyclamendyke.RequestID]cyclamendyke.Job
	waitingTasks   map[cyclamendyke.RequestID]int                   // Number of tasks not started yet.
	reservedByTeam map[cyclamendyke.TeamName]cyclamendyke.Resources // Reserved by running tasks.
	reservedByPool map[cyclamendyke.PoolName]cyclamendyke.Resources // Reserved by running tasks.
	capacity       cyclamendyke.Resources
	packing        map[cyclamendyke.PoolName]*runningMean
	shareDistance  runningMean
	refused        int
	withFaults     bool
}

// measurePolicy compares the policies with the baseline on each workload.
func measurePolicy(seed uint64) (*Report, error) {
	report := &Report{}
	for _, work := range workloads() {
		withoutShares := policy.Standard()
		withoutShares.FairShare = false
		for _, variant := range []struct {
			name   string
			set    policy.Set
			faults bool
		}{
			{"standard", policy.Standard(), false},
			{"without shares", withoutShares, false},
			{"baseline", policy.Baseline(), false},
			{"standard with faults", policy.Standard(), true},
			{"baseline with faults", policy.Baseline(), true},
		} {
			r := newPolicyRun(work)
			r.withFaults = variant.faults
			for i := range uint64(policySeeds) {
				r.run(variant.set, seed+i)
			}
			r.report(report, work.name+" "+variant.name)
		}
	}
	return report, nil
}

func newPolicyRun(work workload) *policyRun {
	return &policyRun{
		work:      work,
		waitTimes: map[string]histogram{},
		packing:   map[cyclamendyke.PoolName]*runningMean{},
		capacity:  capacityOf(work.vms()),
	}
}

// run submits the workload to a new scheduler and adds the measurements to those of earlier runs.
func (r *policyRun) run(set policy.Set, seed uint64) {
	r.submitted = map[cyclamendyke.RequestID]cyclamendyke.Job{}
	r.waitingTasks = map[cyclamendyke.RequestID]int{}
	r.reservedByTeam = map[cyclamendyke.TeamName]cyclamendyke.Resources{}
	r.reservedByPool = map[cyclamendyke.PoolName]cyclamendyke.Resources{}
	previous := r.zoneSimulation
	r.zoneSimulation = newZoneSimulation(zoneSimulationConfig{
		Name: r.work.topology.Zones[0], VMs: r.work.vms(), Tables: r.work.tables(), Policies: set, MaxJobs: 200_000, Seed: seed,
		RunTime: func(job cyclamendyke.Job) time.Duration { return job.RunTime },
	})
	if previous != nil {
		r.schedulerTime, r.placements = previous.schedulerTime, previous.placements
	}
	r.onStart, r.onEnd, r.onAnswer = r.recordStart, r.recordEnd, r.recordAnswer
	arrivals := r.work.arrivals(policyDuration, seed)
	for tick := range policyTicks {
		for len(arrivals) > 0 && simulationStart.Add(arrivals[0].at).Before(r.now.Add(cyclamendyke.TickInterval)) {
			r.submit(arrivals[0].job)
			arrivals = arrivals[1:]
		}
		if r.withFaults {
			r.injectFaults(tick)
		}
		r.advance()
		if tick%sampleIntervalTicks == 0 && r.warmedUp() {
			r.sample()
		}
	}
	r.recordUnstarted()
}

// injectFaults crashes the next worker in order every three minutes, for a minute and a half each, and
// makes the last one fail every task for five minutes.
func (r *policyRun) injectFaults(tick int) {
	names := sortedKeys(r.workers)
	victim := names[tick/crashIntervalTicks%len(names)]
	failing := names[len(names)-1]
	switch {
	case tick == failingFromTick || tick == failingUntilTick:
		r.workers[failing].failsEveryTask = tick == failingFromTick
	case tick%crashIntervalTicks == crashIntervalTicks/2:
		r.crash(victim)
	case tick%crashIntervalTicks == crashIntervalTicks-1:
		r.restart(victim)
	}
}

func (r *policyRun) warmedUp() bool {
	return r.now.Sub(simulationStart) > policyWarmup
}

func (r *policyRun) submit(job cyclamendyke.Job) {
	r.submitted[job.Request] = job
	r.waitingTasks[job.Request] = job.Tasks
	r.call(func() []cyclamendyke.Command { return r.scheduler.Submit(r.now, job) })
}

// recordStart updates the reserved resources and records how long the task waited.
func (r *policyRun) recordStart(start cyclamendyke.TaskStart) {
	job := start.Job
	r.reservedByTeam[job.Team] = r.reservedByTeam[job.Team].Add(start.Reserved)
	r.reservedByPool[r.poolOf(job)] = r.reservedByPool[r.poolOf(job)].Add(start.Reserved)
	if r.waitingTasks[job.Request] > 0 {
		r.waitingTasks[job.Request]--
	}
	if job.AcceptedAt.Sub(simulationStart) > policyWarmup {
		r.waitTimesOf(job).record(r.now.Sub(job.AcceptedAt))
	}
}

func (r *policyRun) waitTimesOf(job cyclamendyke.Job) histogram {
	name := string(job.Kind)
	if job.Urgent {
		name = "urgent " + name
	}
	if _, ok := r.waitTimes[name]; !ok {
		r.waitTimes[name] = newHistogram()
	}
	return r.waitTimes[name]
}

func (r *policyRun) recordEnd(task cyclamendyke.RunningTask) {
	r.reservedByTeam[task.Job.Team] = r.reservedByTeam[task.Job.Team].Sub(task.Reserved)
	r.reservedByPool[r.poolOf(task.Job)] = r.reservedByPool[r.poolOf(task.Job)].Sub(task.Reserved)
}

// poolOf returns the only pool of the job's route, which the route's name contains.
func (r *policyRun) poolOf(job cyclamendyke.Job) cyclamendyke.PoolName {
	_, pool, _ := strings.Cut(string(job.Route), "-")
	return cyclamendyke.PoolName(pool)
}

func (r *policyRun) recordAnswer(outcome cyclamendyke.Outcome) {
	if outcome.Verdict == cyclamendyke.VerdictNotRun {
		r.refused++
		delete(r.waitingTasks, outcome.Request)
	}
}

// recordUnstarted records the wait so far of tasks that never started, so that the wait times show starvation.
func (r *policyRun) recordUnstarted() {
	for _, request := range sortedKeys(r.waitingTasks) {
		job := r.submitted[request]
		if job.AcceptedAt.Sub(simulationStart) <= policyWarmup {
			continue
		}
		for range r.waitingTasks[request] {
			r.waitTimesOf(job).record(r.now.Sub(job.AcceptedAt))
		}
	}
}

// sample records packing and distance from fair shares; it does nothing if no task waits.
func (r *policyRun) sample() {
	demand := r.demand()
	if len(demand) == 0 {
		return
	}
	r.samplePacking()
	r.shareDistance.add(r.distanceFromShare(demand))
}

// samplePacking records the utilization of the bottleneck resource of each pool with waiting tasks.
func (r *policyRun) samplePacking() {
	contended := map[cyclamendyke.PoolName]bool{}
	for request, tasks := range r.waitingTasks {
		if tasks > 0 {
			contended[r.poolOf(r.submitted[request])] = true
		}
	}
	for pool := range contended {
		capacity := cyclamendyke.Resources{}
		for _, vm := range r.work.vms() {
			if vm.Pool == pool {
				capacity = capacity.Add(vm.Capacity)
			}
		}
		if r.packing[pool] == nil {
			r.packing[pool] = &runningMean{}
		}
		r.packing[pool].add(r.reservedByPool[pool].DominantShare(capacity))
	}
}

func (r *policyRun) report(report *Report, name string) {
	for _, kind := range sortedKeys(r.waitTimes) {
		report.Distributions = append(report.Distributions, r.waitTimes[kind].distribution(name+", wait of "+kind))
	}
	for _, pool := range sortedKeys(r.packing) {
		report.addValue(name+", packing of "+string(pool)+" while work waits", r.packing[pool].value(), "of the bottleneck")
	}
	report.addValue(name+", distance from share while work waits", r.shareDistance.value(), "of what is used")
	report.addValue(name+", scheduler time per 1000 placements", millis(r.schedulerTime)*1000/float64(max(r.placements, 1)), "ms")
	report.addValue(name+", refused", float64(r.refused), "jobs")
}
