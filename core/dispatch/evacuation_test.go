package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// runsInZone counts the runs on the VMs of a zone.
func (sim *simulation) runsInZone(zone cyclamendyke.ZoneName) int {
	count := 0
	for _, v := range sim.vms {
		if v.info.Zone == zone {
			count += len(v.runs)
		}
	}
	return count
}

// claimsInZone counts the claims on the VMs of a zone.
func (sim *simulation) claimsInZone(zone cyclamendyke.ZoneName) int {
	count := 0
	for _, t := range sim.sched.targets {
		if t.info.Zone == zone {
			count += len(t.claims)
		}
	}
	return count
}

// recordReasons returns the reasons of the decisions of a kind that the scheduler makes from now on.
func (sim *simulation) recordReasons(event Event) *[]string {
	reasons := &[]string{}
	sim.sched.cfg.LogDecision = func(d Decision) {
		if d.Event == event {
			*reasons = append(*reasons, d.Reason)
		}
	}
	return reasons
}

// TestNothingStartsInEvacuatedZone submits more of each kind of work than the other zone has room for.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	for _, test := range []struct {
		name string
		step cyclamendyke.Step
	}{
		{name: "tasks", step: cyclamendyke.Step{Count: 12, Need: cores(4), Estimate: time.Second}},
		{name: "gang", step: cyclamendyke.Step{Count: 4, Gang: true, Need: cores(8), Estimate: time.Second, MaxPerTarget: 2}},
		{name: "wide tasks that claim room", step: cyclamendyke.Step{Count: 4, Need: cores(16), Estimate: time.Second}},
		{name: "long-running tasks", step: cyclamendyke.Step{Count: 4, Need: cores(4), Estimate: time.Second, LongRunning: true}},
		{name: "speculative tasks", step: cyclamendyke.Step{Count: 8, Need: cores(2), Estimate: 300 * time.Millisecond, Speculative: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := unlimitedFleet(t)
			slow := sim.runTime
			sim.runTime = func(name cyclamendyke.TaskName, v *vm) time.Duration {
				if test.step.Speculative && v.info.ID == "vm-1" {
					return 10 * slow(name, v)
				}
				return slow(name, v)
			}
			sim.elect()
			sim.run(100 * time.Millisecond)
			sim.evacuate("a", 0)
			sim.run(50 * time.Millisecond)
			for i := range 3 {
				sim.submit(workflow(fmt.Sprint("job-", i), test.step))
			}
			for range 40 {
				sim.run(100 * time.Millisecond)
				is.Equal(sim.runsInZone("a"), 0)
			}
			is.True(sim.starts >= min(3*test.step.Count, 8))
			sim.crash(sim.vms["vm-1"]) // What ran there starts again, also in zone b.
			sim.run(13 * time.Second)
			is.Equal(sim.runsInZone("a"), 0)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// TestWorkInEvacuatedZoneGoesOn evacuates a zone, and takes it over, while runs are under way there.
func TestWorkInEvacuatedZoneGoesOn(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	sim.submit(workflow("job",
		cyclamendyke.Step{Count: 16, Need: cores(4), Estimate: 3 * time.Second, Checkpoints: true},
		cyclamendyke.Step{Count: 2, Need: cores(4), Estimate: time.Second, After: []int{0}}))
	sim.run(time.Second)
	is.Equal(sim.runsInZone("a"), 8)
	sim.evacuate("a", 0)
	sim.run(500 * time.Millisecond)
	sim.elect()
	sim.run(500 * time.Millisecond)
	is.Equal(sim.runsInZone("a"), 8)
	sim.run(5 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	is.Equal(sim.stops, 0)
	is.Equal(len(sim.violations), 0)
}

// TestGangGivesUpClaimsInEvacuatedZone lets a gang claim a whole fleet, of which half is then evacuated.
func TestGangGivesUpClaimsInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	sim := gangBehindLongRuns(t)
	is.True(sim.claimsInZone("a") > 0)
	sim.evacuate("a", 0)
	sim.run(200 * time.Millisecond)
	is.Equal(sim.claimsInZone("a"), 0)
	sim.takeBack("a", 0)
	sim.run(10 * time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 3)
	is.Equal(len(sim.violations), 0)
}

// TestPreemptedRoomInEvacuatedZoneIsGivenUp evacuates a zone right after urgent work has preempted runs there:
// it must preempt others elsewhere at once.
func TestPreemptedRoomInEvacuatedZoneIsGivenUp(t *testing.T) {
	is := is.New(t)
	sim := fullOfBatch(t)
	sim.stopTime = 300 * time.Millisecond
	sim.submit(workflow("gang", cyclamendyke.Step{Count: 6, Gang: true, Need: cores(8), Estimate: time.Second}))
	sim.run(200 * time.Millisecond)
	is.True(sim.claimsInZone("a") > 0)
	sim.evacuate("a", 0)
	sim.run(600 * time.Millisecond)
	is.Equal(total(sim.runsOf("gang")), 6)
	is.Equal(len(sim.violations), 0)
}

// TestClaimsBeyondNeedOutliveEvacuation evacuates a zone while an urgent step claims room for more tasks than
// still wait, since a new target has taken some: it must not preempt for a negative number of tasks.
func TestClaimsBeyondNeedOutliveEvacuation(t *testing.T) {
	is := is.New(t)
	sim := urgentAndBatch(t)
	sim.stopTime = time.Second
	for i := range sim.fleet.Queues {
		sim.fleet.Queues[i].Advice = nil // The new target is used without tickets.
	}
	sim.elect()
	for i := range 10 {
		sim.submit(batch(fmt.Sprint("batch-", i), cyclamendyke.Step{Count: 4, Need: cores(4), Estimate: 20 * time.Second, Checkpoints: true}))
	}
	sim.run(time.Second)
	sim.submit(workflow("urgent", cyclamendyke.Step{Count: 6, Need: cores(16), Estimate: time.Second}))
	sim.run(200 * time.Millisecond)
	is.Equal(sim.claimsInZone("a"), 3)
	is.Equal(sim.claimsInZone("b"), 3)
	sim.addVM(cyclamendyke.Target{ID: "new", Service: "s", Address: "new", Zone: "c", Capacity: cores(4 * 16)})
	sim.run(300 * time.Millisecond)
	is.Equal(total(sim.runsOf("urgent")), 4)
	sim.evacuate("a", 0)
	sim.run(20 * time.Second)
	is.Equal(sim.status("urgent"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestHeadroomLeavesOutEvacuatedZone forecasts urgent work and evacuates half of the fleet.
func TestHeadroomLeavesOutEvacuatedZone(t *testing.T) {
	is := is.New(t)
	sim := urgentAndBatch(t)
	sim.elect()
	for i := range 20 {
		sim.submit(workflow(fmt.Sprint("urgent-", i), cyclamendyke.Step{Count: 1, Need: cores(8), Estimate: time.Second}))
		sim.run(300 * time.Millisecond)
	}
	sim.run(2 * time.Second)
	is.Equal(sim.sched.headrooms["s"].free, 20)
	sim.evacuate("a", 0)
	sim.run(100 * time.Millisecond)
	is.Equal(sim.sched.headrooms["s"].free, 10)
	sim.takeBack("a", 0)
	sim.run(100 * time.Millisecond)
	is.Equal(sim.sched.headrooms["s"].free, 20)
}

// TestAllZonesEvacuated evacuates one zone after the other: everything waits, with a reason, and nothing
// fails.
func TestAllZonesEvacuated(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	reasons := sim.recordReasons(EventEvacuation)
	sim.evacuate("a", 0)
	sim.run(100 * time.Millisecond)
	sim.evacuate("b", 0)
	sim.run(100 * time.Millisecond)
	is.Equal(*reasons, []string{"zone a is evacuated", "zone b is evacuated; no target is left, nothing is started"})
	unplaced := sim.recordReasons(EventUnplaced)
	sim.submit(twoSteps("job"))
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 0)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowQueued)
	is.Equal((*unplaced)[len(*unplaced)-1], "targets with room are in evacuated zones")
	is.True(len(*unplaced) <= 2)
	late := sim.recordReasons(EventLate)
	sim.takeBack("a", 0)
	sim.run(5 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	is.Equal(sim.runsInZone("b"), 0)
	is.True(strings.Contains((*late)[0], "evacuated 5s"))
	is.Equal(len(sim.violations), 0)
}

// TestUnknownZoneIsEvacuated evacuates a zone without targets; targets that come there later get nothing.
func TestUnknownZoneIsEvacuated(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	reasons := sim.recordReasons(EventEvacuation)
	sim.evacuate("c", 0)
	sim.run(100 * time.Millisecond)
	is.Equal(*reasons, []string{"zone c is evacuated; no target is in it"})
	sim.addVM(cyclamendyke.Target{ID: "new", Service: "s", Address: "new", Zone: "c", Capacity: cores(16)})
	sim.run(200 * time.Millisecond)
	sim.submit(workflow("job", cyclamendyke.Step{Count: 20, Need: cores(4), Estimate: time.Second}))
	sim.run(5 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestDrainDuringEvacuationMovesNothingThere drains the targets of one zone while the other is evacuated: a
// long-running task must stay as long as it can, and go on once the evacuation is taken back.
func TestDrainDuringEvacuationMovesNothingThere(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 2)
	sim.elect()
	sim.evacuate("b", 0)
	sim.run(100 * time.Millisecond)
	sim.submit(workflow("lasting", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second, LongRunning: true}))
	sim.run(time.Second)
	draining := sim.vms["vm-0"]
	draining.info.Draining, draining.info.Remaining = true, 5*time.Second
	sim.sched.UpdateTarget(draining.info)
	sim.run(3 * time.Second)
	is.Equal(len(draining.runs), 1)
	sim.takeBack("b", 0)
	sim.run(time.Second)
	is.Equal(len(sim.vms["vm-1"].runs), 1)
	is.Equal(len(sim.violations), 0)
}

// TestHeldStartsWaitForZones holds all starts because the evacuated zones are not known.
func TestHeldStartsWaitForZones(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	reasons := sim.recordReasons(EventEvacuation)
	sim.sched.HoldStarts(true)
	sim.submit(twoSteps("job"))
	sim.run(time.Second)
	is.Equal(sim.starts, 0)
	sim.sched.HoldStarts(false)
	sim.run(3 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(*reasons), 2)
}

// TestStartHeldBackFreesItsRoom has members answer that a zone is evacuated of which the scheduler does not
// know yet: the gang must start whole in the other zone.
func TestStartHeldBackFreesItsRoom(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	sim.heldBack = map[cyclamendyke.ZoneName]bool{"a": true}
	sim.submit(workflow("gang", cyclamendyke.Step{Count: 4, Gang: true, Need: cores(8), Estimate: time.Second}))
	sim.run(300 * time.Millisecond)
	sim.evacuate("a", 0)
	sim.run(10 * time.Second)
	is.Equal(sim.status("gang"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestColdTargetsAreFilledLast takes a zone back whose targets are cold: work in haste goes to the others
// while they have room, and run times on cold targets are not learned.
func TestColdTargetsAreFilledLast(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.fleet.Queues[0].CriticalPathFactor, sim.fleet.Queues[0].BaseTarget = 1, 0 // In haste.
	sim.elect()
	for _, id := range []cyclamendyke.TargetID{"vm-0", "vm-2"} {
		info := sim.vms[id].info
		info.ColdFor = 10 * time.Second
		sim.sched.UpdateTarget(info)
	}
	sim.runTime = func(_ cyclamendyke.TaskName, v *vm) time.Duration {
		if v.info.Zone == "a" {
			return 3 * time.Second
		}
		return time.Second
	}
	sim.run(100 * time.Millisecond)
	sim.submit(workflow("warm", cyclamendyke.Step{Count: 8, Need: cores(4), Estimate: time.Second}))
	sim.run(200 * time.Millisecond)
	is.Equal(sim.runsInZone("a"), 0)
	is.Equal(sim.runsInZone("b"), 8)
	sim.submit(workflow("rest", cyclamendyke.Step{Count: 8, Need: cores(4), Estimate: time.Second}))
	sim.run(200 * time.Millisecond)
	is.Equal(sim.runsInZone("a"), 8)
	sim.run(5 * time.Second)
	is.Equal(sim.sched.targets["vm-0"].speed.comparisons, 0)
	is.Equal(len(sim.violations), 0)
}
