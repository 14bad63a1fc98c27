package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// gangBehindLongRuns returns a simulation of four VMs, of which two are taken for seven seconds, and a
// gang that waits for three whole ones and so claims the free ones.
func gangBehindLongRuns(t *testing.T) *simulation {
	sim := unlimitedFleet(t)
	sim.elect()
	for i := range 2 {
		sim.submit(workflow(fmt.Sprint("long-", i), cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: 7 * time.Second}))
	}
	sim.run(200 * time.Millisecond)
	sim.submit(workflow("gang", cyclamendyke.Step{Count: 3, Gang: true, Need: cores(16), Estimate: time.Second, MaxPerTarget: 1}))
	sim.run(time.Second)
	return sim
}

// TestShortRunsUseClaimedRoom submits short work while a gang waits for seconds for its last target;
// the short work must run on the targets that the gang claims.
func TestShortRunsUseClaimedRoom(t *testing.T) {
	is := is.New(t)
	sim := gangBehindLongRuns(t)
	sim.submit(workflow("short", cyclamendyke.Step{Count: 4, Need: cores(8), Estimate: time.Second}))
	sim.run(300 * time.Millisecond)
	is.Equal(total(sim.runsOf("short")), 4)
	sim.run(7 * time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 4)
	is.Equal(len(sim.violations), 0)
}

// TestLongRunsLeaveClaimedRoom submits work that would run past the time at which a gang can start;
// it must not take the targets that the gang claims.
func TestLongRunsLeaveClaimedRoom(t *testing.T) {
	is := is.New(t)
	sim := gangBehindLongRuns(t)
	sim.submit(workflow("longer", cyclamendyke.Step{Count: 2, Need: cores(16), Estimate: 7 * time.Second}))
	sim.run(6300 * time.Millisecond)
	is.Equal(len(sim.runsOf("gang")), 3)
	is.Equal(len(sim.violations), 0)
}
