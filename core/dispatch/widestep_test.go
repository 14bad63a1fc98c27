package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/crash"
)

// wideFleet returns a simulation of 16 VMs of 64 cores without advice.
func wideFleet(t testing.TB) *simulation {
	sim := limitedFleet(t, 1, 0)
	sim.fleet.Teams, sim.fleet.Queues[0].Advice = nil, nil
	for i := range 16 {
		sim.addVM(cyclamendyke.Target{
			ID: cyclamendyke.TargetID(fmt.Sprintf("vm-%02d", i)), Service: "s", Address: fmt.Sprint("vm-", i), Capacity: cores(64), Zone: simZones[i%len(simZones)],
		})
	}
	return sim
}

func init() {
	boundPasses = func(sim *simulation) {
		began, pass := time.Now(), 0
		sim.sched.cfg.PassTime = func() time.Duration {
			if pass != sim.passes {
				began, pass = time.Now(), sim.passes
			}
			return time.Since(began)
		}
	}
}

// wideStep returns a workflow of one step of very many small tasks.
func wideStep(id string) *cyclamendyke.Workflow {
	return workflow(id, cyclamendyke.Step{Count: 150_000, Need: cyclamendyke.Resources{Cores: 100}, Estimate: 2 * time.Second})
}

// startsIn counts the starts among commands.
func startsIn(commands []Command) int {
	count := 0
	for _, c := range commands {
		if _, isStart := c.(StartCommand); isStart {
			count++
		}
	}
	return count
}

// TestPassOverWideStepIsBounded guards against passes that place all that has room, and whose orders arrive after their leases.
func TestPassOverWideStepIsBounded(t *testing.T) {
	is := is.New(t)
	sim := wideFleet(t)
	sim.elect()
	sim.run(time.Second)
	sim.submit(wideStep("wide"))
	sim.sched.Advance(sim.now, sim.wall())
	commands := sim.sched.Run()
	starts := startsIn(commands)
	is.True(starts > 0 && starts <= maxPassStarts)
	for _, target := range sim.sched.targets {
		is.True(target.startsSent <= maxStartsSent)
	}
	for _, c := range commands {
		sim.deliver(sim.sched, c)
	}
	sim.submit(workflow("plain", cyclamendyke.Step{Count: 3, Need: cores(1), Estimate: 100 * time.Millisecond}))
	sim.run(6 * time.Second)
	is.Equal(sim.status("plain"), cyclamendyke.WorkflowCompleted)
	is.True(sim.starts > 16*640) // All targets were filled.
	is.Equal(len(sim.violations), 0)
}

// TestStepBeyondEndOfPassWaitsForEver has a clock end each pass after a few steps of many that find no room.
func TestStepBeyondEndOfPassWaitsForEver(t *testing.T) {
	is := is.New(t)
	sim := wideFleet(t)
	sim.fleet.Queues = append(sim.fleet.Queues, cyclamendyke.Queue{Name: "last", Service: "s", Priority: 5, MaxAttempts: 3})
	sim.elect()
	looks := 0
	sim.sched.cfg.PassTime = func() time.Duration {
		looks++
		return time.Duration(looks%5) * maxPassTime / 4
	}
	for i := range 20 * stepsPerCheck {
		w := workflow(fmt.Sprintf("labelled-%03d", i), cyclamendyke.Step{Count: 1, Need: cores(1), Label: "nowhere", Estimate: time.Second})
		sim.submit(w)
	}
	last := workflow("last", cyclamendyke.Step{Count: 1, Need: cores(1), Estimate: 100 * time.Millisecond})
	last.Queue = "last"
	sim.submit(last)
	sim.run(3 * time.Second)
	is.Equal(sim.status("last"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestSlowPassesReachNoMoreThanTheFirstSteps has every look at the clock show that the time of a pass is over.
func TestSlowPassesReachNoMoreThanTheFirstSteps(t *testing.T) {
	is := is.New(t)
	sim := wideFleet(t)
	sim.elect()
	now := time.Duration(0)
	sim.sched.cfg.PassTime = func() time.Duration {
		now += 2 * maxPassTime
		return now
	}
	const count = 10 * stepsPerCheck
	for i := range count {
		sim.submit(workflow(fmt.Sprintf("w-%03d", i), cyclamendyke.Step{Count: 1, Need: cores(1), Label: "nowhere", Estimate: time.Second}))
	}
	sim.submit(workflow("x", cyclamendyke.Step{Count: 1, Need: cores(1), Estimate: 100 * time.Millisecond}))
	sim.run(count * simTick)
	is.Equal(sim.status("x"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}

// TestLeasesAreRenewedOnlyInPasses makes no pass for some time.
func TestLeasesAreRenewedOnlyInPasses(t *testing.T) {
	is := is.New(t)
	sim := wideFleet(t)
	sim.elect()
	sim.run(time.Second)
	sim.noPasses = true
	for range 300 {
		sim.run(simTick)
		sim.sched.Advance(sim.now, sim.wall())
		for _, c := range sim.sched.Renew() {
			sim.deliver(sim.sched, c)
		}
		sim.storeStatement(sim.sched)
	}
	for _, v := range sim.vms {
		is.True(v.leaseUntil > v.clock(sim.now))
	}
}

// TestTasksBehindSuspectsWait has more suspected tasks than a pass looks at before one that is not.
func TestTasksBehindSuspectsWait(t *testing.T) {
	is := is.New(t)
	sim := wideFleet(t)
	sim.elect()
	sim.submit(workflow("w", cyclamendyke.Step{Count: 3*maxWaiting + 1, Need: cores(1), Estimate: time.Second}))
	sim.sched.releaseDue()
	step := sim.sched.jobs["w"].open[0].steps[0]
	for i := range 2 * maxWaiting {
		for n := range 2 {
			step.crashHistory(i).Add(crash.Record{Target: cyclamendyke.TargetID(fmt.Sprint(i, "-", n))})
		}
	}
	waiting := sim.sched.startableTasks(step)
	is.Equal(len(waiting), 2*maxWaiting)
	is.Equal(waiting[len(waiting)-1], 3*maxWaiting-1)
}
