package quota

import "cyclamendyke"

// fault is embedded in Error, so that it has an operation, a kind and a cause and matches its kind.
type fault = cyclamendyke.Error

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	fault
}

func newError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{fault{Op: "quota." + op, Kind: kind, Err: err}}
}
