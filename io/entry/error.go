package entry

import (
	"errors"
	"fmt"

	"cyclamendyke"
)

// ErrDryRun is the cause of the error that DryRun returns for a request that it did not send.
var ErrDryRun = errors.New("dry run")

// Error is the error type of this package; errors.Is matches it with its kind.
type Error struct {
	Op   string            // Method, address and path of the call.
	Kind cyclamendyke.Kind // KindUnavailable if the call cannot have taken effect, else KindUnknown.
	Err  error             // The cause.
}

// Error returns the operation, the kind and the cause.
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

func newError(request cyclamendyke.EntryRequest, kind cyclamendyke.Kind, err error) *Error {
	return &Error{
		Op:   request.Method + " http://" + request.Address + request.Path,
		Kind: kind,
		Err:  err,
	}
}
