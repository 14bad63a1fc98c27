package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// runOnOneVM returns a simulation with one run of a long task, and a listing of its VM that names it.
func runOnOneVM(t *testing.T) (*simulation, cyclamendyke.Listing) {
	t.Helper()
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	sim.submit(workflow("job", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 6 * time.Second}))
	sim.run(time.Second)
	is.New(t).Equal(sim.starts, 1)
	return sim, sim.list(sim.vms["vm-0"])
}

// TestListingOvertakenByLaterOneBringsBackEndedRun passes on a listing after a later one that has the end of its run.
func TestListingOvertakenByLaterOneBringsBackEndedRun(t *testing.T) {
	is := is.New(t)
	sim, listing := runOnOneVM(t)
	sent := sim.now
	sim.run(10 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	sim.submit(workflow("other", cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: time.Second}))
	sim.sched.Renewed(sim.vms["vm-0"].info, true, sent, listing)
	is.Equal(len(sim.sched.targets["vm-0"].runs), 0)
	is.Equal(len(sim.sched.targets["vm-0"].orphans), 0)
}

// TestLateListingBringsBackReplacedTarget passes on a listing after another target has answered at the address of its own.
func TestLateListingBringsBackReplacedTarget(t *testing.T) {
	is := is.New(t)
	sim, listing := runOnOneVM(t)
	info, sent := sim.vms["vm-0"].info, sim.now
	sim.sched.Advance(sim.now+100*time.Millisecond, sim.wall())
	sim.sched.RenewFailed(info, false, cyclamendyke.KindWrongTarget)
	is.True(sim.sched.targets["vm-0"].expired)
	sim.sched.Renewed(info, true, sent, listing)
	is.True(sim.sched.targets["vm-0"].expired)
	is.Equal(len(sim.sched.targets["vm-0"].runs), 0)
}
