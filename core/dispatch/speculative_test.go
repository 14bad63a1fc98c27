package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestNoCopiesOfUnderestimatedStep lets all tasks of a step take six times their estimate while they
// report steady progress; no copy may take room for them, since it would take as long.
func TestNoCopiesOfUnderestimatedStep(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.runTime = func(cyclamendyke.TaskName, *vm) time.Duration { return 3 * time.Second }
	sim.elect()
	sim.submit(workflow("underestimated", cyclamendyke.Step{Count: 3, Speculative: true, Need: cores(4), Estimate: 500 * time.Millisecond}))
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 3)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(sim.violations), 0)
}

// TestCopyOfRunSlowerThanItsStep lets one task of an underestimated step run four times as long as the
// others; it gets a copy while it runs.
func TestCopyOfRunSlowerThanItsStep(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	first := true
	sim.runTime = func(name cyclamendyke.TaskName, _ *vm) time.Duration {
		if name.Index == 0 && first {
			first = false
			return 8 * time.Second
		}
		return 2 * time.Second
	}
	sim.elect()
	sim.submit(workflow("uneven", cyclamendyke.Step{Count: 3, Speculative: true, Need: cores(4), Estimate: 500 * time.Millisecond}))
	sim.run(6 * time.Second)
	is.Equal(sim.starts, 4)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(sim.violations), 0)
}

// copyOverhead is how much more work may be thrown away with copies of slow tasks than without.
const copyOverhead = 1.3

// TestCopiesWasteLittle plays a load whose estimates are far off, with the copies that its steps allow
// and without any; copies must not add much to the work that is thrown away.
func TestCopiesWasteLittle(t *testing.T) {
	play := func(speculative bool) *loadPlayer {
		load := readLoad(t, loadPath("fragments"))
		for i := range load.Queues {
			if !speculative {
				load.Queues[i].Speculative = 0
			}
		}
		p := newLoadPlayer(t, load)
		p.play()
		return p
	}
	with, without := play(true), play(false)
	if with.wasted > copyOverhead*without.wasted {
		t.Errorf("%.0f core-seconds thrown away with copies, %.0f without", with.wasted, without.wasted)
	}
}
