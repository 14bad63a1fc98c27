package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestLateOrderFillsRestartedTarget lets a start that was stopped reach the next incarnation of a VM, which is full by then.
func TestLateOrderFillsRestartedTarget(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.ordersOutlive = true
	sim.fleet.Queues[0].Advice = nil // A ticket would lapse.
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	sim.faults.delay = 1
	sim.submit(workflow("late", cyclamendyke.Step{Count: 1, Need: cores(8), Estimate: 300 * time.Millisecond}))
	for len(sim.sched.targets["vm-0"].runs) == 0 {
		sim.run(time.Millisecond)
	}
	sim.faults.delay = 0
	sim.sched.startRepeatTokens = 0 // So that nothing starts it before the stop.
	is.True(sim.sched.Cancel("late", func() {}))
	sim.run(time.Second)
	is.Equal(len(sim.sched.targets["vm-0"].runs), 0)
	v := sim.vms["vm-0"]
	sim.crash(v)
	sim.boot(v)
	sim.submit(workflow("next", cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: 15 * time.Second}))
	sim.run(30 * time.Second)
	is.Equal(sim.starts, 1) // That of the next workflow.
	is.Equal(sim.status("next"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}
