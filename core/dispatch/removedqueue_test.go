package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestWorkOfRemovedQueueIsLostAtTakeover removes the queue of accepted work and elects a scheduler that never knew it.
func TestWorkOfRemovedQueueIsLostAtTakeover(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 2)
	accepted := twoSteps("job")
	accepted.QueueSettings = sim.fleet.Queues[0].Settings()
	value, err := json.Marshal(accepted)
	is.NoErr(err)
	spec := &cyclamendyke.Workflow{}
	is.NoErr(json.Unmarshal(value, spec))
	is.Equal(spec.QueueSettings.Queue("q").Advice, sim.fleet.Queues[0].Advice)
	sim.elect()
	sim.submit(spec)
	sim.run(300 * time.Millisecond)
	is.Equal(sim.starts, 3)
	sim.fleet = &cyclamendyke.FleetConfig{Version: 2, Services: sim.fleet.Services, Teams: sim.fleet.Teams}
	sim.sched.Configure(sim.fleet)
	sim.elect()
	sim.run(5 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}
