package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestCountOfCrashesEndsWithItsScheduler begins new epochs while crashes are counted: when the count is stored, while
// the store is away so that only the last scheduler knows it, and right after each start.
func TestCountOfCrashesEndsWithItsScheduler(t *testing.T) {
	for _, test := range []struct {
		name     string
		outage   time.Duration // Of the store, before each takeover.
		asksLast bool
		every    time.Duration // Between takeovers.
	}{
		{name: "after each crash", every: 3500 * time.Millisecond},
		{name: "between crash and return", every: 1500 * time.Millisecond},
		{name: "store away", every: 5 * time.Second, outage: 4 * time.Second, asksLast: true},
		{name: "store away for longer", every: 9 * time.Second, outage: 6 * time.Second, asksLast: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := crashFleet(t, 8, workflow("bad", cyclamendyke.Step{Count: 2, Need: cores(2), Estimate: time.Second}), 10*time.Millisecond)
			sim.crashing.broken, sim.crashing.replaced = true, true
			sim.asksLast = test.asksLast
			for range 12 {
				sim.load(test.every - test.outage)
				sim.storeBackAt = sim.now + test.outage
				sim.run(test.outage)
				sim.elect()
			}
			sim.run(30 * time.Second)
			is.Equal(sim.status("bad"), cyclamendyke.WorkflowFailed)
			is.Equal(sim.states()[cyclamendyke.WorkflowFailed], 1)
			is.Equal(len(sim.violations), 0)
			is.True(sim.crashesUnderBad() <= 5)
			t.Logf("%d crashes", sim.crashesUnderBad())
		})
	}
}

// crashInOutage crashes a VM under a task that began while the store is away, and lets the VM come back.
func crashInOutage(t *testing.T) *simulation {
	sim := crashFleet(t, 4, workflow("bad",
		cyclamendyke.Step{Count: 1, Need: cores(2), Estimate: time.Second},
		cyclamendyke.Step{Count: 1, Need: cores(2), Estimate: time.Second, After: []int{0}},
	), 0)
	sim.crashing.broken = true
	sim.crashing.after = func(name cyclamendyke.TaskName) time.Duration {
		return time.Duration(name.Step) * 10 * time.Millisecond
	}
	sim.run(500 * time.Millisecond)
	sim.storeBackAt = sim.now + 5*time.Second
	sim.run(4500 * time.Millisecond) // The VM is back after 3.5 s.
	is.New(t).Equal(sim.crashesUnderBad(), 1)
	return sim
}

// TestTaskStartsAgainBeforeItsCrashIsStored checks that a task waits for the store after a crash under it.
func TestTaskStartsAgainBeforeItsCrashIsStored(t *testing.T) {
	is := is.New(t)
	sim := crashInOutage(t)
	is.Equal(sim.starts, 2)
	sim.run(4500 * time.Millisecond)
	is.True(sim.crashesUnderBad() >= 2)
	sim.run(20 * time.Second)
	is.Equal(sim.status("bad"), cyclamendyke.WorkflowFailed)
}

// TestCrashThatIsNotStoredIsForgottenAtTakeover begins an epoch whose predecessor alone knows of a crash.
func TestCrashThatIsNotStoredIsForgottenAtTakeover(t *testing.T) {
	is := is.New(t)
	sim := crashInOutage(t)
	sim.run(500*time.Millisecond - simLatency)
	sim.asksLast = true
	sim.storeBackAt = 0
	sim.elect()
	step := sim.sched.findStep(cyclamendyke.TaskName{Workflow: "bad", Step: 1})
	is.Equal(len(step.crashHistory(0).Crashes), 1)
}

// TestCrashRightBeforeTakeoverIsForgotten crashes and restarts a VM just before the next epoch begins.
func TestCrashRightBeforeTakeoverIsForgotten(t *testing.T) {
	is := is.New(t)
	sim := crashFleet(t, 1, oneTask("bad"), 400*time.Millisecond)
	sim.crashing.broken, sim.crashing.downFor = true, time.Millisecond
	for sim.crashesUnderBad() == 0 || sim.vms["vm-0"].down {
		sim.run(100 * time.Microsecond)
	}
	sim.elect()
	step := sim.sched.findStep(cyclamendyke.TaskName{Workflow: "bad"})
	is.Equal(len(step.crashHistory(0).Crashes), 1)
}

// TestListOfRunsForgetsCrashThatIsNotStored begins an epoch after the list of runs was stored without the progress of any workflow.
func TestListOfRunsForgetsCrashThatIsNotStored(t *testing.T) {
	is := is.New(t)
	sim := crashInOutage(t)
	list, err := sim.sched.TakeRunList()
	is.NoErr(err)
	sim.storedRuns = list
	sim.storeBackAt = 0
	sim.elect()
	step := sim.sched.findStep(cyclamendyke.TaskName{Workflow: "bad", Step: 1})
	is.Equal(len(step.crashHistory(0).Crashes), 1)
}

// TestTasksThatHaveWorkedAreTriedApartAfterTakeover restarts a VM right before a takeover, under tasks that have worked there
// for a while, so that they need not be tried apart.
func TestTasksThatHaveWorkedAreTriedApartAfterTakeover(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 4)
	sim.fleet.Teams = nil
	sim.elect()
	sim.submit(workflow("lasting", cyclamendyke.Step{Count: 4, Need: cores(1), Estimate: time.Second, LongRunning: true}))
	sim.run(4 * time.Second)
	sim.submit(longStep("beside")) // So that the list of runs is stored again.
	sim.run(time.Second)
	v := sim.vms["vm-0"]
	for _, other := range sim.vms {
		if len(other.runs) > len(v.runs) {
			v = other
		}
	}
	sim.crash(v)
	sim.boot(v)
	sim.elect()
	sim.run(300 * time.Millisecond) // Less than it takes to try one task after the other apart.
	for i := range 4 {
		is.Equal(sim.history[cyclamendyke.TaskName{Workflow: "lasting", Index: i}].running, 1)
	}
	is.Equal(len(sim.violations), 0)
}
