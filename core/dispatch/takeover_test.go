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

// smallFleet returns a world of some VMs, one queue with three attempts and one team with a limit.
func smallFleet(t testing.TB, seed uint64, vms int) *world {
	w := newWorld(t, seed)
	w.fleet.Services = []cyclamendyke.Service{{Name: "s"}}
	w.fleet.Queues = []cyclamendyke.Queue{{
		Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Objective: time.Second,
		Advice: &cyclamendyke.AdviceTerms{Base: 15 * time.Millisecond, Valid: 2 * time.Second},
	}}
	w.fleet.Teams = []cyclamendyke.Tenancy{{Team: "t", Weight: 1, Limit: cores(40)}}
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

func (w *world) states() map[cyclamendyke.WorkflowState]int {
	out := map[cyclamendyke.WorkflowState]int{}
	for id := range w.work {
		state, _, _ := w.sched.Status(id)
		out[state]++
	}
	return out
}

// TestFinalWorkflowsStayFinal lets a new epoch load workflows that are completed; none of their tasks may start again.
func TestFinalWorkflowsStayFinal(t *testing.T) {
	is := is.New(t)
	w := smallFleet(t, 1, 4)
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
	is.Equal(len(w.violated), 0)
}

// TestAdoptedRunsGoOn lets a new epoch find runs on VMs to which it has granted no lease yet.
func TestAdoptedRunsGoOn(t *testing.T) {
	is := is.New(t)
	w := smallFleet(t, 1, 4)
	w.elect()
	w.submit(twoSteps("job"))
	w.run(300 * time.Millisecond)
	is.Equal(w.starts, 3)
	w.elect()
	w.run(200 * time.Millisecond)
	is.Equal(w.starts, 3) // The runs were adopted, not started again.
	w.run(10 * time.Second)
	is.Equal(w.starts, 5)
	is.Equal(w.stops, 0)
	is.Equal(w.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(w.violated), 0)
}

// TestUnseenRunHoldsWork cuts off a VM on which a task runs, and lets a new epoch begin; the task starts elsewhere once the VM's lease is over, and no sooner.
func TestUnseenRunHoldsWork(t *testing.T) {
	is := is.New(t)
	w := smallFleet(t, 1, 4)
	w.elect()
	w.submit(longStep("long"))
	w.run(2 * time.Second)
	is.Equal(w.starts, 1)
	for _, v := range w.vms {
		v.cut = len(v.runs) > 0
	}
	w.elect()
	w.run(LongestLease(w.bounds()) - 500*time.Millisecond)
	is.Equal(w.starts, 1)
	w.run(time.Second)
	is.Equal(w.starts, 2)
	is.Equal(len(w.violated), 0)
}

// TestPromisesUnderFaults plays lost and late answers, crashes, cuts and takeovers, and then a calm time in which all work ends.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		w := smallFleet(t, seed, 5)
		w.faults = worldFaults{
			loseAnswer: rapid.Float64Range(0, 0.2).Draw(rt, "lose"),
			late:       rapid.Float64Range(0, 0.2).Draw(rt, "late"),
			fail:       rapid.Float64Range(0, 0.1).Draw(rt, "fail"),
		}
		w.elect()
		for i := range rapid.IntRange(5, 40).Draw(rt, "rounds") {
			w.submit(twoSteps(fmt.Sprint("job-", i)))
			if i%4 == 3 {
				w.submit(longStep(fmt.Sprint("long-", i)))
			}
			w.trouble(rapid.IntRange(0, 9).Draw(rt, "trouble"))
			w.run(time.Duration(rapid.IntRange(50, 1500).Draw(rt, "pause")) * time.Millisecond)
		}
		w.heal()
		w.run(time.Minute)
		for _, violation := range w.violated {
			rt.Error(violation)
		}
		states := w.states()
		if states[cyclamendyke.WorkflowCompleted]+states[cyclamendyke.WorkflowFailed] != len(w.work) {
			rt.Errorf("not all work ended: %v\n%s", states, w.sched.unfinished())
		}
	})
}

