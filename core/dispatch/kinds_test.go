package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// runsOf counts the runs of a workflow on each VM.
func (w *simulation) runsOf(id string) map[cyclamendyke.TargetID]int {
	out := map[cyclamendyke.TargetID]int{}
	for _, v := range w.vms {
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

// unlimitedFleet returns four VMs of 16 cores, without team limits.
func unlimitedFleet(t *testing.T) *simulation {
	w := limitedFleet(t, 1, 4)
	w.fleet.Teams = nil
	return w
}

func workflow(id string, steps ...cyclamendyke.Step) *cyclamendyke.Workflow {
	return &cyclamendyke.Workflow{ID: cyclamendyke.WorkflowID(id), Team: "t", Queue: "q", Steps: steps}
}

// TestGangStartsAllOrNone fills three of four VMs and submits a gang that needs two whole ones; no
// member may start before there is room for both, and then both start at once.
func TestGangStartsAllOrNone(t *testing.T) {
	is := is.New(t)
	w := unlimitedFleet(t)
	w.elect()
	for i := range 3 {
		w.submit(workflow(fmt.Sprint("fill-", i), cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: 3 * time.Second}))
	}
	w.run(200 * time.Millisecond)
	is.Equal(w.starts, 3)
	w.submit(workflow("gang", cyclamendyke.Step{Count: 2, Gang: true, Need: cores(16), Estimate: time.Second, MaxPerTarget: 1}))
	for range 55 {
		w.run(50 * time.Millisecond)
		is.Equal(total(w.runsOf("gang")), 0)
	}
	w.run(700 * time.Millisecond)
	is.Equal(len(w.runsOf("gang")), 2)
	w.run(5 * time.Second)
	is.Equal(w.states()[cyclamendyke.WorkflowCompleted], 4)
	is.Equal(w.starts, 5)
	is.Equal(len(w.violations), 0)
}

// TestLongRunningTasksAreRestarted crashes a VM with long-running tasks; they must run again and then
// stay running.
func TestLongRunningTasksAreRestarted(t *testing.T) {
	is := is.New(t)
	w := unlimitedFleet(t)
	w.elect()
	w.submit(workflow("watch", cyclamendyke.Step{Count: 4, LongRunning: true, Need: cores(4), MaxPerTarget: 1}))
	w.run(time.Second)
	is.Equal(len(w.runsOf("watch")), 4)
	crashed := w.vms["vm-1"]
	w.crash(crashed)
	w.run(2 * time.Second)
	w.boot(crashed)
	w.run(2 * time.Second)
	is.Equal(total(w.runsOf("watch")), 4)
	w.run(time.Minute)
	is.Equal(total(w.runsOf("watch")), 4)
	is.Equal(w.states()[cyclamendyke.WorkflowRunning], 1)
	is.Equal(len(w.violations), 0)
}

// TestOccurrencesStartWhenDue repeats a workflow three times, every 2 s from a time in the future;
// no occurrence may start early, and a takeover must not repeat one.
func TestOccurrencesStartWhenDue(t *testing.T) {
	is := is.New(t)
	w := unlimitedFleet(t)
	w.elect()
	repeated := workflow("repeated", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 300 * time.Millisecond})
	repeated.Repeat, repeated.Interval = 3, 2*time.Second
	repeated.First = w.wall().Add(time.Second)
	w.submit(repeated)
	w.run(950 * time.Millisecond)
	is.Equal(w.starts, 0)
	w.run(500 * time.Millisecond)
	is.Equal(w.starts, 1)
	w.run(time.Second)
	w.elect()
	w.run(450 * time.Millisecond) // 2.9 s after it was submitted.
	is.Equal(w.starts, 1)
	w.run(500 * time.Millisecond)
	is.Equal(w.starts, 2)
	w.run(3 * time.Second)
	is.Equal(w.starts, 3)
	is.Equal(w.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(w.violations), 0)
}

