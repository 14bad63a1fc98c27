package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// slowVMFleet returns a simulation of eight VMs with room for four look-ups each, of which some take six times as long
// as usual, without anything that was learnt.
func slowVMFleet(t *testing.T, slow int) *simulation {
	t.Helper()
	sim := limitedFleet(t, 1, 8)
	sim.fleet.Teams = nil
	sim.runTime = func(name cyclamendyke.TaskName, v *vm) time.Duration {
		work := sim.workflows[name.Workflow].spec.Steps[name.Step].Estimate
		for i := range slow {
			if v.info.ID == cyclamendyke.TargetID(fmt.Sprint("vm-", i)) {
				return 6 * work
			}
		}
		return work
	}
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	return sim
}

func (sim *simulation) submitLookups(name string, count int) {
	for i := range count {
		sim.submit(workflow(fmt.Sprint(name, i), cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second}))
	}
}

// TestLookupsLeaveSlowVM submits look-ups of one second, of which some begin on a VM that has become slow. None of
// them may take three seconds, and later ones must not begin there.
func TestLookupsLeaveSlowVM(t *testing.T) {
	is := is.New(t)
	sim := slowVMFleet(t, 1)
	sim.submitLookups("before-", 24)
	sim.run(10 * time.Second)
	sim.submitLookups("first-", 8)
	sim.run(1800 * time.Millisecond)
	sim.submitLookups("second-", 8)
	sim.run(1200 * time.Millisecond)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 40)
	is.Equal(len(sim.violations), 0)
}

// TestLookupsStayOnSlowFleet checks that nothing is stopped and all targets are used if the estimates are wrong.
func TestLookupsStayOnSlowFleet(t *testing.T) {
	is := is.New(t)
	sim := slowVMFleet(t, 8)
	sim.submitLookups("first-", 24)
	sim.run(3 * time.Second)
	sim.submitLookups("second-", 8)
	sim.run(7 * time.Second)
	is.Equal(sim.stops, 0)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 32)
	is.Equal(len(sim.violations), 0)
}
