package daemon

import (
	"cyclamendyke"
)

// baseError is an alias because an embedded field named Error would hide the method Error.
type baseError = cyclamendyke.Error

// Error is the error type of this package; errors.Is matches it with its kind.
type Error struct {
	baseError
}

// newError returns an error of the named operation; err is the cause and may be nil.
func newError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "daemon." + op, Kind: kind, Err: err}}
}
