package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestWorkOnFlappingTargetsIsBlamed crashes single VMs at random moments under work that must complete.
func TestWorkOnFlappingTargetsIsBlamed(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("broken connections, seed ", seed), func(t *testing.T) { flapUnderWork(t, seed, false) })
		t.Run(fmt.Sprint("silence, seed ", seed), func(t *testing.T) { flapUnderWork(t, seed, true) })
	}
}

func flapUnderWork(t *testing.T, seed uint64, silent bool) {
	is := is.New(t)
	sim := limitedFleet(t, seed, 10)
	sim.fleet.Teams = nil
	sim.crashing = crashingTasks{broken: !silent, downFor: time.Second}
	sim.elect()
	sim.run(time.Second)
	sim.submit(workflow("lasting", cyclamendyke.Step{Count: 8, Need: cores(2), LongRunning: true}))
	for i := range 60 {
		if i%4 == 0 {
			sim.submit(workflow(fmt.Sprint("long-", i), cyclamendyke.Step{Count: 6, Need: cores(2), Estimate: 3500 * time.Millisecond}))
			sim.submit(workflow(fmt.Sprint("copied-", i), cyclamendyke.Step{Count: 6, Need: cores(2), Estimate: 600 * time.Millisecond, Speculative: true}))
		}
		sim.load(time.Duration(1+sim.random.IntN(8)) * 100 * time.Millisecond)
		if v := sim.vms[cyclamendyke.TargetID(fmt.Sprint("vm-", sim.random.IntN(3)))]; !v.down {
			sim.crashAndReturn(v)
		}
	}
	sim.run(60 * time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowFailed], 0)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], len(sim.workflows)-1)
	is.Equal(len(sim.violations), 0)
}
