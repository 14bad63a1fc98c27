package indexset

import "cyclamendyke"

// baseError carries operation, kind and cause, and matches by kind.
type baseError = cyclamendyke.Error

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	baseError
}

// NewError returns an error of the named operation; err is the cause and may be nil.
func NewError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "indexset." + op, Kind: kind, Err: err}}
}
