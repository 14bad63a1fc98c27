package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestTasksThatCrashAtOneMomentAreExcused starts many crashing tasks in one pass, first and on trial.
func TestTasksThatCrashAtOneMomentAreExcused(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 12)
	sim.fleet.Teams = nil
	ids := []cyclamendyke.WorkflowID{"bad-0", "bad-1", "bad-2", "bad-3", "bad-4"}
	sim.crashTasks(10*time.Millisecond, ids...)
	sim.crashing.broken = true
	sim.elect()
	sim.run(time.Second)
	for _, id := range ids {
		sim.submit(workflow(string(id), cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: time.Second}))
	}
	sim.load(30 * time.Second)
	sim.run(20 * time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowFailed], len(ids))
	is.Equal(len(sim.violations), 0)
}

// TestWorkOnFailedRackIsBlamed crashes whole racks, and all VMs, again and again under work that must complete.
func TestWorkOnFailedRackIsBlamed(t *testing.T) {
	for _, test := range []struct {
		name  string
		fails func(sim *simulation, round int) []*vm
	}{
		{"racks", func(sim *simulation, round int) []*vm { return sim.vmsOnRack(fmt.Sprint("r", round%4)) }},
		{"all", func(sim *simulation, _ int) []*vm {
			var all []*vm
			for _, v := range sim.vms {
				all = append(all, v)
			}
			return all
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := limitedFleet(t, 1, 0)
			sim.fleet.Teams = nil
			sim.crashing = crashingTasks{broken: true, downFor: 2 * time.Second}
			for i := range 12 {
				id := fmt.Sprint("vm-", i)
				sim.addVM(cyclamendyke.Target{
					ID: cyclamendyke.TargetID(id), Service: "s", Address: id, Capacity: cores(16), Labels: []string{"a", fmt.Sprint("r", i%4)},
				})
			}
			sim.elect()
			sim.run(time.Second)
			sim.submit(workflow("lasting", cyclamendyke.Step{Count: 8, Need: cores(2), LongRunning: true}))
			sim.submit(workflow("long", cyclamendyke.Step{Count: 8, Need: cores(2), Estimate: 3500 * time.Millisecond}))
			for round := range 10 {
				sim.load(4 * time.Second)
				for _, v := range test.fails(sim, round) {
					sim.crashAndReturn(v)
				}
			}
			sim.run(30 * time.Second)
			is.Equal(sim.states()[cyclamendyke.WorkflowFailed], 0)
			is.Equal(sim.status("long"), cyclamendyke.WorkflowCompleted)
			is.Equal(len(sim.violations), 0)
		})
	}
}

func (sim *simulation) vmsOnRack(rack string) []*vm {
	var out []*vm
	for _, v := range sim.vms {
		if v.info.Labels[1] == rack {
			out = append(out, v)
		}
	}
	return out
}
