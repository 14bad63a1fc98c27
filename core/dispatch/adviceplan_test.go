package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// scarceAdvice returns a simulation whose members need most of their time for requests of batch work.
func scarceAdvice(t *testing.T) *simulation {
	sim := limitedFleet(t, 1, 40)
	sim.fleet.Teams = nil
	sim.members = 4
	sim.fleet.Queues[0].Priority = 1
	sim.fleet.Queues[0].Advice = &cyclamendyke.AdviceTiming{Base: 700 * time.Millisecond, PerTarget: 25 * time.Millisecond, ValidFor: 2 * time.Second}
	sim.adviceAllows = func(step cyclamendyke.StepName, id cyclamendyke.TargetID) bool {
		return uniform(string(step.Workflow), string(id)) < 0.3
	}
	return sim
}

// submitBatches submits small workflows regularly for some time, more than the members can ask for.
func (sim *simulation) submitBatches(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.submit(workflow(fmt.Sprint("batch-", len(sim.workflows)), cyclamendyke.Step{Count: 2, Need: cores(1), Estimate: time.Second}))
		sim.run(100 * time.Millisecond)
	}
}

// TestLongRunningTaskRunsAgainWhileAdviceIsScarce fails a long-running task, whose team has exceeded its share,
// while more work waits for advice than the members can ask for; it must run again within 6 s.
func TestLongRunningTaskRunsAgainWhileAdviceIsScarce(t *testing.T) {
	is := is.New(t)
	sim := scarceAdvice(t)
	sim.fleet.Teams = []cyclamendyke.TeamConfig{{Team: "busy", Weight: 0.1}}
	sim.elect()
	for _, id := range []string{"excess", "watch"} {
		watch := workflow(id, cyclamendyke.Step{Count: 6, Need: cores(1), Estimate: time.Second, LongRunning: true})
		watch.Team = "busy"
		sim.submit(watch)
	}
	sim.run(6 * time.Second)
	failed := cyclamendyke.TaskName{Workflow: "watch", Index: 3}
	is.Equal(total(sim.runsOf("watch")), 6)
	sim.submitBatches(8 * time.Second)
	for _, v := range sim.vms {
		if v.runs[failed] != nil {
			sim.end(v, failed, cyclamendyke.EndFailed)
		}
	}
	is.Equal(sim.history[failed].running, 0)
	sim.submitBatches(6 * time.Second)
	is.Equal(sim.history[failed].running, 1)
	is.Equal(sim.adviceTimeouts, 0) // No request waits behind others for longer than its member does.
}

// TestStepAsksElsewhereWhenAMemberIsSilent has half of the members leave requests without an answer.
func TestStepAsksElsewhereWhenAMemberIsSilent(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 4)
	sim.fleet.Queues[0].Priority = 1
	sim.silentAdvisers = map[cyclamendyke.MemberName]bool{"m00": true, "m01": true}
	sim.elect()
	for i := range 6 {
		sim.submit(workflow(fmt.Sprint("job-", i), cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second}))
	}
	sim.run(2 * time.Second) // Less than the silent members' requests take to fail.
	is.Equal(sim.starts, 6)
	sim.run(10 * time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 6)
	is.Equal(len(sim.violations), 0)
}

// TestTakeoverAsksForAdviceWhenItsEndIsNear starts a new epoch while a target is away, so that tasks of the
// earlier epoch wait for its lease to end; advice whose tickets would lapse before must not be asked for, and
// the tasks must start soon after that.
func TestTakeoverAsksForAdviceWhenItsEndIsNear(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 4)
	sim.fleet.Queues[0].Priority = 1
	sim.vms["vm-0"].unreachable = true
	sim.elect()
	sim.submit(workflow("job", cyclamendyke.Step{Count: 4, Need: cores(4), Estimate: time.Second}))
	sim.elect()
	settled := lease.Longest(sim.maxLease) + lease.Margin
	sim.run(settled - 3*time.Second)
	is.Equal(sim.adviceRequests, 0)
	sim.run(3*time.Second + 200*time.Millisecond)
	is.Equal(sim.starts, 4)
	is.Equal(sim.adviceRequests, 1)
	is.Equal(len(sim.violations), 0)
}

// TestGangWithoutRoomLeavesAdviceToOthers lets a gang wait of which only a part has room; its tickets would
// lapse until the room of the whole gang is near.
func TestGangWithoutRoomLeavesAdviceToOthers(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 4)
	sim.fleet.Teams = nil
	sim.fleet.Queues[0].Priority = 1
	sim.fleet.Queues[0].Advice.Base = 200 * time.Millisecond
	sim.elect()
	sim.submit(workflow("long", cyclamendyke.Step{Count: 3, Need: cores(16), Estimate: 12 * time.Second}))
	sim.run(time.Second)
	sim.submit(workflow("gang", cyclamendyke.Step{Count: 2, Gang: true, Need: cores(14), Estimate: time.Second}))
	sim.run(time.Second)
	want := adviceWant{step: sim.sched.adviceStep(cyclamendyke.StepName{Workflow: "gang"}), queue: &sim.fleet.Queues[0], waiting: 2}
	is.True(len(want.step.advice.verdicts) > 0)
	is.True(sim.sched.lapses(want))
	sim.run(8500 * time.Millisecond) // The other steps end 0.2 s to 1.5 s from now.
	is.True(!sim.sched.lapses(want))
	sim.run(4 * time.Second)
	is.Equal(sim.status("gang"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestUseOfAdviceIsCounted runs a step on targets of which advice allows a part.
func TestUseOfAdviceIsCounted(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 10)
	sim.fleet.Teams = nil
	sim.adviceAllows = func(_ cyclamendyke.StepName, id cyclamendyke.TargetID) bool { return id < "vm-5" }
	sim.elect()
	sim.submit(workflow("job", cyclamendyke.Step{Count: 3, Need: cores(16), Estimate: time.Second}))
	sim.run(3 * time.Second)
	use := sim.sched.TakeAdviceUse()["q"]
	is.Equal(use.Used, 3)
	is.Equal(use.Named, use.Disallowed+use.Used+use.Lapsed)
	is.Equal(use.Time, sim.adviceTime)
	is.Equal(sim.sched.AdviceBacklog(), 0)
	is.Equal(len(sim.sched.TakeAdviceUse()), 0)
}
