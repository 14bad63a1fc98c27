package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestStepStaysInOneZone submits look-ups of several tasks to a fleet of three zones and cuts one off. The others
// must not wait for it.
func TestStepStaysInOneZone(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	for i := 4; i < 12; i++ {
		sim.addVM(cyclamendyke.Target{ID: cyclamendyke.TargetID(fmt.Sprint("vm-", i)), Service: "s", Address: fmt.Sprint("vm-", i), Capacity: cores(16)})
	}
	for i := range 12 {
		v := sim.vms[cyclamendyke.TargetID(fmt.Sprint("vm-", i))]
		v.info.Zone = cyclamendyke.ZoneName(fmt.Sprint("z", i%3))
	}
	sim.elect()
	sim.run(20 * time.Second)
	for i := range 9 {
		sim.submit(workflow(fmt.Sprint("look-up-", i), cyclamendyke.Step{Count: 3, Need: cores(6), Estimate: time.Second}))
	}
	sim.run(500 * time.Millisecond)
	for _, v := range sim.vms {
		v.unreachable = v.info.Zone == "z0"
	}
	sim.run(2 * time.Second)
	completed := sim.states()[cyclamendyke.WorkflowCompleted]
	is.True(completed >= 6)
	is.Equal(len(sim.violations), 0)
}
