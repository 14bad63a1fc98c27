package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cyclamendyke"
)

// stepsPerWorkflow is how many steps a workflow of the benchmark has at most; the body of a request has room for some more.
const stepsPerWorkflow = 10_000

// largeJobs returns workflows with count tasks, steps or occurrences in all.
func largeJobs(kind string, count int, first time.Time) []*cyclamendyke.Workflow {
	step := cyclamendyke.Step{Count: 1, Need: cyclamendyke.Resources{Cores: 100}, Estimate: 2 * time.Second}
	switch kind {
	case "tasks":
		step.Count = count
		return []*cyclamendyke.Workflow{workflow("wide", step)}
	case "occurrences":
		w := workflow("timed", step)
		w.Repeat, w.First, w.Interval = count, first, time.Minute
		return []*cyclamendyke.Workflow{w}
	}
	var out []*cyclamendyke.Workflow
	for count > 0 {
		w := workflow(fmt.Sprint("steps-", len(out)))
		for range min(count, stepsPerWorkflow) {
			w.Steps = append(w.Steps, step)
		}
		count -= len(w.Steps)
		out = append(out, w)
	}
	return out
}

// liveBytes returns the bytes of the heap that are in use.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// boundPasses bounds the passes of a simulation by time; nil for schedulers that cannot do so.
var boundPasses func(*simulation)

// BenchmarkLargeJobs measures, for very many tasks, steps or occurrences: a submission, the longest and the mean of the passes
// of the first two seconds, a takeover, and the memory that is held after the submission and in the end.
func BenchmarkLargeJobs(b *testing.B) {
	for _, kind := range []string{"tasks", "steps", "occurrences"} {
		for _, count := range []int{1000, 10_000, 150_000} {
			b.Run(fmt.Sprintf("%s=%d", kind, count), func(b *testing.B) {
				for b.Loop() {
					benchmarkLargeJobs(b, kind, count)
				}
			})
		}
	}
}

func benchmarkLargeJobs(b *testing.B, kind string, count int) {
	sim := limitedFleet(b, 1, 0)
	sim.fleet.Teams, sim.fleet.Queues[0].Advice = nil, nil
	for i := range 16 {
		sim.addVM(cyclamendyke.Target{
			ID: cyclamendyke.TargetID(fmt.Sprintf("vm-%02d", i)), Service: "s", Address: fmt.Sprint("vm-", i), Capacity: cores(64), Zone: "a",
		})
	}
	sim.elect()
	sim.run(time.Second)
	if boundPasses != nil {
		boundPasses(sim)
	}
	before := liveBytes()
	workflows := largeJobs(kind, count, sim.wall().Add(time.Second))
	began := time.Now()
	for _, w := range workflows {
		sim.submit(w)
	}
	b.ReportMetric(milliseconds(time.Since(began)), "submit-ms")
	b.ReportMetric(float64(liveBytes()-before)/1024, "held-KB")
	longest := time.Duration(0)
	sim.passes, sim.passTime = 0, 0
	for range 200 {
		spent := sim.passTime
		sim.run(10 * time.Millisecond)
		longest = max(longest, sim.passTime-spent)
	}
	b.ReportMetric(milliseconds(longest), "longest-pass-ms")
	b.ReportMetric(milliseconds(sim.passTime)/float64(sim.passes), "pass-ms")
	b.ReportMetric(float64(sim.starts), "starts")
	began = time.Now()
	sim.elect()
	b.ReportMetric(milliseconds(time.Since(began)), "takeover-ms")
	b.ReportMetric(float64(liveBytes()-before)/1024, "end-KB")
	runtime.KeepAlive(workflows)
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
