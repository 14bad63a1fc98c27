package size

import (
	"fmt"

	"cyclamendyke"
)

// Error describes an amount that could not be parsed; it matches its kind with errors.Is.
type Error struct {
	Op   string // "cores" or "memory".
	Kind cyclamendyke.Kind
	Text string // The text that was parsed.
	Want string // Describes the accepted syntax.
}

// Error returns the text that was parsed and the accepted syntax.
func (e *Error) Error() string {
	return fmt.Sprintf("%q is not %s", e.Text, e.Want)
}

// Is reports whether target is this error's kind.
func (e *Error) Is(target error) bool {
	kind, ok := target.(cyclamendyke.Kind)
	return ok && kind == e.Kind
}
