package settings

import (
	"fmt"

	"cyclamendyke"
)

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	Op   string
	Kind cyclamendyke.Kind
	Err  error // The cause.
}

// Error returns operation, kind and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
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
