package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cyclamendyke"
)

func cores(n int64) cyclamendyke.Resources {
	return cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(n * 1000)}
}

// limitedFleet returns a simulation of some VMs, one queue with three attempts and one team with a
// limit.
func limitedFleet(t testing.TB, seed uint64, vms int) *simulation {
	w := newSimulation(t, seed)
	w.fleet.Services = []cyclamendyke.Service{{Name: "s"}}
	w.fleet.Queues = []cyclamendyke.Queue{{
		Name: "q", Service: "s", MaxAttempts: 3, CriticalPathFactor: 2, BaseTarget: time.Second,
		Advice: &cyclamendyke.AdviceTiming{Base: 15 * time.Millisecond, ValidFor: 2 * time.Second},
	}}
	w.fleet.Teams = []cyclamendyke.TeamConfig{{Team: "t", Weight: 1, Limit: cores(40)}}
	for i := range vms {
		w.addVM(cyclamendyke.Target{
			ID: cyclamendyke.TargetID(fmt.Sprint("vm-", i)), Service: "s", Address: fmt.Sprint("vm-", i), Capacity: cores(16),
		})
	}
	return w
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

func (w *simulation) states() map[cyclamendyke.WorkflowState]int {
	out := map[cyclamendyke.WorkflowState]int{}
	for id := range w.workflows {
		state, _, _ := w.sched.Status(id)
		out[state]++
	}
	return out
}

// TestFinalWorkflowsStayFinal starts a new epoch after all workflows completed; none of their tasks
// may start again.
func TestFinalWorkflowsStayFinal(t *testing.T) {
	is := is.New(t)
	w := limitedFleet(t, 1, 4)
	w.elect()
	for i := range 5 {
		w.submit(twoSteps(fmt.Sprint("job-", i)))
	}
	w.run(20 * time.Second)
	is.Equal(w.states()[cyclamendyke.WorkflowCompleted], 5)
	starts := w.starts
	w.elect()
	w.run(20 * time.Second)
	is.Equal(w.starts, starts)
	is.Equal(w.states()[cyclamendyke.WorkflowCompleted], 5)
	is.Equal(len(w.violations), 0)
}

// TestNewEpochAdoptsRuns starts a new epoch while tasks run on VMs to which it has granted no
// lease; it must adopt the runs instead of starting or stopping any.
func TestNewEpochAdoptsRuns(t *testing.T) {
	is := is.New(t)
	w := limitedFleet(t, 1, 4)
	w.elect()
	w.submit(twoSteps("job"))
	w.run(300 * time.Millisecond)
	is.Equal(w.starts, 3)
	w.elect()
	w.run(200 * time.Millisecond)
	is.Equal(w.starts, 3)
	w.run(10 * time.Second)
	is.Equal(w.starts, 5)
	is.Equal(w.stops, 0)
	is.Equal(w.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(w.violations), 0)
}

// TestTaskOnUnreachableVMWaitsForLease makes a VM with a running task unreachable and starts a new
// epoch; the task must start elsewhere when the VM's lease is over, and no sooner.
func TestTaskOnUnreachableVMWaitsForLease(t *testing.T) {
	is := is.New(t)
	w := limitedFleet(t, 1, 4)
	w.elect()
	w.submit(longStep("long"))
	w.run(2 * time.Second)
	is.Equal(w.starts, 1)
	for _, v := range w.vms {
		v.unreachable = len(v.runs) > 0
	}
	w.elect()
	w.run(LongestLease(w.bounds()) - 500*time.Millisecond)
	is.Equal(w.starts, 1)
	w.run(time.Second)
	is.Equal(w.starts, 2)
	is.Equal(len(w.violations), 0)
}

// TestInvariantsUnderFaults injects lost and late answers, crashes, unreachable VMs and takeovers.
// No invariant may be violated, and all workflows must end once the faults have stopped.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		w := limitedFleet(t, seed, 5)
		w.faults = simFaults{
			loseAnswer: rapid.Float64Range(0, 0.2).Draw(rt, "lose"),
			delay:      rapid.Float64Range(0, 0.2).Draw(rt, "late"),
			failRun:    rapid.Float64Range(0, 0.1).Draw(rt, "fail"),
		}
		w.elect()
		for i := range rapid.IntRange(5, 40).Draw(rt, "rounds") {
			w.submit(twoSteps(fmt.Sprint("job-", i)))
			if i%4 == 3 {
				w.submit(longStep(fmt.Sprint("long-", i)))
			}
			w.injectFault(rapid.IntRange(0, 9).Draw(rt, "trouble"))
			w.run(time.Duration(rapid.IntRange(50, 1500).Draw(rt, "pause")) * time.Millisecond)
		}
		w.endFaults()
		w.run(time.Minute)
		for _, violation := range w.violations {
			rt.Error(violation)
		}
		states := w.states()
		if states[cyclamendyke.WorkflowCompleted]+states[cyclamendyke.WorkflowFailed] != len(w.workflows) {
			rt.Errorf("not all work ended: %v\n%s", states, w.sched.unfinished())
		}
	})
}

