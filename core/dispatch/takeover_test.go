package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

func cores(n int64) cyclamendyke.Resources {
	return cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(n * 1000)}
}

// simZones are the availability zones of limitedFleet's VMs.
var simZones = []cyclamendyke.ZoneName{"a", "b"}

// limitedFleet returns a simulation of some VMs, one queue with three attempts and one team with a
// limit.
func limitedFleet(t testing.TB, seed uint64, vms int) *simulation {
	sim := newSimulation(t, seed)
	sim.fleet.Services = []cyclamendyke.Service{{Name: "s"}}
	sim.fleet.Queues = []cyclamendyke.Queue{{
		Name: "q", Service: "s", MaxAttempts: 3, CriticalPathFactor: 2, BaseTarget: time.Second,
		Advice: &cyclamendyke.AdviceTiming{Base: 15 * time.Millisecond, ValidFor: 2 * time.Second},
	}}
	sim.fleet.Teams = []cyclamendyke.TeamConfig{{Team: "t", Weight: 1, Limit: cores(40)}}
	for i := range vms {
		sim.addVM(cyclamendyke.Target{
			ID: cyclamendyke.TargetID(fmt.Sprint("vm-", i)), Service: "s", Address: fmt.Sprint("vm-", i), Capacity: cores(16),
			Zone: simZones[i%len(simZones)],
		})
	}
	return sim
}

func twoSteps(id string) *cyclamendyke.Workflow {
	return &cyclamendyke.Workflow{ID: cyclamendyke.WorkflowID(id), Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 3, Need: cores(4), Estimate: 700 * time.Millisecond},
		{Count: 2, Need: cores(6), Estimate: 900 * time.Millisecond, After: []int{0}},
	}}
}

// longStep returns a workflow whose task runs for about as long as a lease lasts.
func longStep(id string) *cyclamendyke.Workflow {
	return &cyclamendyke.Workflow{ID: cyclamendyke.WorkflowID(id), Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 1, Need: cores(4), Estimate: 9 * time.Second},
	}}
}

func (sim *simulation) states() map[cyclamendyke.WorkflowState]int {
	out := map[cyclamendyke.WorkflowState]int{}
	for id := range sim.workflows {
		out[sim.status(id)]++
	}
	return out
}

// TestFinalWorkflowsStayFinal starts a new epoch after all workflows completed; none of their tasks
// may start again.
func TestFinalWorkflowsStayFinal(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 4)
	sim.elect()
	for i := range 5 {
		sim.submit(twoSteps(fmt.Sprint("job-", i)))
	}
	sim.run(20 * time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 5)
	starts := sim.starts
	sim.elect()
	sim.run(20 * time.Second)
	is.Equal(sim.starts, starts)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 5)
	is.Equal(len(sim.violations), 0)
}

// TestNewEpochAdoptsRuns starts a new epoch while tasks run on VMs to which it has granted no
// lease; it must adopt the runs instead of starting or stopping any.
func TestNewEpochAdoptsRuns(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 4)
	sim.elect()
	sim.submit(twoSteps("job"))
	sim.run(300 * time.Millisecond)
	is.Equal(sim.starts, 3)
	sim.elect()
	sim.run(200 * time.Millisecond)
	is.Equal(sim.starts, 3)
	sim.run(10 * time.Second)
	is.Equal(sim.starts, 5)
	is.Equal(sim.stops, 0)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(sim.violations), 0)
}

// TestTaskOnUnreachableVMWaitsForLease makes a VM with a running task unreachable and starts a new
// epoch; the task must start elsewhere when the VM's lease is over, and no sooner. If it may be done by
// then, the VM gets returnTime to come back.
func TestTaskOnUnreachableVMWaitsForLease(t *testing.T) {
	for _, test := range []struct {
		name     string
		estimate time.Duration
		wait     func(*simulation) time.Duration
	}{
		{"works when the lease ends", 30 * time.Second, func(sim *simulation) time.Duration { return lease.Longest(sim.maxLease) }},
		{"may be done before", 9 * time.Second, func(sim *simulation) time.Duration { return lease.Longest(sim.maxLease) + returnTime(sim.bounds()) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := limitedFleet(t, 1, 4)
			sim.elect()
			sim.submit(workflow("long", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: test.estimate}))
			sim.run(2 * time.Second)
			is.Equal(sim.starts, 1)
			for _, v := range sim.vms {
				v.unreachable = len(v.runs) > 0
			}
			sim.elect()
			sim.run(test.wait(sim) - 500*time.Millisecond)
			is.Equal(sim.starts, 1)
			sim.run(time.Second)
			is.Equal(sim.starts, 2)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// smallBatch makes batches of the model as full as those of a larger fleet.
const smallBatch = 4

// The last kinds of fault that injectFault knows, without and with evacuations.
const (
	lastFaultOfTargets = 11
	lastFault          = 12
)

// TestInvariantsUnderFaults injects lost and late answers, crashes, unreachable VMs and takeovers.
// No invariant may be violated, and all workflows must end once the faults have stopped.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkInvariantsUnderFaults(t, rt, lastFaultOfTargets, false) })
}

// TestInvariantsUnderFaultsAndEvacuations injects evacuations of zones as well. It is a test of its own so that
// the recorded failures of the other one are replayed as they were.
func TestInvariantsUnderFaultsAndEvacuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkInvariantsUnderFaults(t, rt, lastFault, false) })
}

