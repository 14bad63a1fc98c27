package client

import (
	"cyclamendyke"
)

// Error is an error of a command; errors.Is matches it with its Kind.
type Error struct {
	Op     string            // The command, such as "tables edit".
	Kind   cyclamendyke.Kind // May be empty if Exit is set.
	Exit   ExitCode          // Overrides the exit code of the kind, unless it is ExitOK.
	Reason cyclamendyke.Reason
	Detail string // What happened and what to do about it.
	Err    error  // The cause; may be nil.
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
