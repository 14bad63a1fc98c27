package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestUrgentStepAsksBeforeItPreempts lets batch work fill the targets on which an urgent step has asked
// for advice before its release; the others are free. The step must ask about these and stop nothing.
func TestUrgentStepAsksBeforeItPreempts(t *testing.T) {
	is := is.New(t)
	sim := urgentAndBatch(t)
	sim.fleet.Queues[0].Advice.PerTarget = 500 * time.Microsecond // So that naming all targets is not worth it.
	for i := range 60 {
		sim.addVM(cyclamendyke.Target{ID: cyclamendyke.TargetID(fmt.Sprint("added-", i)), Service: "s", Capacity: cores(16)})
	}
	urgentStep := cyclamendyke.StepName{Workflow: "urgent", Step: 1}
	asked := map[cyclamendyke.TargetID]bool{}
	sim.adviceAllows = func(step cyclamendyke.StepName, id cyclamendyke.TargetID) bool {
		if _, submitted := sim.workflows["batch"]; step == urgentStep && !submitted {
			asked[id] = true
		}
		return step.Workflow != "batch" || asked[id]
	}
	sim.elect()
	sim.submit(workflow("urgent",
		cyclamendyke.Step{Count: 1, Need: cores(8), Estimate: time.Second},
		cyclamendyke.Step{Count: 2, Need: cores(16), Estimate: time.Second, After: []int{0}},
	))
	sim.run(500 * time.Millisecond)
	is.True(len(asked) > 0 && len(asked) < len(sim.vms)-2)
	sim.submit(batch("batch", cyclamendyke.Step{Count: len(asked), Need: cores(16), Checkpoints: true, Estimate: 10 * time.Second}))
	sim.run(time.Second)
	is.Equal(sim.stops, 0)
	is.Equal(sim.history[cyclamendyke.TaskName{Workflow: "urgent", Step: 1}].running, 1)
	is.Equal(len(sim.violations), 0)
}
