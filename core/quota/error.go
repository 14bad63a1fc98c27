package quota

import (
	"fmt"

	"cyclamendyke"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind cyclamendyke.Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("quota.%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Is reports whether target is this error's kind.
func (e *Error) Is(target error) bool {
	return target == e.Kind
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
