package cas

import "cyclamendyke"

type baseError = cyclamendyke.Error

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	baseError
}

func newError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "cas." + op, Kind: kind, Err: err}}
}
