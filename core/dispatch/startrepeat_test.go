package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// losingFirstOrders returns a simulation in which the orders of the first 50 ms after a workflow's submission are
// carried out seconds later and not answered.
func losingFirstOrders(t *testing.T, step cyclamendyke.Step) *simulation {
	t.Helper()
	sim := unlimitedFleet(t)
	sim.elect()
	sim.run(20 * time.Second) // Runs of earlier epochs are over.
	sim.faults.delay = 1
	sim.submit(workflow("job", step))
	for sim.sched.lastRunNumber == int64(sim.sched.cfg.Epoch)*runsPerEpoch {
		sim.run(100 * time.Microsecond)
	}
	sim.faults.delay = 0
	return sim
}

// TestLostStartIsRepeated loses the order to start a task of one second, whose caller must not wait half as long
// again.
func TestLostStartIsRepeated(t *testing.T) {
	is := is.New(t)
	sim := losingFirstOrders(t, cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second})
	sim.run(1500 * time.Millisecond)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	sim.run(15 * time.Second) // The first order is carried out.
	is.Equal(sim.starts, 1)
	is.Equal(len(sim.violations), 0)
}

// TestLostStartOfGangIsRepeated loses the orders to start a gang.
func TestLostStartOfGangIsRepeated(t *testing.T) {
	is := is.New(t)
	sim := losingFirstOrders(t, cyclamendyke.Step{Count: 2, Gang: true, Need: cores(16), Estimate: time.Second, MaxPerTarget: 1})
	sim.run(1500 * time.Millisecond)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	sim.run(15 * time.Second)
	is.Equal(sim.starts, 2)
	is.Equal(len(sim.violations), 0)
}

// TestGangStopsWithoutItsMember makes a VM unreachable while the other members of a gang have started; they must
// be stopped once it is certain that the member on that VM does not start, and not wait for it.
func TestGangStopsWithoutItsMember(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	sim.run(20 * time.Second)
	sim.submit(workflow("gang", cyclamendyke.Step{Count: 2, Gang: true, Need: cores(16), Estimate: 30 * time.Second, MaxPerTarget: 1}))
	for sim.sched.lastRunNumber == int64(sim.sched.cfg.Epoch)*runsPerEpoch {
		sim.run(100 * time.Microsecond)
	}
	step := sim.sched.jobs["gang"].open[0].steps[0]
	lost := step.runsOf(0)[0]
	sim.sched.runEnded(lost, cyclamendyke.EndStopped, "", 0)
	is.Equal(step.runsOf(1)[0].state, runStopping)
}
