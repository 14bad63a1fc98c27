package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cyclamendyke"
)

// TestInvariantsWithStalledSchedulers keeps schedulers busy for seconds under all faults of targets, while their leases are
// renewed beside them.
func TestInvariantsWithStalledSchedulers(t *testing.T) {
	for _, withFinalLists := range []bool{false, true} {
		rapid.Check(t, func(rt *rapid.T) {
			checkInvariantsOf(t, rt, func(sim *simulation) { sim.stalls.areDrawn = true }, lastFaultOfTargets, withFinalLists)
		})
	}
}

// TestLongRunIsLostWhileSchedulerIsStalled keeps a scheduler busy for longer than leases last, with a task on each of two VMs of
// which one goes away meanwhile: only what ran there starts again.
func TestLongRunIsLostWhileSchedulerIsStalled(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 3)
	sim.stalls.areDrawn = true
	sim.elect()
	sim.submit(&cyclamendyke.Workflow{ID: "lasting", Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 2, Need: cores(8), Estimate: time.Second, LongRunning: true, MaxPerTarget: 1},
	}})
	sim.run(time.Second)
	is.Equal(sim.starts, 2)
	for _, v := range sim.vms {
		if len(v.runs) > 0 {
			sim.after(2*time.Second, func() { sim.crash(v) })
			break
		}
	}
	sim.stall(simLongestStall)
	sim.run(simLongestStall + 3*time.Second)
	is.Equal(sim.starts, 3)
	for i := range 2 {
		is.Equal(sim.history[cyclamendyke.TaskName{Workflow: "lasting", Index: i}].running, 1)
	}
	is.Equal(len(sim.violations), 0)
}
