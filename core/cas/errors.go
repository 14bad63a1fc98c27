package cas

import "cyclamendyke"

type fault = cyclamendyke.Error

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	fault
}

func newError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{fault{Op: "cas." + op, Kind: kind, Err: err}}
}
