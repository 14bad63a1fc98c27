package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// layeredSteps returns steps of one task in layers, each step after all of the layer before.
func layeredSteps(layers, width int) []cyclamendyke.Step {
	steps := make([]cyclamendyke.Step, 0, layers*width)
	for layer := range layers {
		for range width {
			step := cyclamendyke.Step{Count: 1, Need: cores(1), Estimate: 20 * time.Millisecond}
			for before := range width {
				if layer > 0 {
					step.After = append(step.After, (layer-1)*width+before)
				}
			}
			steps = append(steps, step)
		}
	}
	return steps
}

// TestWorkflowOfManyPathsIsScheduled guards against work for each path through a workflow, of which this one has 6 to the power of 12.
func TestWorkflowOfManyPathsIsScheduled(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	sim.submit(workflow("layers", layeredSteps(12, 6)...))
	sim.submit(workflow("plain", cyclamendyke.Step{Count: 1, Need: cores(1), Estimate: time.Second}))
	sim.run(10 * time.Second)
	is.Equal(sim.status("layers"), cyclamendyke.WorkflowCompleted)
	is.Equal(sim.status("plain"), cyclamendyke.WorkflowCompleted)
	is.Equal(sim.starts, 12*6+1)
	is.Equal(len(sim.violations), 0)
}
