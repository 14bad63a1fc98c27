package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// stopWriting makes the store take no batch that the scheduler begins to write from now on.
func (sim *simulation) stopWriting() {
	sim.writeDelay = func() time.Duration { return time.Hour }
}

// resumeWriting undoes stopWriting for the batches that follow.
func (sim *simulation) resumeWriting() {
	sim.writeDelay = func() time.Duration { return simWriteTime }
}

// oneTask returns a workflow of one task that runs for a second.
func oneTask(id string) *cyclamendyke.Workflow {
	return workflow(id, cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second})
}

// runOneTask returns a simulation in which vm-0 runs the task of the workflow "job".
func runOneTask(t *testing.T) *simulation {
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.submit(oneTask("job"))
	sim.run(500 * time.Millisecond)
	return sim
}

// addOtherVM adds a VM with room for further runs.
func (sim *simulation) addOtherVM() {
	sim.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
	sim.run(100 * time.Millisecond)
}

// TestDoneTaskWithUnstoredEndStartsAgainAfterTakeover ends a task on a target that is away at the takeover.
func TestDoneTaskWithUnstoredEndStartsAgainAfterTakeover(t *testing.T) {
	is := is.New(t)
	sim := runOneTask(t)
	sim.addOtherVM()
	sim.stopWriting()
	sim.run(time.Second)
	is.Equal(sim.sched.UnstoredEnds(), 1)
	sim.resumeWriting()
	sim.vms["vm-0"].unreachable = true
	sim.removeDescription(sim.vms["vm-0"])
	sim.run(100 * time.Millisecond)
	sim.elect()
	sim.run(2 * time.Second)
	is.Equal(sim.starts, 1)
	sim.vms["vm-0"].unreachable = false
	sim.restoreDescription(sim.vms["vm-0"])
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 1)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(sim.violations), 0)
}

// TestTargetTakesWorkBeforeItsRecordIsStored adds a target that the next epoch would not know.
func TestTargetTakesWorkBeforeItsRecordIsStored(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 0)
	sim.elect()
	sim.run(time.Second)
	sim.stopWriting()
	sim.addVM(cyclamendyke.Target{ID: "new", Service: "s", Address: "new", Capacity: cores(16)})
	sim.run(100 * time.Millisecond)
	sim.submit(longStep("job"))
	sim.run(time.Second)
	is.Equal(sim.starts, 0)
	sim.resumeWriting()
	sim.elect()
	sim.run(time.Second)
	is.Equal(sim.starts, 1)
}

// TestRecordOfTargetWithUnstoredEndsIsDeleted gives a target up while an end is known but not stored.
func TestRecordOfTargetWithUnstoredEndsIsDeleted(t *testing.T) {
	is := is.New(t)
	sim := runOneTask(t)
	sim.stopWriting()
	sim.run(time.Second)
	is.Equal(sim.sched.UnstoredEnds(), 1)
	sim.resumeWriting()
	sim.vms["vm-0"].unreachable = true
	sim.removeDescription(sim.vms["vm-0"])
	sim.run(3 * sim.maxLease)
	_, stored := sim.storedTargets["vm-0"]
	is.True(stored)
}

// TestTaskOnVMThatRestartedBeforeTakeoverStartsAgain leaves the stored record behind the VM's restart.
func TestTaskOnVMThatRestartedBeforeTakeoverStartsAgain(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.run(time.Second)
	sim.stopWriting()
	sim.crash(sim.vms["vm-0"])
	sim.boot(sim.vms["vm-0"])
	sim.submit(longStep("job"))
	sim.run(time.Second)
	sim.resumeWriting()
	sim.addOtherVM()
	sim.removeDescription(sim.vms["vm-0"])
	sim.vms["vm-0"].unreachable = true
	sim.elect()
	sim.run(100 * time.Millisecond)
	sim.restoreDescription(sim.vms["vm-0"])
	sim.run(2 * time.Second)
	is.Equal(sim.starts, 1)
	sim.vms["vm-0"].unreachable = false
	sim.run(15 * time.Second)
	is.Equal(sim.starts, 1)
	is.Equal(len(sim.violations), 0)
}

// TestDoneTaskStartsAgainWhenItsVMStaysAwayAfterTakeover keeps the VM away for longer than any lease.
func TestDoneTaskStartsAgainWhenItsVMStaysAwayAfterTakeover(t *testing.T) {
	is := is.New(t)
	sim := runOneTask(t)
	sim.addOtherVM()
	sim.vms["vm-0"].unreachable = true
	sim.elect()
	sim.returnAfterLongestLease()
	is.Equal(sim.starts, 1)
	is.Equal(len(sim.violations), 0)
}

// TestDoneTaskOnClosedVMStartsAgainAfterTakeover keeps the VM away for longer than any lease.
func TestDoneTaskOnClosedVMStartsAgainAfterTakeover(t *testing.T) {
	is := is.New(t)
	sim := runOneTask(t)
	sim.addOtherVM()
	v := sim.vms["vm-0"]
	v.unreachable = true
	sim.removeDescription(v)
	sim.run(100 * time.Millisecond)
	sim.elect()
	sim.submit(oneTask("beside"))
	sim.run(lease.Longest(sim.maxLease) + time.Second)
	is.Equal(sim.status("beside"), cyclamendyke.WorkflowCompleted)
	v.unreachable = false
	sim.restoreDescription(v)
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 2)
	is.Equal(len(sim.violations), 0)
}

// TestChangesOfKnownTargetsInFlightCountAsStored asks before the store has taken what it was sent.
func TestChangesOfKnownTargetsInFlightCountAsStored(t *testing.T) {
	is := is.New(t)
	s := New(Config{Epoch: 1})
	s.AddKnownTarget(KnownTarget{Target: cyclamendyke.Target{ID: "a", Address: "a"}}, 0)
	is.True(!s.AllKnownTargetsStored())
	var taken []KnownTargetChange
	s.TakeKnownTargetChanges(func(c KnownTargetChange) bool {
		taken = append(taken, c)
		return true
	})
	is.True(!s.AllKnownTargetsStored())
	s.KnownTargetChangesStored(taken, 1)
	is.True(s.AllKnownTargetsStored())
}

// TestLeaseThatSuccessorRenewsCountsAsOver keeps a VM silent to a scheduler that may have been replaced.
func TestLeaseThatSuccessorRenewsCountsAsOver(t *testing.T) {
	is := is.New(t)
	sim := runOneTask(t)
	sim.addOtherVM()
	sim.vms["vm-0"].unreachable = true
	sim.sched.SetSuccessorPossible(true)
	sim.run(lease.Longest(sim.maxLease) + sim.maxLease + 2*time.Second)
	is.Equal(sim.starts, 1)
	sim.sched.SetSuccessorPossible(false)
	sim.run(time.Second)
	is.Equal(sim.starts, 2)
}
