package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// crashUnderGang crashes a VM that is drawn among those on which a workflow runs.
func (sim *simulation) crashUnderGang(id cyclamendyke.WorkflowID) {
	var atWork []cyclamendyke.TargetID
	for vmID, v := range sim.vms {
		for name := range v.runs {
			if name.Workflow == id && !v.down && !slices.Contains(atWork, vmID) {
				atWork = append(atWork, vmID)
			}
		}
	}
	if len(atWork) > 0 {
		slices.Sort(atWork)
		sim.crashAndReturn(sim.vms[atWork[sim.random.IntN(len(atWork))]])
	}
}

// TestGangIsGivenUpForChanceCrashes guards against a gang that is failed since VMs crash under it, one after the other, each under
// another member.
func TestGangIsGivenUpForChanceCrashes(t *testing.T) {
	for _, test := range []struct {
		name      string
		members   int
		crashes   int
		takeovers bool
	}{
		{name: "wide", members: 12, crashes: 8},
		{name: "in a long row", members: 12, crashes: 25},
		{name: "across takeovers", members: 12, crashes: 8, takeovers: true},
		{name: "narrow", members: 5, crashes: 6},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(test.name, ", seed ", seed), func(t *testing.T) {
				is := is.New(t)
				sim := limitedFleet(t, seed, 15)
				sim.fleet.Teams, sim.fleet.Queues[0].Advice = nil, nil
				sim.crashing = crashingTasks{broken: true, downFor: time.Second}
				sim.elect()
				sim.run(time.Second)
				sim.submit(workflow("gang", cyclamendyke.Step{Count: test.members, Need: cores(9), Estimate: 8 * time.Second, Gang: true}))
				sim.run(2 * time.Second)
				for i := range test.crashes {
					sim.crashUnderGang("gang")
					sim.run(time.Second + time.Duration(sim.random.IntN(2000))*time.Millisecond)
					if test.takeovers && i%3 == 1 {
						sim.elect()
					}
				}
				sim.run(30 * time.Second)
				is.Equal(sim.status("gang"), cyclamendyke.WorkflowCompleted)
				is.Equal(len(sim.violations), 0)
			})
		}
	}
}

// TestDeadlyMemberOfWideGang guards against a gang that goes on though one of its members crashes each VM, also beside chance crashes
// of other VMs, and against the loss of other work beside it.
func TestDeadlyMemberOfWideGang(t *testing.T) {
	for _, test := range []struct {
		name      string
		after     time.Duration
		chance    bool
		takeovers bool
	}{
		{name: "at once", after: 10 * time.Millisecond},
		{name: "after a while", after: 700 * time.Millisecond},
		{name: "at once, beside chance", after: 10 * time.Millisecond, chance: true},
		{name: "after a while, beside chance", after: 700 * time.Millisecond, chance: true},
		{name: "at once, across takeovers", after: 10 * time.Millisecond, takeovers: true},
		{name: "after a while, across takeovers", after: 700 * time.Millisecond, takeovers: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			step := cyclamendyke.Step{Count: 10, Need: cores(9), Estimate: 8 * time.Second, Gang: true}
			sim := crashFleet(t, 15, workflow("bad", step), test.after)
			sim.crashing.broken = true
			for i := range 20 {
				sim.load(2 * time.Second)
				if test.chance && i < 6 {
					sim.crashUnderGang("bad")
				}
				if test.takeovers && i%3 == 2 && i < 9 {
					sim.elect()
				}
			}
			sim.run(40 * time.Second)
			is.Equal(sim.status("bad"), cyclamendyke.WorkflowFailed)
			is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], len(sim.workflows)-1)
			is.Equal(len(sim.violations), 0)
		})
	}
}