// injectFault injects one of several faults; most undo themselves after a random time.
func (w *simulation) injectFault(kind int) {
	id := cyclamendyke.TargetID(fmt.Sprint("vm-", w.random.IntN(len(w.vms))))
	v := w.vms[id]
	switch kind {
	case 0:
		w.elect()
	case 1:
		w.crash(v)
		w.after(time.Duration(w.random.IntN(6000))*time.Millisecond, func() {
			if v.down {
				w.boot(v)
			}
		})
	case 2:
		v.unreachable = true
		w.after(time.Duration(w.random.IntN(15000))*time.Millisecond, func() { v.unreachable = false })
	case 3:
		w.removeDescription(v)
		w.after(time.Duration(w.random.IntN(12000))*time.Millisecond, func() { w.restoreDescription(v) })
	case 4: // The VM is removed from the store and then becomes unreachable.
		w.removeDescription(v)
		w.after(time.Duration(w.random.IntN(50))*time.Millisecond, func() { v.unreachable = true })
		w.after(time.Duration(w.random.IntN(12000))*time.Millisecond, func() {
			v.unreachable = false
			w.restoreDescription(v)
		})
	}
}

// endFaults undoes all faults.
func (w *simulation) endFaults() {
	w.faults = simFaults{}
	for _, v := range w.vms {
		v.unreachable, v.removed = false, false
		if v.down {
			w.boot(v)
		}
		w.sched.UpdateTarget(v.info)
	}
}

// TestLongRunningTasksOnLostVMRestartElsewhere removes a VM for good while long-running tasks run on
// it; they must start again on the remaining VMs.
func TestLongRunningTasksOnLostVMRestartElsewhere(t *testing.T) {
	is := is.New(t)
	w := limitedFleet(t, 1, 2)
	w.elect()
	longRunning := &cyclamendyke.Workflow{ID: "lasting", Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 2, Need: cores(4), Estimate: time.Second, LongRunning: true, MaxPerTarget: 1},
		{Count: 1, Need: cores(4), Estimate: time.Second, LongRunning: true},
	}}
	w.submit(longRunning)
	w.run(time.Second)
	is.Equal(w.starts, 3)
	w.addVM(cyclamendyke.Target{ID: "spare", Service: "s", Address: "spare", Capacity: cores(16)})
	w.crash(w.vms["vm-0"])
	w.sched.RemoveTargetDescription("vm-0")
	w.run(12 * time.Second)
	for i := range 2 {
		is.Equal(w.history[cyclamendyke.TaskName{Workflow: "lasting", Index: i}].running, 1)
	}
	is.Equal(len(w.violations), 0)
}

// removeDescription removes a VM's description from the store.
func (w *simulation) removeDescription(v *vm) {
	v.removed = true
	w.sched.Advance(w.now, w.wall())
	w.sched.RemoveTargetDescription(v.info.ID)
}

// restoreDescription puts a VM's description back.
func (w *simulation) restoreDescription(v *vm) {
	v.removed = false
	if !v.down {
		w.sched.Advance(w.now, w.wall())
		w.sched.UpdateTarget(v.info)
	}
}

// TestTakeoverIgnoresRemovedVM removes a VM before a new epoch starts; earlier work must not wait
// for that VM's lease.
func TestTakeoverIgnoresRemovedVM(t *testing.T) {
	is := is.New(t)
	w := limitedFleet(t, 1, 3)
	w.elect()
	w.run(time.Second)
	w.removeDescription(w.vms["vm-0"])
	w.run(time.Second)
	w.crash(w.vms["vm-0"])
	w.submit(twoSteps("job"))
	w.run(100 * time.Millisecond)
	w.elect()
	w.run(4 * time.Second)
	is.Equal(w.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(w.violations), 0)
}

// TestTaskOnUnlistedRemovedVMWaitsForLease starts a new epoch while a VM is unreachable and then
// removes the VM's description; its task must not start elsewhere before its lease is over.
func TestTaskOnUnlistedRemovedVMWaitsForLease(t *testing.T) {
	is := is.New(t)
	w := limitedFleet(t, 1, 1)
	w.elect()
	w.submit(&cyclamendyke.Workflow{ID: "job", Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 1, Need: cores(4), Estimate: 6 * time.Second},
	}})
	w.run(500 * time.Millisecond)
	is.Equal(w.starts, 1)
	w.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
	w.vms["vm-0"].unreachable = true
	w.elect()
	w.run(500 * time.Millisecond)
	w.removeDescription(w.vms["vm-0"])
	w.run(5 * time.Second)
	is.Equal(w.starts, 1)
	w.run(10 * time.Second)
	is.Equal(w.starts, 2)
	is.Equal(len(w.violations), 0)
}
