package quota

import "cyclamendyke"

// baseError is embedded in Error, so that it has an operation, a kind and a cause and matches its kind.
type baseError = cyclamendyke.Error

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	baseError
}

func newError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "quota." + op, Kind: kind, Err: err}}
}
