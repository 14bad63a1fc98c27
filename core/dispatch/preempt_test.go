package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// urgentAndBatch returns a simulation of ten VMs with a queue for urgent work and one for batch work.
func urgentAndBatch(t *testing.T) *simulation {
	sim := limitedFleet(t, 1, 10)
	sim.fleet.Teams = nil
	sim.fleet.Queues[0].CriticalPathFactor, sim.fleet.Queues[0].BaseTarget = 1.5, 250*time.Millisecond
	batch := sim.fleet.Queues[0]
	batch.Name, batch.Priority, batch.CriticalPathFactor = "batch", 2, 20
	sim.fleet.Queues = append(sim.fleet.Queues, batch)
	return sim
}

func batch(id string, step cyclamendyke.Step) *cyclamendyke.Workflow {
	spec := workflow(id, step)
	spec.Queue = "batch"
	return spec
}

// fullOfBatch returns a simulation of ten VMs that batch work with checkpoints fills for a long time.
func fullOfBatch(t *testing.T) *simulation {
	sim := urgentAndBatch(t)
	sim.fleet.Queues[0].Priority = 1
	sim.elect()
	for i := range 10 {
		sim.submit(batch(fmt.Sprint("batch-", i), cyclamendyke.Step{Count: 4, Need: cores(4), Estimate: 20 * time.Second, Checkpoints: true}))
	}
	sim.run(time.Second)
	return sim
}

// TestGangPreemptsLessUrgentWork submits a gang to a full fleet; it must start as soon as the batch
// work in its way has stopped, and only so much of that may stop.
func TestGangPreemptsLessUrgentWork(t *testing.T) {
	is := is.New(t)
	sim := fullOfBatch(t)
	sim.submit(workflow("gang", cyclamendyke.Step{Count: 6, Gang: true, Need: cores(8), Estimate: time.Second}))
	sim.run(500 * time.Millisecond)
	is.Equal(total(sim.runsOf("gang")), 6)
	is.Equal(sim.stops, 12)
	sim.run(30 * time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 11)
	is.Equal(len(sim.violations), 0)
}

// TestGangWithoutWholeRoomPreemptsNothing submits a gang that could not start even if all batch work
// stopped; none of it may stop in vain.
func TestGangWithoutWholeRoomPreemptsNothing(t *testing.T) {
	is := is.New(t)
	sim := fullOfBatch(t)
	sim.submit(workflow("gang", cyclamendyke.Step{Count: 21, Gang: true, Need: cores(8), Estimate: time.Second}))
	sim.run(2 * time.Second)
	is.Equal(sim.stops, 0)
}

// TestTaskIsNotPreemptedForEver submits gangs one after the other to a full fleet; each batch task must
// complete all the same.
func TestTaskIsNotPreemptedForEver(t *testing.T) {
	is := is.New(t)
	sim := fullOfBatch(t)
	for i := range 30 {
		sim.submit(workflow(fmt.Sprint("gang-", i), cyclamendyke.Step{Count: 2, Gang: true, Need: cores(8), Estimate: time.Second}))
		sim.run(1500 * time.Millisecond)
	}
	is.True(sim.stops <= 40*maxPreemptions)
	sim.run(time.Minute)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 40)
	is.Equal(len(sim.violations), 0)
}
