package daemon

import (
	"cyclamendyke"
)

// baseError carries operation, kind and cause, and compares by kind.
type baseError = cyclamendyke.Error

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	baseError
}

// newError returns an error of the named operation; err is the cause and may be nil.
func newError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "daemon." + op, Kind: kind, Err: err}}
}
