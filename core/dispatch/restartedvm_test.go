package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestStartInDoubtOnRestartedVMRunsTwice lets a start reach the new incarnation of a VM that is then lost.
func TestStartInDoubtOnRestartedVMRunsTwice(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	sim.faults.loseAnswer = 1
	sim.submit(workflow("job", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 6 * time.Second}))
	v := sim.vms["vm-0"]
	for len(sim.sched.targets["vm-0"].runs) == 0 {
		sim.run(100 * time.Microsecond)
	}
	is.Equal(sim.starts, 0) // The start is on its way.
	sim.crash(v)
	sim.boot(v)
	sim.run(2 * time.Millisecond)
	is.Equal(sim.starts, 1)
	v.unreachable = true
	sim.removeDescription(v)
	sim.faults.loseAnswer = 0
	sim.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
	sim.run(4 * time.Second)
	is.Equal(sim.starts, 1)
	is.Equal(len(sim.violations), 0)
}

// loseRestartedVM restarts vm-0 while a start of the workflow "job" is unanswered, and loses it then.
func loseRestartedVM(t *testing.T) (*simulation, *vm) {
	t.Helper()
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	sim.faults.loseAnswer = 1
	sim.submit(oneTask("job"))
	sim.run(100 * time.Millisecond) // The start is on its way.
	is.New(t).Equal(sim.starts, 1)
	sim.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
	v := sim.vms["vm-0"]
	sim.crash(v)
	sim.boot(v)
	v.unreachable = true
	sim.faults.loseAnswer = 0
	sim.run(2 * time.Second)
	sim.removeDescription(v)
	return sim, v
}

// TestTaskOfLostRestartedVMIsHeldForEver restarts a VM while a start is unanswered and loses it for good.
func TestTaskOfLostRestartedVMIsHeldForEver(t *testing.T) {
	is := is.New(t)
	sim, _ := loseRestartedVM(t)
	sim.run(2 * time.Minute)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(sim.violations), 0)
}

// TestTaskOfReturningRestartedVMIsHeldForEver is TestTaskOfLostRestartedVMIsHeldForEver with the VM back after ten seconds.
func TestTaskOfReturningRestartedVMIsHeldForEver(t *testing.T) {
	is := is.New(t)
	sim, v := loseRestartedVM(t)
	sim.run(10 * time.Second)
	v.unreachable = false
	sim.restoreDescription(v)
	sim.run(2 * time.Minute)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(sim.violations), 0)
}

// TestExpiredTargetThatRestartedCountsAsEmpty sees a new incarnation of a target whose lease has expired here.
func TestExpiredTargetThatRestartedCountsAsEmpty(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.sched.cfg.EarlierRunsEndBy = sim.now + 15*time.Second // As for a predecessor that did not step down.
	sim.run(100 * time.Millisecond)
	v := sim.vms["vm-0"]
	v.unreachable = true
	sim.run(11 * time.Second)
	is.True(sim.sched.targets["vm-0"].expired)
	sim.crash(v)
	sim.boot(v)
	is.True(sim.sched.mayHaveUnlistedRuns(sim.sched.targets["vm-0"])) // An earlier epoch may have started runs since.
}

// TestSchedulerInDoubtStartsOnRestartedVM restarts a VM, which knows no fence then, while a successor may have started the task elsewhere.
func TestSchedulerInDoubtStartsOnRestartedVM(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	sim.crash(sim.vms["vm-0"])
	sim.sched.SetSuccessorPossible(true)
	sim.boot(sim.vms["vm-0"])
	sim.submit(oneTask("job"))
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 0)
	sim.sched.SetSuccessorPossible(false)
	sim.run(5 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	is.Equal(sim.starts, 1)
}

// TestSchedulerInDoubtStartsOnVMThatRestartedUnnoticed restarts a VM while its last answer is a second old and the connection hangs.
func TestSchedulerInDoubtStartsOnVMThatRestartedUnnoticed(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.run(20*time.Second + 200*time.Millisecond) // Runs of earlier epochs are over.
	sched := sim.sched
	for sim.now-sched.targets["vm-0"].answeredAt < time.Second { // It answers every two seconds.
		sim.run(10 * time.Millisecond)
	}
	sched.SetSuccessorPossible(true)
	sim.sched = nil // Its description reaches nobody.
	sim.crash(sim.vms["vm-0"])
	sim.boot(sim.vms["vm-0"])
	sim.sched = sched
	sim.submit(oneTask("job"))
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 0)
	sched.SetSuccessorPossible(false)
	sim.run(5 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
}
