package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// runAndLose runs workflows on vm-0, adds another VM and begins the next epoch with vm-0 away.
func runAndLose(t *testing.T, workflows ...*cyclamendyke.Workflow) *simulation {
	t.Helper()
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	for _, w := range workflows {
		sim.submit(w)
	}
	sim.run(500 * time.Millisecond)
	sim.addOtherVM()
	sim.vms["vm-0"].unreachable = true
	sim.elect()
	return sim
}

// wholeVM returns a workflow whose only task needs a whole VM.
func wholeVM(id string, estimate time.Duration) *cyclamendyke.Workflow {
	return workflow(id, cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: estimate})
}

// returnAfterLongestLease brings the first VM back after any lease has ended, and lets what follows from it happen.
func (sim *simulation) returnAfterLongestLease() {
	sim.run(lease.Longest(sim.maxLease) + time.Second)
	sim.vms["vm-0"].unreachable = false
	sim.run(5 * time.Second)
}

// TestTakeoverFromVersionWithoutRunList finds no list, as during a roll-out, and waits for the lease and a while for the ends that
// only the VM may know.
func TestTakeoverFromVersionWithoutRunList(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.submit(longStep("job"))
	sim.run(500 * time.Millisecond)
	sim.addOtherVM()
	sim.vms["vm-0"].unreachable = true
	sim.storedRuns = nil
	sim.elect()
	sim.run(lease.Longest(sim.maxLease) + unlistedReturnTime(sim.bounds()) - time.Second)
	is.Equal(sim.starts, 1)
	sim.run(2 * time.Second)
	is.Equal(sim.starts, 2)
	is.True(sim.sched.AddRunList([]byte("no list")) != nil)
}

// TestRunListIsCarriedOver begins a third epoch that reads what the second, which never reached the VM, stored.
func TestRunListIsCarriedOver(t *testing.T) {
	is := is.New(t)
	sim := runAndLose(t, oneTask("job"))
	sim.submit(oneTask("beside")) // So that the list changes.
	sim.run(3 * time.Second)
	sim.elect()
	sim.returnAfterLongestLease()
	is.Equal(sim.starts, 2)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 2)
	is.Equal(len(sim.violations), 0)
}

// TestRunsOfRestartedVMAreIgnored restarts the VM after its runs were stored, so that none can be done there.
func TestRunsOfRestartedVMAreIgnored(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.submit(longStep("job"))
	sim.run(500 * time.Millisecond)
	sim.addOtherVM()
	sim.stopWriting()
	sim.vms["vm-0"].unreachable = true
	sim.crash(sim.vms["vm-0"])
	sim.boot(sim.vms["vm-0"])
	sim.resumeWriting()
	sim.elect()
	sim.run(lease.Longest(sim.maxLease) + time.Second)
	is.Equal(sim.starts, 2)
	is.Equal(len(sim.violations), 0)
}

// TestUnstoredEndIsInRunList stores the list of runs after an end, and the progress never.
func TestUnstoredEndIsInRunList(t *testing.T) {
	is := is.New(t)
	sim := runOneTask(t)
	sim.addOtherVM()
	sim.batchEntries = 1 // Room for the list alone.
	sim.run(time.Second)
	is.Equal(sim.sched.UnstoredEnds(), 1)
	sim.vms["vm-0"].unreachable = true
	sim.elect()
	sim.returnAfterLongestLease()
	is.Equal(sim.starts, 1)
	is.Equal(len(sim.violations), 0)
}

