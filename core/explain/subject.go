package explain

import (
	"fmt"
	"strings"

	"cyclamendyke"
)

// workflowDigits is the length of a workflow identifier.
const workflowDigits = 16

// Subject is what is to be explained: a workflow, or one of its tasks.
type Subject struct {
	Workflow cyclamendyke.WorkflowID
	Task     string // The task's full name; empty for the whole workflow.
	step     string // The name of the task's step.
}

// ParseSubject parses a workflow identifier or a task name.
func ParseSubject(text string) (Subject, error) {
	workflow, _, isTask := strings.Cut(text, ".")
	subject := Subject{Workflow: cyclamendyke.WorkflowID(workflow)}
	if len(workflow) != workflowDigits || strings.Trim(workflow, "0123456789abcdefABCDEF") != "" {
		return Subject{}, newSubjectError(text)
	}
	if !isTask {
		return subject, nil
	}
	name, err := cyclamendyke.ParseTaskName(text)
	if err != nil || name.String() != text || name.Occurrence < 0 || name.Step < 0 || name.Index < 0 {
		return Subject{}, newSubjectError(text)
	}
	subject.Task = text
	subject.step = cyclamendyke.StepName{Workflow: name.Workflow, Occurrence: name.Occurrence, Step: name.Step}.String()
	return subject, nil
}

func newSubjectError(text string) error {
	return &Error{
		Op: "subject.parse", Kind: cyclamendyke.KindInvalid,
		Text: fmt.Sprintf("%q is neither a workflow, %d hexadecimal digits, nor a task, such as 11e2a8e0f60cc382.0.0.3", text, workflowDigits),
	}
}

// String returns the text that ParseSubject accepts.
func (s Subject) String() string {
	if s.Task != "" {
		return s.Task
	}
	return string(s.Workflow)
}

// matches reports whether a record is about the subject, about the workflow or step of a task, or
// about a run that was preempted for it.
func (s Subject) matches(record *cyclamendyke.LogRecord) bool {
	if s.matchesName(record.Task) || s.matchesName(strings.TrimPrefix(record.Reason, preemptedFor)) {
		return true
	}
	return record.Task == "" && record.Workflow == s.Workflow
}

// preemptedFor is in front of the step for which a run was preempted.
const preemptedFor = "for "

func (s Subject) matchesName(name string) bool {
	workflow, _, _ := strings.Cut(name, ".")
	if cyclamendyke.WorkflowID(workflow) != s.Workflow {
		return false
	}
	return s.Task == "" || name == s.Task || name == s.step || name == workflow
}

// isPreemptedFor reports whether a record is about another task's run that was preempted for the subject.
func (s Subject) isPreemptedFor(record *cyclamendyke.LogRecord) bool {
	return !s.matchesName(record.Task) && s.matchesName(strings.TrimPrefix(record.Reason, preemptedFor))
}
