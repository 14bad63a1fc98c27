package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamendyke"
)

// TestInvariantsWithCancellations adds cancellations and gangs to the faults of TestInvariantsUnderFaults.
func TestInvariantsWithCancellations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkInvariantsWithCancellations(t, rt, false) })
}

// TestInvariantsWithCancellationsAndFinalLists lets some elected schedulers ask the last one for its final list.
func TestInvariantsWithCancellationsAndFinalLists(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkInvariantsWithCancellations(t, rt, true) })
}

func checkInvariantsWithCancellations(t *testing.T, rt *rapid.T, hasFinalLists bool) {
	sim := limitedFleet(t, rapid.Uint64().Draw(rt, "seed"), 5)
	sim.fleet.Teams[0].Limit = cores(24)
	sim.stopTime = time.Second
	sim.batchEntries = smallBatch
	sim.leases.areSeen = true
	sim.elect()
	rounds := rapid.IntRange(3, 12).Draw(rt, "rounds")
	for i := range rounds {
		if !sim.storeAway() {
			sim.submit(twoSteps(fmt.Sprint("job-", i)))
			sim.submit(workflow(fmt.Sprint("gang-", i), cyclamendyke.Step{Count: 2, Need: cores(4), Estimate: 3 * time.Second, Gang: true}))
		}
		sim.cancelOne(fmt.Sprint([]string{"job-", "gang-"}[i%2], rapid.IntRange(0, i).Draw(rt, "cancelled")))
		if hasFinalLists {
			sim.drawAsking(rt)
		}
		sim.injectFault(rapid.IntRange(0, 11).Draw(rt, "trouble"))
		sim.run(time.Duration(rapid.IntRange(300, 1500).Draw(rt, "pause")) * time.Millisecond)
	}
	sim.endFaults()
	sim.run(2 * time.Minute)
	for _, violation := range sim.violations {
		rt.Error(violation)
	}
	if states := sim.states(); states[cyclamendyke.WorkflowQueued]+states[cyclamendyke.WorkflowRunning] > 0 {
		rt.Errorf("not all workflows ended: %v\n%s", states, sim.sched.unfinished())
	}
}

// drawAsking draws whether the schedulers elected from now on ask the last one, and how long that takes.
func (sim *simulation) drawAsking(rt *rapid.T) {
	delay := rapid.IntRange(-1, 2).Draw(rt, "delay of the final list")
	sim.asksLast = delay >= 0
	sim.askDelay = time.Duration(max(0, delay)) * time.Second
}

// cancelOne cancels a workflow, unless it was not submitted or the store is away.
func (sim *simulation) cancelOne(id string) {
	if _, isKnown := sim.workflows[cyclamendyke.WorkflowID(id)]; isKnown && !sim.storeAway() {
		sim.sched.Advance(sim.now, sim.wall())
		sim.sched.Cancel(cyclamendyke.WorkflowID(id), func() {})
	}
}
