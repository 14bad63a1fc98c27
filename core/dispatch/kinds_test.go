package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// runsOf counts the runs of a workflow on each VM.
func (sim *simulation) runsOf(id string) map[cyclamendyke.TargetID]int {
	out := map[cyclamendyke.TargetID]int{}
	for _, v := range sim.vms {
		for name := range v.runs {
			if name.Workflow == cyclamendyke.WorkflowID(id) {
				out[v.info.ID]++
			}
		}
	}
	return out
}

func total(runs map[cyclamendyke.TargetID]int) int {
	sum := 0
	for _, count := range runs {
		sum += count
	}
	return sum
}

// unlimitedFleet returns a simulation of four VMs of 16 cores each, without team limits.
func unlimitedFleet(t *testing.T) *simulation {
	sim := limitedFleet(t, 1, 4)
	sim.fleet.Teams = nil
	return sim
}

func workflow(id string, steps ...cyclamendyke.Step) *cyclamendyke.Workflow {
	return &cyclamendyke.Workflow{ID: cyclamendyke.WorkflowID(id), Team: "t", Queue: "q", Steps: steps}
}

// TestGangStartsAllOrNone fills three of four VMs and submits a gang that needs two whole ones; no
// member may start before there is room for both, and then both start at once.
func TestGangStartsAllOrNone(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	for i := range 3 {
		sim.submit(workflow(fmt.Sprint("fill-", i), cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: 3 * time.Second}))
	}
	sim.run(200 * time.Millisecond)
	is.Equal(sim.starts, 3)
	sim.submit(workflow("gang", cyclamendyke.Step{Count: 2, Gang: true, Need: cores(16), Estimate: time.Second, MaxPerTarget: 1}))
	for range 55 {
		sim.run(50 * time.Millisecond)
		is.Equal(total(sim.runsOf("gang")), 0)
	}
	sim.run(700 * time.Millisecond)
	is.Equal(len(sim.runsOf("gang")), 2)
	sim.run(5 * time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 4)
	is.Equal(sim.starts, 5)
	is.Equal(len(sim.violations), 0)
}

// TestLongRunningTasksAreRestarted crashes a VM with long-running tasks; they must run again and then
// stay running.
func TestLongRunningTasksAreRestarted(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	sim.submit(workflow("watch", cyclamendyke.Step{Count: 4, LongRunning: true, Need: cores(4), MaxPerTarget: 1}))
	sim.run(time.Second)
	is.Equal(len(sim.runsOf("watch")), 4)
	crashed := sim.vms["vm-1"]
	sim.crash(crashed)
	sim.run(2 * time.Second)
	sim.boot(crashed)
	sim.run(2 * time.Second)
	is.Equal(total(sim.runsOf("watch")), 4)
	sim.run(time.Minute)
	is.Equal(total(sim.runsOf("watch")), 4)
	is.Equal(sim.states()[cyclamendyke.WorkflowRunning], 1)
	is.Equal(len(sim.violations), 0)
}

// TestOccurrencesStartWhenDue repeats a workflow three times, every 2 s from a time in the future;
// no occurrence may start early, and a takeover must not repeat one.
func TestOccurrencesStartWhenDue(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	repeated := workflow("repeated", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 300 * time.Millisecond})
	repeated.Repeat, repeated.Interval = 3, 2*time.Second
	repeated.First = sim.wall().Add(time.Second)
	sim.submit(repeated)
	sim.run(950 * time.Millisecond)
	is.Equal(sim.starts, 0)
	sim.run(500 * time.Millisecond)
	is.Equal(sim.starts, 1)
	sim.run(time.Second)
	sim.elect()
	sim.run(450 * time.Millisecond) // 2.9 s after it was submitted.
	is.Equal(sim.starts, 1)
	sim.run(500 * time.Millisecond)
	is.Equal(sim.starts, 2)
	sim.run(3 * time.Second)
	is.Equal(sim.starts, 3)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(sim.violations), 0)
}

// TestSlowRunGetsSpeculativeRun lets a run exceed its estimate by far; a second run must start on
// another VM, and the step ends with the first of the two.
func TestSlowRunGetsSpeculativeRun(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	sim.submit(workflow("copied", cyclamendyke.Step{Count: 1, Speculative: true, Need: cores(4), Estimate: 500 * time.Millisecond}))
	sim.run(100 * time.Millisecond)
	is.Equal(sim.starts, 1)
	for _, v := range sim.vms {
		for _, r := range v.runs {
			r.stopping = true // The run never ends.
		}
	}
	sim.run(800 * time.Millisecond)
	is.Equal(sim.starts, 1)
	sim.run(300 * time.Millisecond)
	is.Equal(sim.starts, 2)
	is.Equal(len(sim.runsOf("copied")), 2)
	sim.run(time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
}

// TestFillerSlowedBesideServingTask runs a filler beside a serving task; it must be paused while
// the serving task is over its latency target, and sped up in steps after the latency has fallen.
func TestFillerSlowedBesideServingTask(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.fleet.Teams = nil
	sim.elect()
	sim.submit(workflow("serving", cyclamendyke.Step{Count: 1, LongRunning: true, Need: cores(4), LatencyTarget: 100 * time.Millisecond}))
	sim.submit(workflow("filling", cyclamendyke.Step{Count: 1, Filler: true, Need: cores(4), Estimate: time.Minute}))
	sim.run(renewWait + time.Second) // The first listing with both tasks may arrive this late.
	is.Equal(total(sim.runsOf("serving"))+total(sim.runsOf("filling")), 2)
	is.Equal(len(sim.paces), 0)
	sim.servingLatency = 150
	sim.run(servingWait + 100*time.Millisecond)
	is.Equal(sim.paces, map[cyclamendyke.WorkflowID]int{"filling": 0})
	sim.servingLatency = 20
	sim.run(resumeDelay - 2*servingWait)
	is.Equal(sim.paces["filling"], 0)
	sim.run(3 * servingWait)
	is.Equal(sim.paces["filling"], paceStep)
	sim.run(10 * time.Second)
	is.Equal(sim.paces["filling"], fullPace)
	is.Equal(len(sim.violations), 0)
}

// TestGangAvoidsOverdueRun lets a run on one of four VMs exceed its estimate by far; a gang that
// needs three whole VMs must take the others, even if tickets last little longer than a request for
// advice takes.
func TestGangAvoidsOverdueRun(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.fleet.Queues[0].Advice = &cyclamendyke.AdviceTiming{Base: 570 * time.Millisecond, ValidFor: 1500 * time.Millisecond}
	sim.ticketTTL = 1500 * time.Millisecond
	sim.elect()
	sim.submit(workflow("overdue", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 500 * time.Millisecond}))
	sim.run(time.Second)
	is.Equal(sim.starts, 1)
	for _, v := range sim.vms {
		for _, r := range v.runs {
			r.stopping = true // The run never ends, not even when stopped.
		}
	}
	for i := range 3 { // They fill the other VMs until the gang's first tickets have expired.
		sim.submit(workflow(fmt.Sprint("fill-", i), cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: 4 * time.Second}))
	}
	sim.run(time.Second)
	is.Equal(sim.starts, 4)
	sim.submit(workflow("gang", cyclamendyke.Step{Count: 3, Gang: true, Need: cores(16), Estimate: time.Second, MaxPerTarget: 1}))
	sim.run(10 * time.Second)
	is.Equal(sim.starts, 7)
	is.Equal(len(sim.violations), 0)
}
