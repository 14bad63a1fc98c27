package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestReservedWorkStartsAtTakeover stores work while the scheduler is gone and a VM is silent, once reserved for the
// next scheduler and once not. Only what may run on the silent VM may wait for it.
func TestReservedWorkStartsAtTakeover(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	sim.vms["vm-0"].unreachable = true
	for id, afterEpoch := range map[string]uint64{"reserved": sim.epoch, "other": 0} {
		spec := workflow(id, cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second})
		spec.AcceptedAt, spec.AfterEpoch = sim.wall(), afterEpoch
		sim.revision++
		sim.workflows[spec.ID] = storedWorkflow{spec, sim.revision}
	}
	sim.elect()
	sim.run(1200 * time.Millisecond)
	is.Equal(sim.status("reserved"), cyclamendyke.WorkflowCompleted)
	is.Equal(sim.status("other"), cyclamendyke.WorkflowQueued)
	sim.run(20 * time.Second)
	is.Equal(sim.status("other"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestReservationHoldsForOneEpoch makes another epoch begin after the one for which work was reserved, which may have
// started it.
func TestReservationHoldsForOneEpoch(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	for range 3 {
		sim.elect()
	}
	elected := sim.sched.cfg.ElectedRevision
	is.True(!sim.sched.mayBeStarted(&cyclamendyke.Workflow{AfterEpoch: sim.epoch - 1}, elected))
	is.True(sim.sched.mayBeStarted(&cyclamendyke.Workflow{AfterEpoch: sim.epoch - 2}, elected))
	is.True(sim.sched.mayBeStarted(&cyclamendyke.Workflow{}, elected))
	is.True(!sim.sched.mayBeStarted(&cyclamendyke.Workflow{}, elected+1))
}
