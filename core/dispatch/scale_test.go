package dispatch

import (
	"fmt"
	"testing"
	"time"

	"cyclamendyke"
)

// The size of the fleet in the benchmarks of passes.
const (
	benchTargetsPerMember = 8
	benchTeams            = 20
)

// benchFleet returns a simulation with a pool of CPU targets, a smaller pool with accelerators, and
// queues of three kinds of work.
func benchFleet(b *testing.B, targets int) *simulation {
	sim := newSimulation(b, 1)
	sim.members = targets / benchTargetsPerMember
	for i := range targets {
		info := cyclamendyke.Target{ID: cyclamendyke.TargetID(fmt.Sprintf("t%04d", i)), Service: "cpu", Capacity: cyclamendyke.Resources{Cores: 64000, Memory: 128000}}
		if i%4 == 3 {
			info.Service = "gpu"
			info.Capacity = cyclamendyke.Resources{Cores: 128000, Memory: 256000, Accelerators: 8}
		}
		sim.addVM(info)
	}
	sim.fleet.Services = []cyclamendyke.Service{{Name: "cpu"}, {Name: "gpu"}}
	advice := func(base time.Duration) *cyclamendyke.AdviceTiming {
		return &cyclamendyke.AdviceTiming{Base: base, PerTarget: time.Millisecond, ValidFor: 2 * time.Second}
	}
	sim.fleet.Queues = []cyclamendyke.Queue{
		{Name: "urgent", Service: "cpu", BaseTarget: 250 * time.Millisecond, CriticalPathFactor: 1.5, MaxAttempts: 3, Advice: advice(15 * time.Millisecond)},
		{Name: "batch", Service: "cpu", Priority: 2, BaseTarget: 3 * time.Second, CriticalPathFactor: 2, MaxAttempts: 3, Advice: advice(100 * time.Millisecond)},
		{Name: "gang", Service: "gpu", Priority: 2, BaseTarget: time.Second, CriticalPathFactor: 2, MaxAttempts: 3, Advice: advice(200 * time.Millisecond)},
	}
	for i := range benchTeams {
		sim.fleet.Teams = append(sim.fleet.Teams, cyclamendyke.TeamConfig{Team: cyclamendyke.TeamName(fmt.Sprint("team-", i)), Weight: 2})
	}
	asked := 0
	sim.adviceAllows = func(cyclamendyke.StepName, cyclamendyke.TargetID) bool {
		asked++
		return asked%9 < 4
	}
	return sim
}

// submitBacklog submits workflows of all three kinds, more than the fleet can run at once.
func (sim *simulation) submitBacklog(count int) {
	for i := range count {
		spec := &cyclamendyke.Workflow{
			ID:   cyclamendyke.WorkflowID(fmt.Sprintf("%04d", len(sim.workflows))),
			Team: cyclamendyke.TeamName(fmt.Sprint("team-", i%benchTeams)),
		}
		need := func(cores int) cyclamendyke.Resources {
			return cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(1000*cores + i%7*100), Memory: cyclamendyke.MiB(1000 * cores)}
		}
		switch i % 10 {
		case 0:
			spec.Queue = "gang"
			spec.Steps = []cyclamendyke.Step{{Count: 5, Gang: true, Need: cyclamendyke.Resources{Cores: 62000, Memory: 1000, Accelerators: int64(2 + i%6)}, Estimate: 3600 * time.Millisecond}}
		case 1, 2:
			spec.Queue = "batch"
			spec.Steps = []cyclamendyke.Step{
				{Count: 28, Need: need(18), Estimate: 3600 * time.Millisecond, Checkpoints: true},
				{Count: 28, Need: need(18), Estimate: 3600 * time.Millisecond, Checkpoints: true, After: []int{0}},
			}
		default:
			spec.Queue = "urgent"
			spec.Steps = []cyclamendyke.Step{{Count: 15, Need: need(11), Estimate: 700 * time.Millisecond}}
		}
		sim.submit(spec)
	}
}

// BenchmarkPass measures scheduling passes on fleets of several sizes: with the same small load on all,
// and with a backlog of a few waiting steps for each target.
func BenchmarkPass(b *testing.B) {
	for _, targets := range []int{350, 540, 1000, 3000} {
		b.Run(fmt.Sprintf("load/targets=%d", targets), func(b *testing.B) {
			benchmarkPass(b, targets, func(sim *simulation) {
				for range 20 {
					sim.submitBacklog(2)
					sim.run(50 * time.Millisecond)
				}
			})
		})
		b.Run(fmt.Sprintf("backlog/targets=%d", targets), func(b *testing.B) {
			benchmarkPass(b, targets, func(sim *simulation) {
				sim.submitBacklog(3 * targets)
				sim.run(400 * time.Millisecond)
			})
		})
	}
}

func benchmarkPass(b *testing.B, targets int, play func(*simulation)) {
	for b.Loop() {
		sim := benchFleet(b, targets)
		sim.elect()
		sim.run(time.Second)
		sim.passes, sim.passTime = 0, 0
		play(sim)
		b.ReportMetric(float64(sim.passTime.Microseconds())/1000/float64(sim.passes), "ms/pass")
		b.ReportMetric(float64(sim.starts), "starts")
		b.ReportMetric(float64(sim.adviceRequests), "questions")
	}
}
