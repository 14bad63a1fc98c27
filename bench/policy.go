package bench

import (
	"fmt"
	"strings"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

const (
	policyTime  = 20 * time.Minute
	policyWarm  = 2 * time.Minute // Left out of the measures.
	policyRuns  = 3               // Seeds that follow one another.
	policyTicks = int(policyTime / cyclamendyke.TickInterval)
	sampleTicks = int(time.Second / cyclamendyke.TickInterval)

	deathTicks      = int(3 * time.Minute / cyclamendyke.TickInterval)
	brokenFromTick  = int(8*time.Minute/cyclamendyke.TickInterval) + 1
	brokenUntilTick = int(13*time.Minute/cyclamendyke.TickInterval) + 1
)

// policyRun measures one policy on one workload.
type policyRun struct {
	*zone
	work      workload
	waits     map[string]histogram // By kind of job.
	submitted map[cyclamendyke.RequestID]cyclamendyke.Job
	waiting   map[cyclamendyke.RequestID]int // Tasks not started yet.
	running   map[cyclamendyke.TeamName]cyclamendyke.Resources
	inPool    map[cyclamendyke.PoolName]cyclamendyke.Resources // What runs there.
	capacity  cyclamendyke.Resources
	packing   map[cyclamendyke.PoolName]*mean
	distance  mean
	refused   int
	faults    bool
}

// mean is a running average.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(x float64) {
	m.sum += x
	m.count++
}

func (m *mean) value() float64 {
	return m.sum / float64(max(m.count, 1))
}

// measurePolicy compares the policies with the baseline on each workload.
func measurePolicy(seed uint64) (*Report, error) {
	report := &Report{}
	for _, work := range workloads() {
		unshared := policy.Standard()
		unshared.FairShare = false
		for _, choice := range []struct {
			name   string
			set    policy.Set
			faults bool
		}{
			{"standard", policy.Standard(), false},
			{"without shares", unshared, false},
			{"baseline", policy.Baseline(), false},
			{"standard with faults", policy.Standard(), true},
			{"baseline with faults", policy.Baseline(), true},
		} {
			r := newPolicyRun(work)
			r.faults = choice.faults
			for i := range uint64(policyRuns) {
				r.run(choice.set, seed+i)
			}
			r.report(report, work.name+" "+choice.name)
		}
	}
	return report, nil
}

func newPolicyRun(work workload) *policyRun {
	return &policyRun{
		work:     work,
		waits:    map[string]histogram{},
		packing:  map[cyclamendyke.PoolName]*mean{},
		capacity: capacityOf(work.vms()),
	}
}

// run hands the workload to a new scheduler.
func (r *policyRun) run(set policy.Set, seed uint64) {
	r.submitted = map[cyclamendyke.RequestID]cyclamendyke.Job{}
	r.waiting = map[cyclamendyke.RequestID]int{}
	r.running = map[cyclamendyke.TeamName]cyclamendyke.Resources{}
	r.inPool = map[cyclamendyke.PoolName]cyclamendyke.Resources{}
	before := r.zone
	r.zone = newZone(zoneConfig{
		Name: r.work.topology.Zones[0], VMs: r.work.vms(), Tables: r.work.tables(), Policies: set, MaxJobs: 200_000, Seed: seed,
		RunTime: func(job cyclamendyke.Job) time.Duration { return job.RunTime },
	})
	if before != nil {
		r.cost, r.placed = before.cost, before.placed
	}
	r.onStart, r.onEnd, r.onAnswer = r.started, r.ended, r.answered
	arrivals := r.work.arrivals(policyTime, seed)
	for tick := range policyTicks {
		for len(arrivals) > 0 && zoneStart.Add(arrivals[0].at).Before(r.now.Add(cyclamendyke.TickInterval)) {
			r.submit(arrivals[0].job)
			arrivals = arrivals[1:]
		}
		if r.faults {
			r.fault(tick)
		}
		r.advance()
		if tick%sampleTicks == 0 && r.warm() {
			r.sample()
		}
	}
	r.countWaiting()
}

// fault lets one worker in turn die each three minutes for a minute and a half, and one fail everything for five minutes.
func (r *policyRun) fault(tick int) {
	names := sortedKeys(r.machines)
	victim := names[tick/deathTicks%len(names)]
	broken := names[len(names)-1]
	switch {
	case tick == brokenFromTick || tick == brokenUntilTick:
		r.machines[broken].broken = tick == brokenFromTick
	case tick%deathTicks == deathTicks/2:
		r.die(victim)
	case tick%deathTicks == deathTicks-1:
		r.revive(victim)
	}
}

func (r *policyRun) warm() bool {
	return r.now.Sub(zoneStart) > policyWarm
}

func (r *policyRun) submit(job cyclamendyke.Job) {
	r.submitted[job.Request] = job
	r.waiting[job.Request] = job.Tasks
	r.call(func() []cyclamendyke.Command { return r.scheduler.Submit(r.now, job) })
}

// started records how long a task waited.
func (r *policyRun) started(start cyclamendyke.TaskStart) {
	job := start.Job
	r.running[job.Team] = r.running[job.Team].Add(start.Reserved)
	r.inPool[r.poolOf(job)] = r.inPool[r.poolOf(job)].Add(start.Reserved)
	if r.waiting[job.Request] > 0 {
		r.waiting[job.Request]--
	}
	if job.Accepted.Sub(zoneStart) > policyWarm {
		r.waitsOf(job).record(r.now.Sub(job.Accepted))
	}
}

