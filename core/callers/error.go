package callers

import "cyclamendyke"

// baseError is an alias because an embedded field named Error would hide the method Error.
type baseError = cyclamendyke.Error

// Error is the error type of this package; errors.Is matches it with its kind.
type Error struct {
	baseError
}

// NewError returns an error of operation op; err is the cause and may be nil.
func NewError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "callers." + op, Kind: kind, Err: err}}
}