// TestSlowRunGetsSpeculativeRun lets a run exceed its estimate by far; a second run must start on
// another VM, and the step ends with the first of the two.
func TestSlowRunGetsSpeculativeRun(t *testing.T) {
	is := is.New(t)
	w := unlimitedFleet(t)
	w.elect()
	w.submit(workflow("copied", cyclamendyke.Step{Count: 1, Speculative: true, Need: cores(4), Estimate: 500 * time.Millisecond}))
	w.run(100 * time.Millisecond)
	is.Equal(w.starts, 1)
	for _, v := range w.vms {
		for _, r := range v.runs {
			r.stopping = true // The run never ends.
		}
	}
	w.run(800 * time.Millisecond)
	is.Equal(w.starts, 1)
	w.run(300 * time.Millisecond)
	is.Equal(w.starts, 2)
	is.Equal(len(w.runsOf("copied")), 2)
	w.run(time.Second)
	is.Equal(w.states()[cyclamendyke.WorkflowCompleted], 1)
}

// TestFillerSlowedBesideServingTask runs a filler beside a serving task; it must be paused while
// the serving task is over its latency target, and sped up in steps after the latency has fallen.
func TestFillerSlowedBesideServingTask(t *testing.T) {
	is := is.New(t)
	w := limitedFleet(t, 1, 1)
	w.fleet.Teams = nil
	w.elect()
	w.submit(workflow("serving", cyclamendyke.Step{Count: 1, LongRunning: true, Need: cores(4), LatencyTarget: 100 * time.Millisecond}))
	w.submit(workflow("filling", cyclamendyke.Step{Count: 1, Filler: true, Need: cores(4), Estimate: time.Minute}))
	w.run(renewWait + time.Second) // The first listing with both tasks may arrive this late.
	is.Equal(total(w.runsOf("serving"))+total(w.runsOf("filling")), 2)
	is.Equal(len(w.paces), 0)
	w.servingLatency = 150
	w.run(servingWait + 100*time.Millisecond)
	is.Equal(w.paces, map[cyclamendyke.WorkflowID]int{"filling": 0})
	w.servingLatency = 20
	w.run(resumeDelay - 2*servingWait)
	is.Equal(w.paces["filling"], 0)
	w.run(3 * servingWait)
	is.Equal(w.paces["filling"], paceStep)
	w.run(10 * time.Second)
	is.Equal(w.paces["filling"], fullPace)
	is.Equal(len(w.violations), 0)
}

// TestGangAvoidsOverdueRun lets a run on one of four VMs exceed its estimate by far; a gang that
// needs three whole VMs must take the others, even if tickets last little longer than a request for
// advice takes.
func TestGangAvoidsOverdueRun(t *testing.T) {
	is := is.New(t)
	w := unlimitedFleet(t)
	w.fleet.Queues[0].Advice = &cyclamendyke.AdviceTiming{Base: 570 * time.Millisecond, ValidFor: 1500 * time.Millisecond}
	w.ticketTTL = 1500 * time.Millisecond
	w.elect()
	w.submit(workflow("overdue", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 500 * time.Millisecond}))
	w.run(time.Second)
	is.Equal(w.starts, 1)
	for _, v := range w.vms {
		for _, r := range v.runs {
			r.stopping = true // The run never ends, not even when stopped.
		}
	}
	for i := range 3 { // They fill the other VMs until the gang's first tickets have expired.
		w.submit(workflow(fmt.Sprint("fill-", i), cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: 4 * time.Second}))
	}
	w.run(time.Second)
	is.Equal(w.starts, 4)
	w.submit(workflow("gang", cyclamendyke.Step{Count: 3, Gang: true, Need: cores(16), Estimate: time.Second, MaxPerTarget: 1}))
	w.run(10 * time.Second)
	is.Equal(w.starts, 7)
	is.Equal(len(w.violations), 0)
}
