package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamendyke"
)

// fullFleet returns a simulation of VMs of different sizes that do not guard their capacity, with urgent work and batch
// work that always wait for room, so that each mistake about the room of a VM shows as a start that exceeds it.
func fullFleet(t *testing.T, seed uint64) *simulation {
	sim := limitedFleet(t, seed, 4)
	sim.fleet.Teams = nil
	sim.fleet.Queues[0].CriticalPathFactor, sim.fleet.Queues[0].BaseTarget = 1.5, 250*time.Millisecond
	batch := sim.fleet.Queues[0]
	batch.Name, batch.Priority, batch.CriticalPathFactor = "batch", 2, 20
	sim.fleet.Queues = append(sim.fleet.Queues, batch)
	sim.stopTime = 400 * time.Millisecond
	sim.batchEntries = smallBatch
	return sim
}

// submitMix submits work of each kind.
func (sim *simulation) submitMix(round int) {
	id := func(kind string) string { return fmt.Sprint(kind, "-", round) }
	sim.submit(workflow(id("copied"), cyclamendyke.Step{Count: 4, Need: cores(4), Estimate: 600 * time.Millisecond, Speculative: true}))
	sim.submit(twoSteps(id("urgent")))
	sim.submit(batch(id("batch"), cyclamendyke.Step{Count: 5, Need: cores(3), Estimate: 3 * time.Second, Checkpoints: true}))
	switch round % 4 {
	case 1:
		sim.submit(batch(id("gang"), cyclamendyke.Step{Count: 2, Need: cores(8), Estimate: 2 * time.Second, Gang: true, Checkpoints: true}))
	case 3:
		sim.submit(batch(id("lasting"), cyclamendyke.Step{Count: 2, Need: cores(4), Estimate: time.Second, LongRunning: true}))
	}
}

// checkRoomUnderFaults draws a day on which VMs are full, messages are slow, lost and late, work is cancelled and faults of
// targets and takeovers happen; change changes the simulation before the first election.
func checkRoomUnderFaults(t *testing.T, rt *rapid.T, change func(*simulation), hasFinalLists bool) {
	sim := fullFleet(t, rapid.Uint64().Draw(rt, "seed"))
	change(sim)
	sim.faults = simFaults{
		loseAnswer: rapid.Float64Range(0, 0.1).Draw(rt, "lose"),
		delay:      rapid.Float64Range(0, 0.1).Draw(rt, "late"),
		failRun:    rapid.Float64Range(0, 0.1).Draw(rt, "fail"),
		refuse:     rapid.Float64Range(0, 0.2).Draw(rt, "refuse"),
		slow:       rapid.Float64Range(0, 0.5).Draw(rt, "slow"),
	}
	sim.elect()
	for round := range rapid.IntRange(4, 16).Draw(rt, "rounds") {
		if !sim.storeAway() {
			sim.submitMix(round)
		}
		kind := rapid.SampledFrom([]string{"copied-", "urgent-", "batch-", "gang-", "lasting-"}).Draw(rt, "kind")
		sim.cancelOne(fmt.Sprint(kind, rapid.IntRange(0, round).Draw(rt, "cancelled")))
		if hasFinalLists {
			sim.drawAsking(rt)
		}
		sim.injectFault(rapid.IntRange(0, lastFaultOfTargets).Draw(rt, "trouble"))
		sim.run(time.Duration(rapid.IntRange(100, 1500).Draw(rt, "pause")) * time.Millisecond)
	}
	sim.endFaults()
	sim.run(20 * time.Second)
	for _, violation := range sim.violations {
		if sim.ordersOutlive && !strings.HasSuffix(violation, overfullViolation) {
			continue // Nothing keeps an order from a new incarnation that has not been asked yet.
		}
		rt.Error(violation)
	}
}

// TestFullTargetIsGivenMoreThanItsRoom lets messages overtake each other, beside all faults of targets and takeovers.
func TestFullTargetIsGivenMoreThanItsRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkRoomUnderFaults(t, rt, func(*simulation) {}, false) })
}

// TestRestartedTargetIsGivenMoreThanItsRoom lets the descriptions of VMs that boot arrive late as well.
func TestRestartedTargetIsGivenMoreThanItsRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checkRoomUnderFaults(t, rt, func(sim *simulation) { sim.describeDelay = maxDescribeDelay }, false)
	})
}

// TestTargetIsGivenMoreThanItsRoomAfterTakeover lets elected schedulers ask the last one for its final list, or not.
func TestTargetIsGivenMoreThanItsRoomAfterTakeover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkRoomUnderFaults(t, rt, func(*simulation) {}, true) })
}

// TestLateOrdersFillRestartedTargets lets late orders reach the next incarnations of their VMs, and checks nothing but room.
func TestLateOrdersFillRestartedTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checkRoomUnderFaults(t, rt, func(sim *simulation) { sim.ordersOutlive = true }, true)
	})
}
