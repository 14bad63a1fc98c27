package cyclamendyke

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// WorkflowID identifies a workflow; its caller chooses it.
type WorkflowID string

// QueueName names a queue of the configuration in force.
type QueueName string

// Workflow is a job of one or more steps, as its caller handed it in.
type Workflow struct {
	ID       WorkflowID    `json:"id"`
	Team     TeamName      `json:"team"`
	Queue    QueueName     `json:"queue"`
	Spec     string        `json:"spec,omitempty"` // Opaque to the scheduler, handed to each task.
	Steps    []Step        `json:"steps"`
	Repeat   int           `json:"repeat,omitempty"` // Occurrences; zero for one that is due at once.
	First    time.Time     `json:"first,omitzero"`   // When occurrence 0 is due.
	Interval time.Duration `json:"interval-ns,omitempty"`
	Accepted time.Time     `json:"accepted"`
}

// Occurrences returns how many times the steps run.
func (w *Workflow) Occurrences() int {
	return max(1, w.Repeat)
}

// Step is a set of tasks that run alike.
type Step struct {
	Count         int           `json:"count"`
	Need          Resources     `json:"need"` // Of one task.
	Estimate      time.Duration `json:"estimate-ns,omitempty"`
	After         []int         `json:"after,omitempty"` // Earlier steps that must be done first.
	Gang          bool          `json:"gang,omitempty"`  // All tasks start and end together.
	SameRack      bool          `json:"same-rack,omitempty"`
	Label         string        `json:"label,omitempty"` // A label that the target must have.
	Rack          string        `json:"rack,omitempty"`  // Where the data is.
	MaxPerTarget  int           `json:"max-per-target,omitempty"`
	Checkpoints   bool          `json:"checkpoints,omitempty"`
	Speculative   bool          `json:"speculative,omitempty"`    // Copies may run beside each other.
	Lasting       bool          `json:"lasting,omitempty"`        // Runs until cancelled, restarted however it ends.
	Image         string        `json:"image,omitempty"`          // Tasks of one image behave alike.
	LatencyTarget time.Duration `json:"latency-ns,omitempty"`     // Bound on the tail of a lasting task's response times.
	Filler        bool          `json:"filler,omitempty"`         // Uses cores that others leave idle; its cores are not counted.
	MaxUnavail    int           `json:"max-unavailable,omitzero"` // Tasks that may be away at once for our own reasons.
}

// Reserved returns what one task counts against its target.
func (s *Step) Reserved() Resources {
	need := s.Need
	if s.Filler {
		need.Cores = 0
	}
	return need
}

// TaskName identifies one task of one occurrence of a workflow.
type TaskName struct {
	Workflow   WorkflowID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name with dots between its parts.
func (t TaskName) String() string {
	text, _ := t.MarshalText() // It never fails.
	return string(text)
}

// MarshalText writes the name as String does.
func (t TaskName) MarshalText() ([]byte, error) {
	text := []byte(t.Workflow)
	for _, number := range [...]int{t.Occurrence, t.Step, t.Index} {
		text = strconv.AppendInt(append(text, '.'), int64(number), 10)
	}
	return text, nil
}

// UnmarshalText reads what MarshalText writes.
func (t *TaskName) UnmarshalText(text []byte) error {
	name, err := ParseTaskName(string(text))
	*t = name
	return err
}

// ParseTaskName reads what String writes.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, &Error{Op: "task-name.parse", Kind: KindInvalid, Err: fmt.Errorf("%q has not four parts", text)}
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil {
			return TaskName{}, &Error{Op: "task-name.parse", Kind: KindInvalid, Err: err}
		}
		numbers[i] = number
	}
	return TaskName{WorkflowID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}

// StepName identifies one step of one occurrence.
type StepName struct {
	Workflow   WorkflowID `json:"workflow"`
	Occurrence int        `json:"occurrence"`
	Step       int        `json:"step"`
}

// String returns the name with dots between its parts.
func (s StepName) String() string {
	return fmt.Sprintf("%s.%d.%d", s.Workflow, s.Occurrence, s.Step)
}

// WorkflowState says how far a workflow is.
type WorkflowState string

// The states; the last three are final.
const (
	WorkflowQueued    WorkflowState = "queued"
	WorkflowRunning   WorkflowState = "running"
	WorkflowCompleted WorkflowState = "completed"
	WorkflowFailed    WorkflowState = "failed"
	WorkflowCancelled WorkflowState = "cancelled"
)

// IsFinal reports whether the state can no longer change.
func (s WorkflowState) IsFinal() bool {
	return s == WorkflowCompleted || s == WorkflowFailed || s == WorkflowCancelled
}
