package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// twoSpeedFleet returns a simulation of eight VMs with two queues, of which the second has slack; runs
// on every other VM take 1.5 times as long.
func twoSpeedFleet(t *testing.T) *simulation {
	sim := limitedFleet(t, 1, 8)
	sim.fleet.Teams = nil
	sim.fleet.Queues[0].CriticalPathFactor, sim.fleet.Queues[0].BaseTarget = 1.5, 100*time.Millisecond
	patient := sim.fleet.Queues[0]
	patient.Name, patient.Priority, patient.CriticalPathFactor = "patient", 1, 10
	sim.fleet.Queues = append(sim.fleet.Queues, patient)
	sim.runTime = func(name cyclamendyke.TaskName, v *vm) time.Duration {
		work := sim.workflows[name.Workflow].spec.Steps[name.Step].Estimate
		if isSlow(v.info.ID) {
			return work * 3 / 2
		}
		return work
	}
	return sim
}

func isSlow(id cyclamendyke.TargetID) bool {
	var number int
	if _, err := fmt.Sscanf(string(id), "vm-%d", &number); err != nil {
		panic(err)
	}
	return number%2 == 1
}

// runSpread runs workflows with a task on each VM, from which the scheduler can learn.
func (sim *simulation) runSpread(count int) {
	for i := range count {
		sim.submit(workflow(fmt.Sprint("spread-", i), cyclamendyke.Step{
			Count: len(sim.vms), Need: cores(4), Estimate: 600 * time.Millisecond, MaxPerTarget: 1,
		}))
		sim.run(1500 * time.Millisecond)
	}
}

// TestSlownessIsLearned runs steps over fast and slow VMs; the difference that the scheduler learns
// must be within a tenth of the true one, and stay the same after a long time.
func TestSlownessIsLearned(t *testing.T) {
	is := is.New(t)
	sim := twoSpeedFleet(t)
	sim.elect()
	for range 2 {
		sim.runSpread(10)
		for id, target := range sim.sched.targets {
			if isSlow(id) {
				continue
			}
			for otherID, other := range sim.sched.targets {
				if isSlow(otherID) {
					factor := math.Exp(other.speed.slowness - target.speed.slowness)
					is.True(math.Abs(factor-1.5) < 0.15)
				}
			}
		}
	}
	is.Equal(len(sim.violations), 0)
}

// TestUrgentWorkTakesFastTargets submits an urgent workflow, which is on time on a fast VM only, and
// one that can wait; the first must run on fast VMs and the second must leave them free.
func TestUrgentWorkTakesFastTargets(t *testing.T) {
	is := is.New(t)
	sim := twoSpeedFleet(t)
	sim.elect()
	sim.runSpread(10)
	patient := workflow("patient", cyclamendyke.Step{Count: 4, Need: cores(4), Estimate: time.Second})
	patient.Queue = "patient"
	sim.submit(patient)
	sim.submit(workflow("urgent", cyclamendyke.Step{Count: 4, Need: cores(4), Estimate: time.Second}))
	sim.run(200 * time.Millisecond)
	for id := range sim.runsOf("patient") {
		is.True(isSlow(id))
	}
	for id := range sim.runsOf("urgent") {
		is.True(!isSlow(id))
	}
	is.Equal(total(sim.runsOf("patient"))+total(sim.runsOf("urgent")), 8)
}

// TestEndOfEarlierEpochsRunIsMeasured lets a run end unseen and a new scheduler hear of it, which does not know when it began.
func TestEndOfEarlierEpochsRunIsMeasured(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.submit(workflow("job", cyclamendyke.Step{Count: 2, Need: cores(4), Estimate: 600 * time.Millisecond}))
	sim.run(500 * time.Millisecond)
	is.Equal(sim.starts, 2)
	sim.vms["vm-0"].unreachable = true
	sim.run(time.Second)
	sim.elect()
	sim.vms["vm-0"].unreachable = false
	sim.run(time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	is.Equal(sim.sched.estimateErrors["q"], nil)
}