// TestInvariantsUnderFaultsWithFinalLists lets some elected schedulers ask the last one for its final list. It is
// a test of its own for the same reason. Without evacuations: a scheduler that goes on without the store does not
// hear of them.
func TestInvariantsUnderFaultsWithFinalLists(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkInvariantsUnderFaults(t, rt, lastFaultOfTargets, true) })
}

// TestInvariantsUnderFaultsWithLateDescriptions lets the descriptions of VMs that boot arrive late, so that they accept
// starts before they are known to have restarted.
func TestInvariantsUnderFaultsWithLateDescriptions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checkInvariantsOf(t, rt, func(sim *simulation) { sim.describeDelay = maxDescribeDelay }, lastFaultOfTargets, false)
	})
}

// maxDescribeDelay is longer than the longest time between two renewals.
const maxDescribeDelay = 3 * time.Second

// checkInvariantsUnderFaults draws a day with faults up to a kind, and with final lists or without.
func checkInvariantsUnderFaults(t *testing.T, rt *rapid.T, lastFault int, hasFinalLists bool) {
	checkInvariantsOf(t, rt, func(*simulation) {}, lastFault, hasFinalLists)
}

// checkInvariantsOf is checkInvariantsUnderFaults for a simulation that is changed before the first election.
func checkInvariantsOf(t *testing.T, rt *rapid.T, change func(*simulation), lastFault int, hasFinalLists bool) {
	seed := rapid.Uint64().Draw(rt, "seed")
	sim := limitedFleet(t, seed, 5)
	change(sim)
	sim.faults = simFaults{
		loseAnswer: rapid.Float64Range(0, 0.2).Draw(rt, "lose"),
		delay:      rapid.Float64Range(0, 0.2).Draw(rt, "late"),
		failRun:    rapid.Float64Range(0, 0.1).Draw(rt, "fail"),
	}
	sim.batchEntries = smallBatch
	sim.leases.areSeen = true
	sim.elect()
	for i := range rapid.IntRange(5, 40).Draw(rt, "rounds") {
		if !sim.storeAway() {
			sim.submit(twoSteps(fmt.Sprint("job-", i)))
		}
		if i%4 == 3 && !sim.storeAway() {
			sim.submit(longStep(fmt.Sprint("long-", i)))
		}
		if hasFinalLists {
			sim.drawAsking(rt)
		}
		if sim.stalls.areDrawn && rapid.Bool().Draw(rt, "stalled") {
			sim.stall(sim.randomTime(simLongestStall))
		}
		sim.injectFault(rapid.IntRange(0, lastFault).Draw(rt, "trouble"))
		sim.run(time.Duration(rapid.IntRange(50, 1500).Draw(rt, "pause")) * time.Millisecond)
	}
	sim.endFaults()
	sim.run(time.Minute)
	for _, violation := range sim.violations {
		rt.Error(violation)
	}
	states := sim.states()
	if states[cyclamendyke.WorkflowCompleted]+states[cyclamendyke.WorkflowFailed] != len(sim.workflows) {
		rt.Errorf("not all workflows completed or failed: %v\n%s", states, sim.sched.unfinished())
	}
}

// TestLongRunningTasksOnLostVMRestartElsewhere removes a VM for good while long-running tasks run on
// it; they must start again on the remaining VMs.
func TestLongRunningTasksOnLostVMRestartElsewhere(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 2)
	sim.elect()
	longRunning := &cyclamendyke.Workflow{ID: "lasting", Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 2, Need: cores(4), Estimate: time.Second, LongRunning: true, MaxPerTarget: 1},
		{Count: 1, Need: cores(4), Estimate: time.Second, LongRunning: true},
	}}
	sim.submit(longRunning)
	sim.run(time.Second)
	is.Equal(sim.starts, 3)
	sim.addVM(cyclamendyke.Target{ID: "spare", Service: "s", Address: "spare", Capacity: cores(16)})
	sim.crash(sim.vms["vm-0"])
	sim.sched.RemoveTargetDescription("vm-0")
	sim.run(12 * time.Second)
	for i := range 2 {
		is.Equal(sim.history[cyclamendyke.TaskName{Workflow: "lasting", Index: i}].running, 1)
	}
	is.Equal(len(sim.violations), 0)
}

