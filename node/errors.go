package node

import "cyclamendyke"

// baseError is an alias because an embedded field named Error would hide the method Error.
type baseError = cyclamendyke.Error

// Error is the error type of this package; errors.Is(err, kind) reports whether it has that kind.
type Error struct {
	baseError
}

// NewError returns an error of the named operation; err is the cause and may be nil.
func NewError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "node." + op, Kind: kind, Err: err}}
}
