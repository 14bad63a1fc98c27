package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// The load beside which suspects wait, and how long they may.
const (
	trialLoadTime    = 40 * time.Second
	longestTrialWait = 10 * time.Second
)

// suspectUnderLoad starts a workflow on a fleet of 12 VMs under load, crashes the VM of its first task at once, and returns how long
// it takes from then on until the workflow has ended.
func suspectUnderLoad(t *testing.T, spec *cyclamendyke.Workflow, load func(sim *simulation)) (*simulation, time.Duration) {
	t.Helper()
	sim := limitedFleet(t, 1, 12)
	sim.fleet.Teams, sim.fleet.Queues[0].Advice, sim.fleet.Queues[0].Priority = nil, nil, 1
	sim.crashing = crashingTasks{broken: true, downFor: time.Second}
	sim.elect()
	sim.run(time.Second)
	for range 30 {
		load(sim)
		sim.run(100 * time.Millisecond)
	}
	sim.submit(spec)
	first := cyclamendyke.TaskName{Workflow: spec.ID}
	crashed := false
	for i := range int(time.Minute / simTick) {
		if crashed {
			break
		}
		if i%int(100*time.Millisecond/simTick) == 0 {
			load(sim)
		}
		sim.run(simTick)
		for _, v := range sim.vms {
			if v.runs[first] != nil && !crashed {
				sim.crashAndReturn(v)
				crashed = true
			}
		}
	}
	if !crashed {
		t.Fatal("the workflow has not run")
	}
	began := sim.now
	for sim.now < began+trialLoadTime && !sim.status(spec.ID).IsFinal() {
		load(sim)
		sim.run(100 * time.Millisecond)
	}
	return sim, sim.now - began
}

// overload submits more small work than the fleet can do.
func overload(sim *simulation) {
	sim.submit(workflow(fmt.Sprint("load-", sim.now), cyclamendyke.Step{Count: 7, Need: cores(4), Estimate: time.Second}))
}

// TestSuspectedGangWaitsForWholeFleet guards against a gang that is tried whole and finds no room for all members at once under load.
func TestSuspectedGangWaitsForWholeFleet(t *testing.T) {
	is := is.New(t)
	sim, waited := suspectUnderLoad(t, workflow("gang", cyclamendyke.Step{Count: 4, Need: cores(16), Estimate: time.Second, Gang: true}), overload)
	t.Log(sim.status("gang"), waited)
	is.Equal(sim.status("gang"), cyclamendyke.WorkflowCompleted)
	is.True(waited <= longestTrialWait)
	is.Equal(len(sim.violations), 0)
}

// TestWideSuspectWaitsForWholeTarget guards against a task of a whole target's size that finds none empty for its trial under load.
func TestWideSuspectWaitsForWholeTarget(t *testing.T) {
	is := is.New(t)
	sim, waited := suspectUnderLoad(t, workflow("wide", cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: time.Second}), overload)
	t.Log(sim.status("wide"), waited)
	is.Equal(sim.status("wide"), cyclamendyke.WorkflowCompleted)
	is.True(waited <= longestTrialWait)
	is.Equal(len(sim.violations), 0)
}

// TestSuspectedGangWaitsBehindOtherTrials guards against a gang that needs more targets than may be kept for trials beside those of others.
func TestSuspectedGangWaitsBehindOtherTrials(t *testing.T) {
	is := is.New(t)
	gang := workflow("gang", cyclamendyke.Step{Count: 7, Need: cores(16), Estimate: time.Second, Gang: true})
	rounds := 0
	sim, waited := suspectUnderLoad(t, gang, func(sim *simulation) {
		sim.crashing.after = func(name cyclamendyke.TaskName) time.Duration {
			if history := sim.history[name]; name.Workflow == "gang" || history != nil && history.crashes > 0 {
				return 0
			}
			return 50 * time.Millisecond // Each of the others crashes its first VM.
		}
		if rounds++; rounds%3 == 0 {
			sim.submit(workflow(fmt.Sprint("bad-", rounds), cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 1500 * time.Millisecond}))
		}
	})
	t.Log(sim.status("gang"), waited)
	is.Equal(sim.status("gang"), cyclamendyke.WorkflowCompleted)
	is.True(waited <= longestTrialWait)
	is.Equal(len(sim.violations), 0)
}
