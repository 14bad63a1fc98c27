package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// The lasting work of these tests, and how long it may have nothing running: six seconds after its last run and three more.
const (
	lastingWorkflows = 7
	lastingTasks     = 6
	longestAway      = 9 * time.Second
)

// suspectLasting lets a VM crash twice under all lasting tasks, so that each of them is suspected, and adds seven other VMs.
func suspectLasting(t *testing.T) *simulation {
	sim := limitedFleet(t, 1, 0)
	sim.fleet.Teams, sim.fleet.Queues[0].Advice = nil, nil
	addVM := func(i int) {
		sim.addVM(cyclamendyke.Target{
			ID: cyclamendyke.TargetID(fmt.Sprint("vm-", i)), Service: "s", Address: fmt.Sprint("vm-", i), Capacity: cores(64), Zone: simZones[i%len(simZones)],
		})
	}
	addVM(0)
	sim.crashing = crashingTasks{broken: true, downFor: time.Second}
	sim.elect()
	sim.run(time.Second)
	for i := range lastingWorkflows {
		sim.submit(workflow(fmt.Sprint("lasting-", i), cyclamendyke.Step{Count: lastingTasks, Need: cores(1), LongRunning: true}))
	}
	sim.run(time.Second)
	for range 2 {
		sim.crashAndReturn(sim.vms["vm-0"])
		sim.run(4 * time.Second)
	}
	for i := range 7 {
		addVM(i + 1)
	}
	return sim
}

// awayLasting counts the lasting tasks of which nothing runs.
func (sim *simulation) awayLasting() int {
	away := 0
	for i := range lastingWorkflows {
		for k := range lastingTasks {
			name := cyclamendyke.TaskName{Workflow: cyclamendyke.WorkflowID(fmt.Sprint("lasting-", i)), Index: k}
			if h := sim.history[name]; h == nil || h.running == 0 {
				away++
			}
		}
	}
	return away
}

// TestManyLastingSuspectsWaitInTurn guards against lasting work that waits as long as it takes to try each of many tasks alone.
func TestManyLastingSuspectsWaitInTurn(t *testing.T) {
	is := is.New(t)
	sim := suspectLasting(t)
	waited := time.Duration(0)
	for sim.awayLasting() > 0 && waited < time.Minute {
		sim.run(simTick)
		waited += simTick
	}
	t.Log("waited", waited)
	is.True(waited <= longestAway-4*time.Second) // Four have passed since the last crash.
	sim.run(20 * time.Second)
	is.Equal(sim.awayLasting(), 0)
	is.Equal(len(sim.violations), 0)
}

// TestCrashOfSharedTrialFailsInnocentWork crashes the VMs of one lasting task wherever it runs.
func TestCrashOfSharedTrialFailsInnocentWork(t *testing.T) {
	is := is.New(t)
	sim := suspectLasting(t)
	culprit := cyclamendyke.TaskName{Workflow: "lasting-3", Index: 2}
	for range 60 * int(time.Second/simTick) {
		sim.run(simTick)
		for _, v := range sim.vms {
			if r := v.runs[culprit]; r != nil && sim.now-r.started > 500*time.Millisecond {
				sim.crashAndReturn(v)
			}
		}
	}
	states := sim.states()
	is.Equal(states[cyclamendyke.WorkflowFailed], 1)
	is.Equal(sim.status("lasting-3"), cyclamendyke.WorkflowFailed)
	is.Equal(sim.awayLasting(), lastingTasks)
	is.Equal(len(sim.violations), 0)
}
