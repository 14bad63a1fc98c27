package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// TestRowOfTakeoversProlongsLossOfTarget loses a VM under tasks that last, and then one scheduler after the other. The tasks
// must run again as soon as with a single takeover.
func TestRowOfTakeoversProlongsLossOfTarget(t *testing.T) {
	for takeovers := range 8 {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(takeovers, " takeovers, seed ", seed), func(t *testing.T) {
				is := is.New(t)
				sim := limitedFleet(t, seed, 4)
				sim.leases.areSeen = true
				sim.elect()
				sim.submit(workflow("lasting", cyclamendyke.Step{Count: 4, Need: cores(4), Estimate: time.Second, LongRunning: true}))
				sim.run(3 * time.Second)
				lost := sim.vms["vm-0"]
				for _, v := range sim.vms {
					if len(v.runs) > len(lost.runs) {
						lost = v
					}
				}
				sim.crash(lost)
				lostAt := sim.now
				for range takeovers {
					sim.run(500*time.Millisecond + sim.randomTime(time.Second))
					sim.elect()
				}
				sim.run(lostAt + lease.Longest(sim.maxLease) + lease.Margin + simSightDelay + time.Second - sim.now)
				for i := range 4 {
					is.Equal(sim.history[cyclamendyke.TaskName{Workflow: "lasting", Index: i}].running, 1)
				}
				is.Equal(len(sim.violations), 0)
			})
		}
	}
}

// TestTargetCutOffThroughTakeoversRunsTasksTwice cuts off a VM that goes on working while schedulers follow each other.
func TestTargetCutOffThroughTakeoversRunsTasksTwice(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			sim := limitedFleet(t, seed, 4)
			sim.leases.areSeen = true
			sim.elect()
			sim.submit(workflow("lasting", cyclamendyke.Step{Count: 8, Need: cores(2), Estimate: time.Second, LongRunning: true}))
			sim.run(2*time.Second + sim.randomTime(2*time.Second))
			for range 3 {
				v := sim.vms[cyclamendyke.TargetID(fmt.Sprint("vm-", sim.random.IntN(4)))]
				v.unreachable = true
				sim.after(sim.randomTime(15*time.Second), func() { v.unreachable = false })
				for range sim.random.IntN(4) {
					sim.run(sim.randomTime(3 * time.Second))
					sim.whenStoreIsBack(sim.elect)
				}
				if sim.random.IntN(3) == 0 {
					sim.storeBackAt = sim.now + sim.randomTime(6*time.Second)
				}
				sim.run(sim.randomTime(8 * time.Second))
			}
			sim.endFaults()
			sim.run(20 * time.Second)
			for i := range 8 {
				is.Equal(sim.history[cyclamendyke.TaskName{Workflow: "lasting", Index: i}].running, 1)
			}
			is.Equal(len(sim.violations), 0)
		})
	}
}
