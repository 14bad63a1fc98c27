package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// runsOf counts the runs of a workflow on each VM.
func (w *world) runsOf(id string) map[cyclamendyke.TargetID]int {
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

// kindFleet returns four VMs of 16 cores, without team limits.
func kindFleet(t *testing.T) *world {
	w := smallFleet(t, 1, 4)
	w.fleet.Teams = nil
	return w
}

func workflow(id string, steps ...cyclamendyke.Step) *cyclamendyke.Workflow {
	return &cyclamendyke.Workflow{ID: cyclamendyke.WorkflowID(id), Team: "t", Queue: "q", Steps: steps}
}

// TestGangWaitsForAllRoom fills three of four VMs; a gang that needs two whole ones must not start a single member before there is room for both, and then starts both at once.
func TestGangWaitsForAllRoom(t *testing.T) {
	is := is.New(t)
	w := kindFleet(t)
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
	is.Equal(len(w.violated), 0)
}

// TestLastingTasksAreRestarted crashes a VM with lasting tasks; they run again elsewhere, and go on for ever.
func TestLastingTasksAreRestarted(t *testing.T) {
	is := is.New(t)
	w := kindFleet(t)
	w.elect()
	w.submit(workflow("watch", cyclamendyke.Step{Count: 4, Lasting: true, Need: cores(4), MaxPerTarget: 1}))
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
	is.Equal(len(w.violated), 0)
}

// TestOccurrencesStartWhenDue repeats a workflow three times, every 2 s from a time ahead; none starts early, and a takeover repeats none.
func TestOccurrencesStartWhenDue(t *testing.T) {
	is := is.New(t)
	w := kindFleet(t)
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
	w.run(450 * time.Millisecond) // 2.9 s after it was handed in.
	is.Equal(w.starts, 1)
	w.run(500 * time.Millisecond)
	is.Equal(w.starts, 2)
	w.run(3 * time.Second)
	is.Equal(w.starts, 3)
	is.Equal(w.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(w.violated), 0)
}

// TestSlowRunGetsACopy lets one run stand far behind its estimate; where copies are allowed, one runs beside it elsewhere, and the step ends with the first of the two.
func TestSlowRunGetsACopy(t *testing.T) {
	is := is.New(t)
	w := kindFleet(t)
	w.elect()
	w.submit(workflow("copied", cyclamendyke.Step{Count: 1, Speculative: true, Need: cores(4), Estimate: 500 * time.Millisecond}))
	w.run(100 * time.Millisecond)
	is.Equal(w.starts, 1)
	for _, v := range w.vms {
		for _, r := range v.runs {
			r.ending = true // It hangs.
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

// TestFillersYieldToServingTasks puts a filler beside a serving task; it is paused while the serving task is over its latency target, and let go step by step when all is calm.
func TestFillersYieldToServingTasks(t *testing.T) {
	is := is.New(t)
	w := smallFleet(t, 1, 1)
	w.fleet.Teams = nil
	w.elect()
	w.submit(workflow("serving", cyclamendyke.Step{Count: 1, Lasting: true, Need: cores(4), LatencyTarget: 100 * time.Millisecond}))
	w.submit(workflow("filling", cyclamendyke.Step{Count: 1, Filler: true, Need: cores(4), Estimate: time.Minute}))
	w.run(renewWait + time.Second) // The first listing with both may be as late as that.
	is.Equal(total(w.runsOf("serving"))+total(w.runsOf("filling")), 2)
	is.Equal(len(w.paces), 0)
	w.tail = 150
	w.run(servingWait + 100*time.Millisecond)
	is.Equal(w.paces, map[cyclamendyke.WorkflowID]int{"filling": 0})
	w.tail = 20
	w.run(calmFor - 2*servingWait)
	is.Equal(w.paces["filling"], 0)
	w.run(3 * servingWait)
	is.Equal(w.paces["filling"], paceStep)
	w.run(10 * time.Second)
	is.Equal(w.paces["filling"], fullPace)
	is.Equal(len(w.violated), 0)
}

// TestGangPassesOverdueRun lets a run go on for far longer than estimated on the first of four VMs; a gang that needs three whole ones must take the others, also where tickets last little longer than a question takes.
func TestGangPassesOverdueRun(t *testing.T) {
	is := is.New(t)
	w := kindFleet(t)
	w.fleet.Queues[0].Advice = &cyclamendyke.AdviceTerms{Base: 570 * time.Millisecond, Valid: 1500 * time.Millisecond}
	w.valid = 1500 * time.Millisecond
	w.elect()
	w.submit(workflow("overdue", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 500 * time.Millisecond}))
	w.run(time.Second)
	is.Equal(w.starts, 1)
	for _, v := range w.vms {
		for _, r := range v.runs {
			r.ending = true // It goes on, and stops do not end it.
		}
	}
	for i := range 3 { // Until the gang's first tickets have expired.
		w.submit(workflow(fmt.Sprint("fill-", i), cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: 4 * time.Second}))
	}
	w.run(time.Second)
	is.Equal(w.starts, 4)
	w.submit(workflow("gang", cyclamendyke.Step{Count: 3, Gang: true, Need: cores(16), Estimate: time.Second, MaxPerTarget: 1}))
	w.run(10 * time.Second)
	is.Equal(w.starts, 7)
	is.Equal(len(w.violated), 0)
}
