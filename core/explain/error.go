package explain

import (
	"fmt"

	"cyclamendyke"
)

// Error is an error of this package; errors.Is matches it with its Kind.
type Error struct {
	Op   string
	Kind cyclamendyke.Kind
	Text string // What is wrong and what to do about it.
}

// Error returns operation and text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Op, e.Text)
}

// Is reports whether target is this error's kind.
func (e *Error) Is(target error) bool {
	kind, ok := target.(cyclamendyke.Kind)
	return ok && kind == e.Kind
}
