package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cyclamendyke"
)

// simListedEnds is where the VMs of these tests cut their listings.
const simListedEnds = 5

// manyShortTasks returns a simulation that runs 60 tasks at once on four VMs, each of which cuts its listings.
func manyShortTasks(t *testing.T) *simulation {
	sim := unlimitedFleet(t)
	sim.fleet.Queues[0].Advice = nil
	sim.listedEnds = simListedEnds
	sim.elect()
	sim.run(time.Second)
	sim.submit(workflow("short", cyclamendyke.Step{Count: 60, Need: cores(1), Estimate: 600 * time.Millisecond}))
	sim.run(300 * time.Millisecond)
	return sim
}

// TestEndsBeyondCutListingStartAgainAfterTakeover guards against taking the first page of the ends for all of them.
func TestEndsBeyondCutListingStartAgainAfterTakeover(t *testing.T) {
	is := is.New(t)
	sim := manyShortTasks(t)
	is.Equal(sim.starts, 60)
	sim.sched = nil
	sim.run(time.Second) // All tasks are done while no scheduler is there.
	sim.elect()
	sim.run(10 * time.Second)
	is.Equal(sim.status("short"), cyclamendyke.WorkflowCompleted)
	is.Equal(sim.starts, 60)
	is.Equal(len(sim.violations), 0)
}

// TestEndsBeyondCutListingStartAgainWithSlowStore guards against the same within an epoch, while ends are not acknowledged.
func TestEndsBeyondCutListingStartAgainWithSlowStore(t *testing.T) {
	is := is.New(t)
	sim := manyShortTasks(t)
	sim.writeDelay = func() time.Duration { return 700 * time.Millisecond }
	sim.run(20 * time.Second)
	is.Equal(sim.status("short"), cyclamendyke.WorkflowCompleted)
	is.Equal(sim.starts, 60)
	is.Equal(sim.stops, 0)
	is.Equal(len(sim.violations), 0)
}

// TestTargetLostWithCutListingRunsTwice loses a VM for a while of which a new epoch has seen only the first page of the ends.
func TestTargetLostWithCutListingRunsTwice(t *testing.T) {
	is := is.New(t)
	sim := manyShortTasks(t)
	sim.sched = nil
	sim.run(time.Second)
	sim.storeBackAt = sim.now + 2*time.Second
	sim.elect()
	sim.run(300 * time.Millisecond)
	for _, v := range sim.vms {
		v.unreachable = true
		break
	}
	sim.run(3 * time.Second)
	for _, v := range sim.vms {
		v.unreachable = false
	}
	sim.run(20 * time.Second)
	is.Equal(sim.status("short"), cyclamendyke.WorkflowCompleted)
	is.Equal(sim.starts, 60)
	is.Equal(len(sim.violations), 0)
}

// TestInvariantsWithCutListings has VMs cut their listings after a few ends under all faults of targets.
func TestInvariantsWithCutListings(t *testing.T) {
	for _, withFinalLists := range []bool{false, true} {
		rapid.Check(t, func(rt *rapid.T) {
			checkInvariantsOf(t, rt, func(sim *simulation) { sim.listedEnds = 1 + int(sim.random.Int64N(3)) }, lastFaultOfTargets, withFinalLists)
		})
	}
}
