package cyclamendyke

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// WorkflowID identifies a workflow; the caller chooses it.
type WorkflowID string

// QueueName names a queue of the current configuration.
type QueueName string

// Workflow is a job of one or more steps, as submitted by its caller.
type Workflow struct {
	ID         WorkflowID    `json:"id"`
	Team       TeamName      `json:"team"`
	Queue      QueueName     `json:"queue"`
	Spec       string        `json:"spec,omitempty"` // Opaque to the scheduler; passed to each task.
	Steps      []Step        `json:"steps"`
	Repeat     int           `json:"repeat,omitempty"` // Number of occurrences; zero for a single one that is due at once.
	First      time.Time     `json:"first,omitzero"`   // When occurrence 0 is due.
	Interval   time.Duration `json:"interval-ns,omitempty"`
	AcceptedAt time.Time     `json:"accepted"`
	// AfterEpoch is the last epoch whose scheduler must not start it, since the entry VM that stored it could not
	// reach that scheduler. Zero if any scheduler may.
	AfterEpoch uint64 `json:"after-epoch,omitempty"`
	// AsOf is the store's revision that the VM knew when the workflow arrived there; not stored.
	AsOf Revision `json:"as-of,omitempty"`
	// QueueSettings are those of its queue when it was accepted, for schedulers that find no such queue in the
	// configuration. Nil if an earlier version has stored it.
	QueueSettings *QueueSettings `json:"queue-settings,omitempty"`
}

// Occurrences returns how many times the steps run.
func (w *Workflow) Occurrences() int {
	return max(1, w.Repeat)
}

// MaxTasks limits the tasks of a workflow over all its occurrences, each of which costs memory.
const MaxTasks = 200_000

// Validate returns an error unless the workflow can be scheduled; it may be nil.
func (w *Workflow) Validate() error {
	if w == nil || len(w.Steps) == 0 {
		return newWorkflowError("workflow has no steps")
	}
	tasks, limit := 0, MaxTasks/w.Occurrences()
	for i, step := range w.Steps {
		if step.Count < 1 || step.Count > limit {
			return newWorkflowError("step %d has %d tasks", i, step.Count)
		}
		tasks += step.Count
		if need := step.Need; min(int64(need.Cores), int64(need.Memory), need.Accelerators) < 0 {
			return newWorkflowError("step %d needs a negative amount", i)
		}
		for _, dependency := range step.After {
			if dependency < 0 || dependency >= i {
				return newWorkflowError("step %d depends on step %d, which is not an earlier step", i, dependency)
			}
		}
	}
	if tasks > limit {
		return newWorkflowError("workflow has %d tasks in each of %d occurrences", tasks, w.Occurrences())
	}
	return nil
}

func newWorkflowError(format string, args ...any) error {
	return &Error{Op: "workflow.validate", Kind: KindInvalid, Err: fmt.Errorf(format, args...)}
}

// Step is a set of identical tasks.
type Step struct {
	Count          int           `json:"count"`
	Need           Resources     `json:"need"` // Resources of one task.
	Estimate       time.Duration `json:"estimate-ns,omitempty"`
	After          []int         `json:"after,omitempty"` // Indexes of earlier steps that must finish first.
	Gang           bool          `json:"gang,omitempty"`  // All tasks start and end together.
	SameRack       bool          `json:"same-rack,omitempty"`
	Label          string        `json:"label,omitempty"`          // A label that the target must have.
	Rack           string        `json:"rack,omitempty"`           // Rack that stores the data.
	MaxPerTarget   int           `json:"max-per-target,omitempty"` // Zero stands for no maximum.
	Checkpoints    bool          `json:"checkpoints,omitempty"`    // Tasks save checkpoints, from which a later run resumes.
	Speculative    bool          `json:"speculative,omitempty"`    // Several copies of a task may run concurrently.
	LongRunning    bool          `json:"lasting,omitempty"`        // Runs until cancelled; restarted whenever it ends.
	Image          string        `json:"image,omitempty"`          // Tasks with the same image behave alike.
	LatencyTarget  time.Duration `json:"latency-ns,omitempty"`     // Upper bound on a long-running task's tail latency.
	Filler         bool          `json:"filler,omitempty"`         // Runs on cores that other tasks leave idle and reserves none.
	MaxUnavailable int           `json:"max-unavailable,omitzero"` // How many tasks the scheduler itself may make unavailable at once.
}

// Reserved returns the resources that one task reserves on its target.
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
	text, _ := t.MarshalText() // MarshalText never fails.
	return string(text)
}

// MarshalText encodes the name in the format of String.
func (t TaskName) MarshalText() ([]byte, error) {
	text := []byte(t.Workflow)
	for _, number := range [...]int{t.Occurrence, t.Step, t.Index} {
		text = strconv.AppendInt(append(text, '.'), int64(number), 10)
	}
	return text, nil
}

// UnmarshalText decodes the format of MarshalText.
func (t *TaskName) UnmarshalText(text []byte) error {
	name, err := ParseTaskName(string(text))
	*t = name
	return err
}

// ParseTaskName parses the format of String.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, &Error{Op: "task-name.parse", Kind: KindInvalid, Err: fmt.Errorf("task name %q does not have four parts", text)}
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

// WorkflowState is the state of a workflow.
type WorkflowState string

// The workflow states; the last three are final.
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
