package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
	"cyclamendyke/standin"
)

const (
	decideTimedDecisions  = 5000
	decidePlacements      = 5000
	decideTasksPerJob     = 10
	decideTaskEndsPerTick = 100
)

// measureDecisions measures the time of single decisions and the sustained placement rate, by fleet
// size and backlog.
func measureDecisions(seed uint64) (*Report, error) {
	report := &Report{}
	for _, waiting := range []int{1000, 10_000, 50_000} {
		sizes := []int{48, 120, 240, 720}
		median := make([]Point, 0, len(sizes))
		sustained := make([]Point, 0, len(sizes))
		for _, workers := range sizes {
			d := timeDecisions(workers, waiting, seed)
			report.Distributions = append(report.Distributions, d)
			median = append(median, Point{float64(workers), float64(d.P50) / float64(time.Microsecond)})
			sustained = append(sustained, Point{float64(workers), placementsPerSecond(workers, waiting, seed)})
		}
		report.addSeries(fmt.Sprintf("median decision with %d tasks waiting", waiting), "us", "worker", median)
		report.addSeries(fmt.Sprintf("sustained placement with %d tasks waiting", waiting), "tasks/s", "worker", sustained)
	}
	return report, nil
}

// backloggedZone is a simulated zone without free capacity and with a constant number of waiting tasks.
type backloggedZone struct {
	*zoneSimulation
	random      *rand.Rand
	workerNames []cyclamendyke.WorkerName
	nextJob     int
}

func newBackloggedZone(workers, waiting, placementsPerTick int, seed uint64) *backloggedZone {
	b := &backloggedZone{
		zoneSimulation: newZoneSimulation(zoneSimulationConfig{
			Name: "a1", VMs: zoneVMs(workers), Tables: uniformTables(largeTeams, "search"), Policies: policy.Standard(),
			MaxJobs: 200_000, Seed: seed, PlacementsPerTick: placementsPerTick,
			RunTime: func(cyclamendyke.Job) time.Duration { return 1000 * time.Hour },
		}),
		random: rand.New(rand.NewPCG(seed, uint64(workers))),
	}
	b.workerNames = sortedKeys(b.workers)
	slots := workers * standin.WorkerSlots
	for range slots {
		b.submit(1)
	}
	for b.placements < slots {
		b.advance()
	}
	for range waiting / decideTasksPerJob {
		b.submit(decideTasksPerJob)
	}
	b.advance()
	return b
}

// submit submits a job of small tasks of random size.
func (b *backloggedZone) submit(tasks int) {
	job := newBatchJob(b.nextJob, tasks, b.now)
	job.PerTask.Cores = cyclamendyke.MilliCores(1000 * (1 + b.random.Int64N(8)))
	job.PerTask.Memory = cyclamendyke.MiB(1024 * (1 + b.random.Int64N(16)))
	b.nextJob++
	b.call(func() []cyclamendyke.Command { return b.scheduler.Submit(b.now, job) })
}

// endRandomTask ends the task with the lowest ID on a random worker.
func (b *backloggedZone) endRandomTask() {
	worker := b.workerNames[b.random.IntN(len(b.workerNames))]
	var first cyclamendyke.TaskID
	for id := range b.workers[worker].running {
		if first.Request == "" || compareTaskIDs(id, first) < 0 {
			first = id
		}
	}
	b.end(worker, first, false)
	b.renew(worker)
}

// timeDecisions returns the times of the scheduler's ticks that place a task into the capacity freed by
// another one.
func timeDecisions(workers, waiting int, seed uint64) Distribution {
	b := newBackloggedZone(workers, waiting, 1, seed)
	times := newHistogram()
	for i := range decideTimedDecisions {
		b.endRandomTask()
		if i%decideTasksPerJob == 0 {
			b.submit(decideTasksPerJob)
		}
		b.now = b.now.Add(time.Millisecond)
		start := time.Now()
		commands := b.scheduler.Tick(b.now)
		elapsed := time.Since(start)
		before := b.placements
		b.execute(commands)
		if b.placements > before {
			times.record(elapsed)
		}
	}
	return times.distribution(fmt.Sprintf("decision, %d workers, %d tasks waiting", workers, waiting))
}

// placementsPerSecond returns the placements per second of scheduler time while running tasks end and
// free capacity.
func placementsPerSecond(workers, waiting int, seed uint64) float64 {
	b := newBackloggedZone(workers, waiting, decidePlacements, seed)
	b.schedulerTime, b.placements = 0, 0
	for i := 0; b.placements < decidePlacements; i++ {
		b.endRandomTask()
		if i%decideTasksPerJob == 0 {
			b.submit(decideTasksPerJob)
		}
		if i%decideTaskEndsPerTick == 0 {
			b.advance()
		}
	}
	return float64(b.placements) / b.schedulerTime.Seconds()
}
