package client

import (
	"cyclamendyke"
)

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	Op     string            // The command, such as "tables edit".
	Kind   cyclamendyke.Kind // Empty if only the exit code matters.
	Exit   ExitCode          // Overrides the exit code that goes with the kind, unless it is ExitDone.
	Reason cyclamendyke.Reason
	Detail string // What happened and what to do, in sentences.
	Err    error  // The cause, which may be nil.
}

// Error returns operation, detail and cause.
func (e *Error) Error() string {
	text := e.Op + ": " + e.Detail
	if e.Err != nil {
		text += " (" + e.Err.Error() + ")"
	}
	return text
}

// Is reports whether target is this error's kind.
func (e *Error) Is(target error) bool {
	kind, ok := target.(cyclamendyke.Kind)
	return ok && kind == e.Kind
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