// trouble does one of several harms.
func (w *world) trouble(kind int) {
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
		v.cut = true
		w.after(time.Duration(w.random.IntN(15000))*time.Millisecond, func() { v.cut = false })
	case 3:
		w.hide(v)
		w.after(time.Duration(w.random.IntN(12000))*time.Millisecond, func() { w.show(v) })
	case 4: // Its description goes, and then it is cut off.
		w.hide(v)
		w.after(time.Duration(w.random.IntN(50))*time.Millisecond, func() { v.cut = true })
		w.after(time.Duration(w.random.IntN(12000))*time.Millisecond, func() {
			v.cut = false
			w.show(v)
		})
	}
}

// heal ends all trouble.
func (w *world) heal() {
	w.faults = worldFaults{}
	for _, v := range w.vms {
		v.cut, v.hidden = false, false
		if v.down {
			w.boot(v)
		}
		w.sched.Describe(v.info)
	}
}

// TestLostVMsWorkMovesOn takes a VM away for good while a lasting task and others run on it.
func TestLostVMsWorkMovesOn(t *testing.T) {
	is := is.New(t)
	w := smallFleet(t, 1, 2)
	w.elect()
	lasting := &cyclamendyke.Workflow{ID: "lasting", Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 2, Need: cores(4), Estimate: time.Second, Lasting: true, MaxPerTarget: 1},
		{Count: 1, Need: cores(4), Estimate: time.Second, Lasting: true},
	}}
	w.submit(lasting)
	w.run(time.Second)
	is.Equal(w.starts, 3)
	w.addVM(cyclamendyke.Target{ID: "spare", Service: "s", Address: "spare", Capacity: cores(16)})
	w.crash(w.vms["vm-0"])
	w.sched.Forget("vm-0")
	w.run(12 * time.Second)
	for i := range 2 {
		is.Equal(w.tasks[cyclamendyke.TaskName{Workflow: "lasting", Index: i}].running, 1)
	}
	is.Equal(len(w.violated), 0)
}

// hide removes a VM's description from the store.
func (w *world) hide(v *vm) {
	v.hidden = true
	w.sched.Advance(w.now, w.wall())
	w.sched.Forget(v.info.ID)
}

// show brings a VM's description back.
func (w *world) show(v *vm) {
	v.hidden = false
	if !v.down {
		w.sched.Advance(w.now, w.wall())
		w.sched.Describe(v.info)
	}
}

// TestTakeoverAfterVMsLeft lets a VM leave and then a new epoch begin; work of before must not wait for that VM's lease.
func TestTakeoverAfterVMsLeft(t *testing.T) {
	is := is.New(t)
	w := smallFleet(t, 1, 3)
	w.elect()
	w.run(time.Second)
	w.hide(w.vms["vm-0"])
	w.run(time.Second)
	w.crash(w.vms["vm-0"])
	w.submit(twoSteps("job"))
	w.run(100 * time.Millisecond)
	w.elect()
	w.run(4 * time.Second)
	is.Equal(w.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(w.violated), 0)
}

// TestUnlistedVMsThatVanish lets a new epoch begin while a VM is cut off, whose description then goes as well; what runs there must not start elsewhere before its lease is over.
func TestUnlistedVMsThatVanish(t *testing.T) {
	is := is.New(t)
	w := smallFleet(t, 1, 1)
	w.elect()
	w.submit(&cyclamendyke.Workflow{ID: "job", Team: "t", Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 1, Need: cores(4), Estimate: 6 * time.Second},
	}})
	w.run(500 * time.Millisecond)
	is.Equal(w.starts, 1)
	w.addVM(cyclamendyke.Target{ID: "other", Service: "s", Address: "other", Capacity: cores(16)})
	w.vms["vm-0"].cut = true
	w.elect()
	w.run(500 * time.Millisecond)
	w.hide(w.vms["vm-0"])
	w.run(5 * time.Second)
	is.Equal(w.starts, 1)
	w.run(10 * time.Second)
	is.Equal(w.starts, 2)
	is.Equal(len(w.violated), 0)
}
