package backlog

import "cyclamendyke"

// The memory that parts of a workflow take in a scheduler, in bytes.
const (
	workflowBytes   = 3000
	stepBytes       = 260
	dependencyBytes = 20
	taskBytes       = 1 // Of the widest step, since one step may always be open.
)

// Footprint estimates the memory in bytes that a workflow takes in a scheduler before its steps and occurrences are released: that of
// these is bounded by the scheduler, but for one step.
func Footprint(w *cyclamendyke.Workflow) int64 {
	bytes, widest := int64(workflowBytes+len(w.Spec)), 0
	for i := range w.Steps {
		step := &w.Steps[i]
		bytes += int64(stepBytes + dependencyBytes*len(step.After) + len(step.Label) + len(step.Rack) + len(step.Image))
		widest = max(widest, step.Count)
	}
	return bytes + int64(taskBytes*widest)
}
