package dispatch

import (
	"fmt"
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
	sim.announce(sim.vms["vm-0"])
	sim.run(5 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
}

// rebootUnnoticed restarts a VM; its description reaches the scheduler only when announce is called.
func (sim *simulation) rebootUnnoticed(v *vm) {
	sched := sim.sched
	sim.sched = nil
	sim.crash(v)
	sim.boot(v)
	sim.sched = sched
}

// awaitPoll waits until a renewal that waits for a run to end has just begun.
func (sim *simulation) awaitPoll(id cyclamendyke.TargetID) {
	target := sim.sched.targets[id]
	for sim.vms[id].pendingReply == nil || sim.now-target.renewalSentAt > 50*time.Millisecond {
		sim.run(time.Millisecond)
	}
}

// announce tells the scheduler of a VM's description.
func (sim *simulation) announce(v *vm) {
	sim.sched.Advance(sim.now, sim.wall())
	sim.sched.UpdateTarget(v.info)
}

// TestRunOfNewIncarnationIsStartedElsewhere lets a VM accept a start after it has restarted and before that is known.
func TestRunOfNewIncarnationIsStartedElsewhere(t *testing.T) {
	for _, test := range []struct {
		name     string
		announce time.Duration // From the start until the description arrives.
	}{
		{"description while the start is on its way", time.Millisecond / 2},
		{"description with the answer", 2 * time.Millisecond},
		{"description later", 300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := limitedFleet(t, 1, 1)
			sim.elect()
			sim.run(20 * time.Second) // Runs of earlier epochs are over.
			v := sim.vms["vm-0"]
			sim.awaitPoll("vm-0") // So that no renewal finds the new incarnation.
			sim.rebootUnnoticed(v)
			sim.submit(workflow("job", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 6 * time.Second}))
			for len(sim.sched.targets["vm-0"].runs) == 0 {
				sim.run(100 * time.Microsecond)
			}
			sim.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
			sim.run(test.announce)
			sim.announce(v)
			sim.run(20 * time.Second)
			is.Equal(sim.starts, 1)
			is.Equal(sim.stops, 0)
			is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// TestTaskOfRestartedVMWaits restarts a VM on which a task runs; the task must start again as soon as the VM is back.
func TestTaskOfRestartedVMWaits(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	sim.submit(workflow("job", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 6 * time.Second}))
	sim.run(time.Second)
	is.Equal(sim.starts, 1)
	sim.awaitPoll("vm-0")
	v := sim.vms["vm-0"]
	sim.rebootUnnoticed(v)
	sim.announce(v)
	sim.run(200 * time.Millisecond)
	is.Equal(sim.starts, 2)
	is.Equal(len(sim.violations), 0)
}

// TestDescriptionOfAnotherWriterEndsRuns describes a VM as restarted although it is not.
func TestDescriptionOfAnotherWriterEndsRuns(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 2)
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	sim.submit(workflow("job", cyclamendyke.Step{Count: 8, Need: cores(4), Estimate: 6 * time.Second}))
	sim.run(time.Second)
	is.Equal(sim.starts, 8)
	for _, v := range sim.vms {
		info := v.info
		info.StartedMillis += 1000
		sim.sched.Advance(sim.now, sim.wall())
		sim.sched.UpdateTarget(info)
	}
	sim.run(30 * time.Second)
	is.Equal(sim.starts, 8)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestSmallerIncarnationIsGivenRoomOfTheOneBefore restarts a VM with less room, whose description comes after its listing.
func TestSmallerIncarnationIsGivenRoomOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	v := sim.vms["vm-0"]
	sim.rebootUnnoticed(v)
	v.info.Capacity = cores(4)
	sim.run(3 * time.Second) // A listing shows the restart.
	is.True(sim.sched.targets["vm-0"].info.StartedMillis == v.info.StartedMillis)
	sim.submit(workflow("job", cyclamendyke.Step{Count: 2, Need: cores(4), Estimate: time.Second}))
	sim.run(time.Second)
	is.Equal(len(sim.violations), 0)
	is.Equal(sim.starts, 0)
	sim.announce(v)
	sim.run(3 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestEndOfNewIncarnationIsForgotten guards against acknowledging to an incarnation that restarted unnoticed what the one before had
// listed: the task whose end it forgets would run twice.
func TestEndOfNewIncarnationIsForgotten(t *testing.T) {
	for _, loseAnswer := range []bool{false, true} {
		t.Run(fmt.Sprint("answer lost ", loseAnswer), func(t *testing.T) {
			is := is.New(t)
			sim := limitedFleet(t, 1, 1)
			sim.fleet.Queues[0].Advice = nil
			sim.elect()
			sim.run(20 * time.Second) // Runs of earlier epochs are over.
			sim.submit(workflow("before", cyclamendyke.Step{Count: 8, Need: cores(2), Estimate: 50 * time.Millisecond}))
			sim.run(5 * time.Second)
			sim.awaitPoll("vm-0")
			sim.run(5 * simLatency) // The renewal waits at the VM.
			sim.rebootUnnoticed(sim.vms["vm-0"])
			if loseAnswer {
				sim.faults.loseAnswer = 1
			}
			sim.submit(workflow("job", cyclamendyke.Step{Count: 1, Need: cores(2), Estimate: 30 * time.Millisecond}))
			for len(sim.sched.targets["vm-0"].runs) == 0 {
				sim.run(100 * time.Microsecond)
			}
			sim.run(60 * time.Millisecond) // It is done.
			sim.faults.loseAnswer = 0
			for range 20 {
				sim.sched.requestListing(sim.sched.targets["vm-0"])
				sim.run(simTick)
			}
			sim.run(20 * time.Second)
			is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
			is.Equal(sim.starts, 8+1)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// TestAcknowledgementWaitsForEverBehindStarts keeps a VM busy with short tasks, so that a start is on its way at nearly any time.
func TestAcknowledgementWaitsForEverBehindStarts(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.fleet.Queues[0].Advice, sim.fleet.Teams = nil, nil
	sim.elect()
	sim.submit(workflow("short", cyclamendyke.Step{Count: 5000, Need: cyclamendyke.Resources{Cores: 250}, Estimate: 20 * time.Millisecond}))
	sim.run(time.Second)
	held, most := 0, 0
	for range 300 {
		sim.run(10 * time.Millisecond)
		held = max(held, len(sim.vms["vm-0"].ends))
		if target := sim.sched.targets["vm-0"]; target.ackHeldSince != 0 {
			most = max(most, int((sim.now - target.ackHeldSince).Milliseconds()))
		}
	}
	is.True(sim.starts > 1000)
	is.True(held < 500)
	is.True(most < 500)
	is.Equal(len(sim.violations), 0)
}
