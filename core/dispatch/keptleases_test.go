package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// TestInvariantsWithStalledSchedulers keeps schedulers busy for seconds under all faults of targets, while their leases are
// renewed beside them.
func TestInvariantsWithStalledSchedulers(t *testing.T) {
	for _, withFinalLists := range []bool{false, true} {
		rapid.Check(t, func(rt *rapid.T) {
			checkInvariantsOf(t, rt, func(sim *simulation) { sim.stalls.areDrawn = true }, lastFaultOfTargets, withFinalLists)
		})
	}
}

// TestLongRunIsLostWhileSchedulerIsStalled keeps a scheduler busy for longer than leases last, with a task on each of two VMs of
// which one goes away meanwhile: only what ran there starts again.
func TestLongRunIsLostWhileSchedulerIsStalled(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 3)
	sim.stalls.areDrawn = true
	sim.elect()
	sim.submit(&cyclamendyke.Workflow{ID: "lasting", Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 2, Need: cores(8), Estimate: time.Second, LongRunning: true, MaxPerTarget: 1},
	}})
	sim.run(time.Second)
	is.Equal(sim.starts, 2)
	for _, v := range sim.vms {
		if len(v.runs) > 0 {
			sim.after(2*time.Second, func() { sim.crash(v) })
			break
		}
	}
	sim.stall(simLongestStall)
	sim.run(simLongestStall + 3*time.Second)
	is.Equal(sim.starts, 3)
	for i := range 2 {
		is.Equal(sim.history[cyclamendyke.TaskName{Workflow: "lasting", Index: i}].running, 1)
	}
	is.Equal(len(sim.violations), 0)
}

// TestSchedulerTakesItsOwnSilenceForTargets has a VM that has done a task come back while the scheduler is busy, which ends only
// after the time that such a VM has to come back.
func TestSchedulerTakesItsOwnSilenceForTargets(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 2)
	sim.stalls.areDrawn = true
	lapsed := 0
	sim.logDecision = func(d Decision) {
		if d.Event == EventEnded && d.Reason == string(cyclamendyke.EndLeaseExpired) {
			lapsed++
		}
	}
	sim.elect()
	sim.submit(workflow("w", cyclamendyke.Step{Count: 1, Need: cores(1), Estimate: 500 * time.Millisecond}))
	sim.run(100 * time.Millisecond)
	is.Equal(sim.starts, 1)
	for _, v := range sim.vms {
		v.unreachable = len(v.runs) > 0
	}
	sim.run(lease.Longest(sim.maxLease) + returnTime(sim.bounds()) - 3*time.Second)
	sim.after(time.Second, func() {
		for _, v := range sim.vms {
			v.unreachable = false
		}
	})
	sim.stall(5 * time.Second)
	sim.run(8 * time.Second)
	is.Equal(sim.status("w"), cyclamendyke.WorkflowCompleted)
	is.Equal(lapsed, 0) // Its task would have been free to start again.
	is.Equal(sim.starts, 1)
	is.Equal(len(sim.violations), 0)
}

// TestBusyTimeOfSchedulerCountsAsRunTime has a task end while the scheduler is busy; the step's next task must not be taken to
// work for as long.
func TestBusyTimeOfSchedulerCountsAsRunTime(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.stalls.areDrawn = true
	sim.elect()
	sim.submit(workflow("w", cyclamendyke.Step{Count: 2, Need: cores(10), Estimate: 500 * time.Millisecond}))
	sim.run(100 * time.Millisecond)
	is.Equal(sim.starts, 1)
	sim.stall(8 * time.Second)
	sim.run(8*time.Second + 100*time.Millisecond)
	is.Equal(sim.starts, 2)
	for _, target := range sim.sched.targets {
		for _, r := range target.runs {
			is.True(r.worksUntil() < r.startedAt+500*time.Millisecond)
		}
	}
	sim.run(time.Second)
	is.Equal(sim.status("w"), cyclamendyke.WorkflowCompleted)
}