// TestTakeoverIgnoresRemovedVM removes a VM before a new epoch starts; a workflow of the earlier
// epoch must not wait for that VM's lease.
func TestTakeoverIgnoresRemovedVM(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 3)
	sim.elect()
	sim.run(time.Second)
	sim.removeDescription(sim.vms["vm-0"])
	sim.run(time.Second)
	sim.crash(sim.vms["vm-0"])
	sim.submit(twoSteps("job"))
	sim.run(100 * time.Millisecond)
	sim.elect()
	sim.run(4 * time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(sim.violations), 0)
}

// TestTaskOnUnlistedRemovedVMWaitsForLease starts a new epoch while a VM is unreachable and then
// removes the VM's description; its task must not start elsewhere before its lease is over, and
// returnTime after it, since it may be done.
func TestTaskOnUnlistedRemovedVMWaitsForLease(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.submit(&cyclamendyke.Workflow{ID: "job", Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 1, Need: cores(4), Estimate: 6 * time.Second},
	}})
	sim.run(500 * time.Millisecond)
	is.Equal(sim.starts, 1)
	sim.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
	sim.vms["vm-0"].unreachable = true
	sim.elect()
	sim.run(500 * time.Millisecond)
	sim.removeDescription(sim.vms["vm-0"])
	sim.run(lease.Longest(sim.maxLease) + returnTime(sim.bounds()) - time.Second)
	is.Equal(sim.starts, 1)
	sim.run(time.Second)
	is.Equal(sim.starts, 2)
	is.Equal(len(sim.violations), 0)
}

// TestDoneOnUnreachableVMIsNotRepeated makes a VM unreachable until a while after its lease has ended. A
// task that was done there meanwhile must not start elsewhere; if another run was killed with the lease,
// it must start, since the end then counts for nothing.
func TestDoneOnUnreachableVMIsNotRepeated(t *testing.T) {
	for _, test := range []struct {
		name       string
		others     *cyclamendyke.Workflow
		wantStarts int
	}{
		{name: "alone", wantStarts: 1},
		{name: "beside a long run", others: workflow("long", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 14 * time.Second}), wantStarts: 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := limitedFleet(t, 1, 1)
			sim.elect()
			if test.others != nil {
				sim.submit(test.others)
			}
			sim.submit(workflow("short", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second}))
			sim.run(500 * time.Millisecond)
			sim.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
			sim.vms["vm-0"].unreachable = true
			sim.run(lease.Longest(sim.maxLease) + 2*time.Second)
			sim.vms["vm-0"].unreachable = false
			sim.run(15 * time.Second)
			is.Equal(sim.starts, test.wantStarts)
			is.Equal(sim.states()[cyclamendyke.WorkflowRunning], 0)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// TestCancelledRunsOnAwayVMAreForgottenAtTakeover cancels a running workflow while its VM is away, and begins the next epoch.
func TestCancelledRunsOnAwayVMAreForgottenAtTakeover(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.fleet.Teams[0].Limit = cores(16)
	sim.elect()
	sim.submit(workflow("a", cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: 30 * time.Second}))
	sim.run(500 * time.Millisecond)
	is.Equal(sim.starts, 1)
	sim.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
	sim.run(100 * time.Millisecond)
	sim.vms["vm-0"].unreachable = true
	stored := false
	is.True(sim.sched.Cancel("a", func() { stored = true }))
	sim.run(time.Second)
	is.True(stored)
	sim.elect()
	sim.run(100 * time.Millisecond)
	sim.submit(workflow("b", cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: time.Second}))
	sim.run(2 * time.Second)
	is.Equal(len(sim.violations), 0)
}

// TestQueriesOfUnfinishedWorkAccumulate waits for the end of a workflow as each query does.
func TestQueriesOfUnfinishedWorkAccumulate(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.submit(oneTask("job"))
	notified := 0
	for range 1000 {
		stop := sim.sched.NotifyFinal("job", func() { notified++ })
		stop()
	}
	is.Equal(len(sim.sched.jobs["job"].onFinal), 0)
	sim.sched.NotifyFinal("job", func() { notified++ })
	sim.run(5 * time.Second)
	is.Equal(notified, 1)
}

// TestRequestToSilentTargetAcknowledgesEnds loses a VM whose ends are acknowledged. It may have restarted, and have other ends
// under the same numbers.
func TestRequestToSilentTargetAcknowledgesEnds(t *testing.T) {
	is := is.New(t)
	sim := runOneTask(t)
	sim.run(time.Second)
	lost := sim.sched.targets["vm-0"]
	is.Equal(sim.sched.renewal(lost, 0).AckedSequence, int64(1))
	sim.crash(sim.vms["vm-0"])
	sim.run(3 * time.Second)
	is.True(lost.renewFailed)
	is.Equal(sim.sched.renewal(lost, 0).AckedSequence, int64(0))
	is.Equal(len(sim.violations), 0)
}