func (r *policyRun) waitsOf(job cyclamendyke.Job) histogram {
	name := string(job.Kind)
	if job.Urgent {
		name = "urgent " + name
	}
	if _, ok := r.waits[name]; !ok {
		r.waits[name] = newHistogram()
	}
	return r.waits[name]
}

func (r *policyRun) ended(task cyclamendyke.RunningTask) {
	r.running[task.Job.Team] = r.running[task.Job.Team].Sub(task.Reserved)
	r.inPool[r.poolOf(task.Job)] = r.inPool[r.poolOf(task.Job)].Sub(task.Reserved)
}

// poolOf returns the one pool of the job's route.
func (r *policyRun) poolOf(job cyclamendyke.Job) cyclamendyke.PoolName {
	_, pool, _ := strings.Cut(string(job.Route), "-")
	return cyclamendyke.PoolName(pool)
}

func (r *policyRun) answered(outcome cyclamendyke.Outcome) {
	if outcome.Verdict == cyclamendyke.VerdictNotRun {
		r.refused++
		delete(r.waiting, outcome.Request)
	}
}

// countWaiting counts the tasks that never started with the time they have waited, so that starved work shows.
func (r *policyRun) countWaiting() {
	for _, request := range sortedKeys(r.waiting) {
		job := r.submitted[request]
		if job.Accepted.Sub(zoneStart) <= policyWarm {
			continue
		}
		for range r.waiting[request] {
			r.waitsOf(job).record(r.now.Sub(job.Accepted))
		}
	}
}

// sample notes packing and distance from share while work waits.
func (r *policyRun) sample() {
	demand := r.demand()
	if len(demand) == 0 {
		return
	}
	r.samplePacking()
	r.distance.add(r.distanceFromShare(demand))
}

// samplePacking notes the part in use of the bottleneck of each pool that work waits for.
func (r *policyRun) samplePacking() {
	contended := map[cyclamendyke.PoolName]bool{}
	for request, tasks := range r.waiting {
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
			r.packing[pool] = &mean{}
		}
		r.packing[pool].add(r.inPool[pool].DominantShare(capacity))
	}
}

// demand returns the dominant share that each team with waiting work would use, or nothing if no work waits.
func (r *policyRun) demand() map[cyclamendyke.TeamName]float64 {
	wanted := map[cyclamendyke.TeamName]cyclamendyke.Resources{}
	for request, tasks := range r.waiting {
		if tasks > 0 {
			job := r.submitted[request]
			wanted[job.Team] = wanted[job.Team].Add(job.PerTask.Scale(int64(tasks)))
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	demand := map[cyclamendyke.TeamName]float64{}
	for i := range r.work.teams {
		name := teamName(i)
		demand[name] = r.running[name].Add(wanted[name]).DominantShare(r.capacity)
	}
	return demand
}

// distanceFromShare returns which part of what is used would have to change hands for weighted max-min fairness.
func (r *policyRun) distanceFromShare(demand map[cyclamendyke.TeamName]float64) float64 {
	total := 0.0
	for _, running := range r.running {
		total += running.DominantShare(r.capacity)
	}
	if total == 0 {
		return 0
	}
	fair := r.fairShares(demand, total)
	moved := 0.0
	for name, entitled := range fair {
		used := r.running[name].DominantShare(r.capacity)
		moved += max(used-entitled, entitled-used) / 2
	}
	return moved / total
}

// fairShares divides total by weight, no team getting more than its demand.
func (r *policyRun) fairShares(demand map[cyclamendyke.TeamName]float64, total float64) map[cyclamendyke.TeamName]float64 {
	fair := map[cyclamendyke.TeamName]float64{}
	open := sortedKeys(demand)
	for left := total; len(open) > 0; {
		weights := 0.0
		for _, name := range open {
			weights += r.weight(name)
		}
		level := left / weights
		var unsatisfied []cyclamendyke.TeamName
		for _, name := range open {
			if demand[name] > level*r.weight(name) {
				unsatisfied = append(unsatisfied, name)
				continue
			}
			fair[name] = demand[name]
			left -= demand[name]
		}
		if len(unsatisfied) == len(open) {
			for _, name := range open {
				fair[name] = level * r.weight(name)
			}
			return fair
		}
		open = unsatisfied
	}
	return fair
}

func (r *policyRun) weight(team cyclamendyke.TeamName) float64 {
	var index int
	_, _ = fmt.Sscanf(string(team), "team-%d", &index) // As teamName writes it.
	return float64(r.work.teams[index].share)
}

func (r *policyRun) report(report *Report, name string) {
	for _, kind := range sortedKeys(r.waits) {
		report.Distributions = append(report.Distributions, r.waits[kind].distribution(name+", wait of "+kind))
	}
	for _, pool := range sortedKeys(r.packing) {
		report.value(name+", packing of "+string(pool)+" while work waits", r.packing[pool].value(), "of the bottleneck")
	}
	report.value(name+", distance from share while work waits", r.distance.value(), "of what is used")
	report.value(name+", scheduler time per 1000 placements", millis(r.cost)*1000/float64(max(r.placed, 1)), "ms")
	report.value(name+", refused", float64(r.refused), "jobs")
}
