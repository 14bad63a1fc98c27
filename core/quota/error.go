package quota

import "cyclamendyke"

// fault carries operation, kind and cause, and compares by kind.
type fault = cyclamendyke.Error

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	fault
}

func newError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{fault{Op: "quota." + op, Kind: kind, Err: err}}
}
