package size

import (
	"fmt"

	"cyclamendyke"
)

// Error says which amount could not be read; it matches its kind with errors.Is.
type Error struct {
	Op   string // "cores" or "memory".
	Kind cyclamendyke.Kind
	Text string // What was written.
	Want string // What can be written instead.
}

// Error returns the text that was written and what can be written instead.
func (e *Error) Error() string {
	return fmt.Sprintf("%q is not %s", e.Text, e.Want)
}

// Is reports whether target is this error's kind.
func (e *Error) Is(target error) bool {
	kind, ok := target.(cyclamendyke.Kind)
	return ok && kind == e.Kind
}
