package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// TestTasksOnDrainingVMRestartElsewhere drains a VM with a long-running, a checkpointing and a short
// task, and later crashes it; the first two must run on the other VM by then.
func TestTasksOnDrainingVMRestartElsewhere(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.submit(&cyclamendyke.Workflow{ID: "mixed", Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 1, Need: cores(2), Estimate: time.Second, LongRunning: true},
		{Count: 1, Need: cores(2), Estimate: 20 * time.Second, Checkpoints: true},
		{Count: 1, Need: cores(2), Estimate: time.Second},
	}})
	sim.run(500 * time.Millisecond)
	is.Equal(sim.starts, 3)
	sim.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
	draining := sim.vms["vm-0"]
	draining.info.Draining, draining.info.Remaining = true, 4*time.Second
	sim.sched.Advance(sim.now, sim.wall())
	sim.sched.UpdateTarget(draining.info)
	sim.run(time.Second)
	otherRuns := sim.vms["other"].runs
	is.True(otherRuns[cyclamendyke.TaskName{Workflow: "mixed"}] != nil)          // The long-running task moves at once.
	is.True(otherRuns[cyclamendyke.TaskName{Workflow: "mixed", Step: 1}] == nil) // The checkpointing task stays as long as it safely can.
	sim.run(3 * time.Second)
	sim.crash(draining)
	is.True(otherRuns[cyclamendyke.TaskName{Workflow: "mixed", Step: 1}] != nil)
	is.Equal(sim.stops, 2)
	is.Equal(len(sim.violations), 0)
}

// TestTaskOnVMThatLeftStartsTooLate loses a draining VM with a task, in one epoch and around a takeover.
func TestTaskOnVMThatLeftStartsTooLate(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover ", takeover), func(t *testing.T) {
			is := is.New(t)
			sim := runOneTask(t)
			sim.addOtherVM()
			v := sim.vms["vm-0"]
			v.info.Draining = true
			sim.sched.UpdateTarget(v.info)
			sim.run(100 * time.Millisecond)
			sim.crash(v)
			sim.removeDescription(v)
			sim.run(100 * time.Millisecond)
			if takeover {
				sim.elect()
			}
			sim.run(lease.Longest(sim.maxLease) + 2*time.Second)
			is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
			is.Equal(len(sim.violations), 0)
		})
	}
}
