package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestTasksOnDrainingVMRestartElsewhere drains a VM with a long-running, a checkpointing and a short
// task, and later crashes it; the first two must run on the other VM by then.
func TestTasksOnDrainingVMRestartElsewhere(t *testing.T) {
	is := is.New(t)
	w := limitedFleet(t, 1, 1)
	w.elect()
	w.submit(&cyclamendyke.Workflow{ID: "mixed", Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 1, Need: cores(2), Estimate: time.Second, LongRunning: true},
		{Count: 1, Need: cores(2), Estimate: 20 * time.Second, Checkpoints: true},
		{Count: 1, Need: cores(2), Estimate: time.Second},
	}})
	w.run(500 * time.Millisecond)
	is.Equal(w.starts, 3)
	w.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
	draining := w.vms["vm-0"]
	draining.info.Draining, draining.info.Remaining = true, 4*time.Second
	w.sched.Advance(w.now, w.wall())
	w.sched.UpdateTarget(draining.info)
	w.run(time.Second)
	other := w.vms["other"].runs
	is.True(other[cyclamendyke.TaskName{Workflow: "mixed"}] != nil)          // The long-running task moves at once.
	is.True(other[cyclamendyke.TaskName{Workflow: "mixed", Step: 1}] == nil) // The checkpointing task stays as long as it safely can.
	w.run(3 * time.Second)
	w.crash(draining)
	is.True(other[cyclamendyke.TaskName{Workflow: "mixed", Step: 1}] != nil)
	is.Equal(w.stops, 2)
	is.Equal(len(w.violations), 0)
}
