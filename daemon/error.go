package daemon

import (
	"fmt"

	"cyclamendyke"
)

// Error is the error type of this package; it matches its Kind with errors.Is.
type Error struct {
	Op   string
	Kind cyclamendyke.Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("daemon.%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("daemon.%s: %s: %v", e.Op, e.Kind, e.Err)
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