// TestGangOnAwayVMsWaitsForTheirEnds lets a gang end on VMs that are back after their leases.
func TestGangOnAwayVMsWaitsForTheirEnds(t *testing.T) {
	is := is.New(t)
	sim := runAndLose(t, workflow("gang", cyclamendyke.Step{Count: 2, Need: cores(4), Estimate: time.Second, Gang: true}))
	is.Equal(sim.starts, 2)
	sim.returnAfterLongestLease()
	is.Equal(sim.starts, 2)
	is.Equal(sim.status("gang"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestLongRunningTaskOnAwayVMWaitsForLeaseAlone runs it beside a task that may be done; the end of the lease
// ends both for certain.
func TestLongRunningTaskOnAwayVMWaitsForLeaseAlone(t *testing.T) {
	is := is.New(t)
	sim := runAndLose(t,
		workflow("lasting", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second, LongRunning: true}), oneTask("short"))
	is.Equal(sim.starts, 2)
	sim.run(lease.Longest(sim.maxLease) - time.Second)
	is.Equal(sim.starts, 2)
	sim.run(2 * time.Second)
	is.Equal(sim.starts, 4)
	sim.vms["vm-0"].unreachable = false
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 4)
	is.Equal(len(sim.violations), 0)
}

// TestWorkflowCancelledAroundTakeover cancels a workflow whose VM is away; its run counts until it has ended.
func TestWorkflowCancelledAroundTakeover(t *testing.T) {
	for _, test := range []struct {
		name                         string
		before, hasList, vmComesBack bool
	}{
		{name: "before, lease ends", before: true, hasList: true},
		{name: "before, VM comes back and stops it slowly", before: true, hasList: true, vmComesBack: true},
		{name: "after, lease ends", hasList: true},
		{name: "after, VM comes back and stops it slowly", hasList: true, vmComesBack: true},
		{name: "after, its start is not stored", vmComesBack: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := limitedFleet(t, 1, 1)
			sim.fleet.Teams[0].Limit = cores(16)
			sim.stopTime = 3 * time.Second
			sim.elect()
			sim.submit(wholeVM("a", time.Minute))
			sim.run(500 * time.Millisecond)
			sim.addOtherVM()
			sim.vms["vm-0"].unreachable = true
			cancel := func() {
				is.True(sim.sched.Cancel("a", func() {}))
				sim.run(time.Second)
			}
			if test.before {
				cancel()
			}
			if !test.hasList {
				sim.storedRuns = nil
			}
			sim.elect()
			if !test.before {
				cancel()
			}
			sim.submit(wholeVM("b", time.Second))
			sim.run(time.Second)
			is.Equal(sim.starts, 1)
			sim.vms["vm-0"].unreachable = !test.vmComesBack
			sim.run(2 * time.Second)
			is.Equal(sim.starts, 1)
			sim.run(lease.Longest(sim.maxLease))
			is.Equal(sim.status("b"), cyclamendyke.WorkflowCompleted)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// TestRunOfEndedWorkflowOnClosedVMCounts closes a VM that is still stopping a run of a cancelled workflow, and
// begins the third epoch.
func TestRunOfEndedWorkflowOnClosedVMCounts(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.fleet.Teams[0].Limit = cores(16)
	sim.stopTime = 5 * time.Second
	sim.elect()
	sim.submit(wholeVM("a", time.Minute))
	sim.run(500 * time.Millisecond)
	sim.addOtherVM()
	v := sim.vms["vm-0"]
	v.unreachable = true
	is.True(sim.sched.Cancel("a", func() {}))
	sim.run(time.Second)
	v.unreachable = false
	sim.elect()
	sim.run(time.Second)
	is.Equal(len(sim.sched.targets["vm-0"].orphans), 1)
	sim.removeDescription(v)
	v.unreachable = true
	sim.run(time.Second)
	is.True(sim.storedTargets["vm-0"].known.Closed)
	sim.elect()
	sim.submit(wholeVM("b", time.Second))
	sim.run(2 * time.Second)
	is.Equal(sim.starts, 1)
	sim.run(lease.Longest(sim.maxLease))
	is.Equal(sim.status("b"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestInheritedTaskIsHeldWhileSuccessorIsPossible keeps a VM away from a scheduler that may have been replaced;
// its successor may have renewed the VM's lease.
func TestInheritedTaskIsHeldWhileSuccessorIsPossible(t *testing.T) {
	is := is.New(t)
	sim := runAndLose(t, longStep("job"))
	sim.sched.SetSuccessorPossible(true)
	sim.run(lease.Longest(sim.maxLease) + sim.maxLease + 2*time.Second)
	is.Equal(sim.starts, 1)
	sim.sched.SetSuccessorPossible(false)
	sim.run(time.Second)
	is.Equal(sim.starts, 2)
}

// TestIdleFleetWritesNoRunList counts the batches of a fleet on which nothing begins or ends.
func TestIdleFleetWritesNoRunList(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 2)
	sim.elect()
	sim.submit(workflow("lasting", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second, LongRunning: true}))
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 1)
	before := sim.batches
	sim.run(time.Minute)
	is.Equal(sim.batches, before)
}

// TestOwnRecordReplacesOldListOfKnownTargets finds a target in the list that earlier versions stored, and in a
// record of its own, which is newer.
func TestOwnRecordReplacesOldListOfKnownTargets(t *testing.T) {
	info := cyclamendyke.Target{ID: "a", Address: "a"}
	open, closed := KnownTarget{Target: info}, KnownTarget{Target: info, Closed: true, Tasks: []string{"job.0.0.0"}}
	for _, test := range []struct {
		name       string
		old, own   KnownTarget
		wantClosed bool
		wantRuns   int
	}{
		{"closed, then open again", closed, open, false, 0},
		{"open, then closed", open, closed, true, 1},
		{"closed all along", closed, closed, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := New(Config{Epoch: 2})
			s.UpdateTarget(info)
			s.AddKnownTarget(test.old, 0)
			s.AddKnownTarget(test.own, 1)
			is.Equal(s.targets["a"].closed, test.wantClosed)
			is.Equal(s.targets["a"].earlierRunsComplete, test.wantClosed)
			is.Equal(len(s.targets["a"].earlierRuns), test.wantRuns)
		})
	}
}

// TestOlderConfigurationIsIgnored applies versions in the wrong order, as a term that begins may.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	s := New(Config{Epoch: 1})
	for _, version := range []int64{8, 7} {
		s.Configure(&cyclamendyke.FleetConfig{Version: version, Teams: []cyclamendyke.TeamConfig{{Team: "t", Limit: cores(version)}}})
	}
	is.Equal(s.team("t").config.Limit, cores(8))
}
