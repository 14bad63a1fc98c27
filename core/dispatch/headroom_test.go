package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/forecast"
)

// TestUrgentWorkFindsHeadroom submits more batch work than the fleet can run, whose tasks cannot be
// preempted, beside a steady load of urgent work; the urgent work must start at once, and the rest of
// the fleet must be used.
func TestUrgentWorkFindsHeadroom(t *testing.T) {
	is := is.New(t)
	sim := urgentAndBatch(t)
	sim.elect()
	late := 0
	for i := range 60 {
		if i >= 20 {
			sim.submit(batch(fmt.Sprint("batch-", i), cyclamendyke.Step{Count: 4, Need: cores(8), Estimate: 4 * time.Second}))
		}
		id := fmt.Sprint("urgent-", i)
		sim.submit(workflow(id, cyclamendyke.Step{Count: 1, Need: cores(8), Estimate: time.Second}))
		submitted := sim.now
		for sim.history[cyclamendyke.TaskName{Workflow: cyclamendyke.WorkflowID(id)}] == nil && sim.now < submitted+300*time.Millisecond {
			sim.run(10 * time.Millisecond)
		}
		if sim.now-submitted > 250*time.Millisecond {
			late++
		}
		sim.run(submitted + 300*time.Millisecond - sim.now)
	}
	is.True(late <= 3) // Of 60; the first ones come before there is anything to forecast from.
	running := 0
	for _, v := range sim.vms {
		running += len(v.runs)
	}
	is.True(running >= 14) // Of 20 slots.
	is.Equal(len(sim.violations), 0)
}

// TestBatchUsesAllRoomWithoutUrgentWork submits only batch work; it must fill the fleet.
func TestBatchUsesAllRoomWithoutUrgentWork(t *testing.T) {
	is := is.New(t)
	sim := urgentAndBatch(t)
	sim.elect()
	sim.submit(batch("batch", cyclamendyke.Step{Count: 20, Need: cores(8), Estimate: 4 * time.Second}))
	sim.run(time.Second)
	is.Equal(total(sim.runsOf("batch")), 20)
}

// TestHeadroomEndsWithUrgentWork fills the forecast with urgent work that then stops coming; batch work
// must get the room that was kept for it.
func TestHeadroomEndsWithUrgentWork(t *testing.T) {
	is := is.New(t)
	sim := urgentAndBatch(t)
	sim.elect()
	for i := range 30 {
		sim.submit(workflow(fmt.Sprint("urgent-", i), cyclamendyke.Step{Count: 2, Need: cores(8), Estimate: time.Second}))
		sim.run(300 * time.Millisecond)
	}
	sim.submit(batch("batch", cyclamendyke.Step{Count: 20, Need: cores(8), Estimate: 20 * time.Second}))
	sim.run(500 * time.Millisecond)
	is.True(total(sim.runsOf("batch")) < 20)
	sim.run(forecast.Window)
	is.Equal(total(sim.runsOf("batch")), 20)
	is.Equal(len(sim.violations), 0)
}
