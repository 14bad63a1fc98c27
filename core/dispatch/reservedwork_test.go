package dispatch

import (
	"fmt"
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
	sim.storeReserved("reserved", sim.epoch)
	sim.storeReserved("other", 0)
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

// TestReservedWorkRunsOnce takes over again and again while VMs are away at random, each time after work was stored
// that is reserved for the next epoch.
func TestReservedWorkRunsOnce(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			sim := limitedFleet(t, seed, 6)
			sim.fleet.Teams = nil
			sim.elect()
			sim.faults = simFaults{loseAnswer: 0.05, delay: 0.05}
			for i := range 30 {
				sim.submit(workflow(fmt.Sprint("known-", i), cyclamendyke.Step{Count: 3, Need: cores(4), Estimate: time.Second}))
				sim.run(sim.randomTime(2 * time.Second))
				v := sim.vms[cyclamendyke.TargetID(fmt.Sprint("vm-", sim.random.IntN(6)))]
				v.unreachable = true
				sim.after(sim.randomTime(12*time.Second), func() { v.unreachable = false })
				if i%3 == 0 {
					sim.storeReserved(fmt.Sprint("reserved-", i), sim.epoch)
					sim.elect()
				}
			}
			sim.endFaults()
			sim.run(40 * time.Second)
			is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], len(sim.workflows))
			is.Equal(len(sim.violations), 0)
		})
	}
}

// storeReserved stores work that no scheduler up to an epoch may start, and of which the present one does not hear.
func (sim *simulation) storeReserved(id string, afterEpoch uint64) {
	spec := workflow(id, cyclamendyke.Step{Count: 2, Need: cores(4), Estimate: time.Second})
	spec.AcceptedAt, spec.AfterEpoch = sim.wall(), afterEpoch
	sim.revision++
	sim.workflows[spec.ID] = storedWorkflow{spec, sim.revision}
}
