package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// crashFleet returns a simulation of VMs of 16 cores, without team limits, with "bad" among the workflows given.
func crashFleet(t *testing.T, vms int, bad *cyclamendyke.Workflow, after time.Duration) *simulation {
	sim := limitedFleet(t, 1, vms)
	sim.fleet.Teams = nil
	sim.crashTasks(after, "bad")
	sim.elect()
	sim.run(time.Second)
	sim.submit(bad)
	return sim
}

// load submits a workflow of three short tasks every 100 ms for a while.
func (sim *simulation) load(d time.Duration) {
	for i := range int(d / (100 * time.Millisecond)) {
		sim.submit(workflow(fmt.Sprint("good-", sim.now, "-", i), cyclamendyke.Step{Count: 3, Need: cores(2), Estimate: 700 * time.Millisecond}))
		sim.run(100 * time.Millisecond)
	}
}

// TestCrashingTaskIsStartedForEver starts a task that crashes each VM, beside work that must not be given up.
func TestCrashingTaskIsStartedForEver(t *testing.T) {
	short := cyclamendyke.Step{Count: 3, Need: cores(2), Estimate: 700 * time.Millisecond}
	gang := cyclamendyke.Step{Count: 3, Need: cores(6), Estimate: time.Second, Gang: true}
	copied := cyclamendyke.Step{Count: 2, Need: cores(2), Estimate: 400 * time.Millisecond, Speculative: true}
	lasting := cyclamendyke.Step{Count: 2, Need: cores(2), LongRunning: true}
	for _, test := range []struct {
		name       string
		step       cyclamendyke.Step
		after      time.Duration
		replaced   bool
		dark       bool
		loseAnswer float64
	}{
		{name: "at once", step: short, after: 10 * time.Millisecond},
		{name: "at once, other identifier", step: short, after: 10 * time.Millisecond, replaced: true},
		{name: "in silence", step: short, after: 10 * time.Millisecond, dark: true},
		{name: "in silence, other identifier", step: short, after: 10 * time.Millisecond, dark: true, replaced: true},
		{name: "before its answer", step: short, after: time.Nanosecond, replaced: true},
		{name: "answers lost", step: short, after: 10 * time.Millisecond, loseAnswer: 0.2},
		{name: "after a while", step: short, after: 600 * time.Millisecond, replaced: true},
		{name: "gang", step: gang, after: 10 * time.Millisecond, replaced: true},
		{name: "gang after a while", step: gang, after: 800 * time.Millisecond},
		{name: "copies", step: copied, after: 10 * time.Millisecond},
		{name: "copies after a while", step: copied, after: 300 * time.Millisecond},
		{name: "lasting", step: lasting, after: 10 * time.Millisecond},
		{name: "lasting, after a while", step: lasting, after: 2 * time.Second, replaced: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := crashFleet(t, 8, workflow("bad", test.step), test.after)
			sim.crashing.replaced, sim.crashing.broken = test.replaced, !test.dark
			sim.faults.loseAnswer = test.loseAnswer
			sim.load(20 * time.Second)
			sim.faults.loseAnswer = 0
			sim.run(40 * time.Second)
			is.Equal(sim.status("bad"), cyclamendyke.WorkflowFailed)
			is.Equal(sim.states()[cyclamendyke.WorkflowFailed], 1)
			is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], len(sim.workflows)-1)
			is.True(sim.crashesUnderBad() >= 2)
			is.True(sim.crashesUnderBad() <= 5)
			is.Equal(len(sim.violations), 0)
			t.Logf("%d crashes", sim.crashesUnderBad())
		})
	}
}
