package progress

import (
	"cyclamendyke"
	"cyclamendyke/core/crash"
	"cyclamendyke/core/indexset"
)

// Workflow is the progress of a workflow that has not ended.
type Workflow struct {
	State cyclamendyke.WorkflowState `json:"state,omitempty"` // Set only by earlier versions, which stored final states here too.
	Steps []Step                     `json:"steps,omitempty"`
	Over  indexset.Ranges            `json:"over,omitzero"`        // Occurrences of which all steps are done, if they are too many for Steps.
	Open  []Occurrence               `json:"steps-done,omitempty"` // Occurrences that are not over, if their steps that are done are too many for Steps.
}

// DropCheckpoints makes the record shorter. Work is lost then, but nothing that is done.
func (w *Workflow) DropCheckpoints() {
	for i := range w.Steps {
		w.Steps[i].Checkpoints = nil
	}
}

// Occurrence names the steps of an occurrence that are done.
type Occurrence struct {
	Number int    `json:"k,omitempty"`
	Done   []byte `json:"done"` // As of indexset.Bits.
}

// Gang is the key of a gang's failed runs and crashes, which are those of the whole gang.
const Gang = -1

// Step is the progress of one step; a step without progress is left out.
type Step struct {
	Occurrence  int                    `json:"k,omitempty"`
	Step        int                    `json:"s,omitempty"`
	AllDone     bool                   `json:"all,omitempty"`
	Done        []int                  `json:"done,omitempty"`
	DoneBits    []byte                 `json:"done-bits,omitempty"` // As of indexset.Bits; replaces Done if that is long.
	FailedRuns  map[int][]int64        `json:"fails,omitempty"`     // By task, or under Gang.
	Checkpoints map[int]string         `json:"saved,omitempty"`
	Crashes     map[int][]crash.Record `json:"crashes,omitempty"` // By task, or under Gang.
}

// IsEmpty reports whether the step has no progress.
func (s *Step) IsEmpty() bool {
	return !s.AllDone && len(s.Done)+len(s.DoneBits)+len(s.FailedRuns)+len(s.Checkpoints)+len(s.Crashes) == 0
}

// SetCheckpoint sets the checkpoint of a task, unless it has none.
func (s *Step) SetCheckpoint(task int, checkpoint string) {
	if checkpoint != "" {
		set(&s.Checkpoints, task, checkpoint)
	}
}

// SetCrashes sets the crashes of a task, unless there are none.
func (s *Step) SetCrashes(task int, crashes []crash.Record) {
	if len(crashes) > 0 {
		set(&s.Crashes, task, crashes)
	}
}

// SetFailedRuns sets the numbers of the failed runs of a task, unless there are none.
func (s *Step) SetFailedRuns(task int, runs []int64) {
	if len(runs) > 0 {
		set(&s.FailedRuns, task, runs)
	}
}

// set sets a value of a map, which it makes if there is none.
func set[V any](values *map[int]V, key int, value V) {
	if *values == nil {
		*values = map[int]V{}
	}
	(*values)[key] = value
}
