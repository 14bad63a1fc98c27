package once

import "cyclamendyke"

type baseError = cyclamendyke.Error

// Error is the error type of this package; errors.Is matches it against the kinds of the root package.
type Error struct {
	baseError
}

func newError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "once." + op, Kind: kind, Err: err}}
}
