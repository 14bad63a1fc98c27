package member

import (
	"cyclamendyke"
	"cyclamendyke/io/internal/rpccode"
)

// KindNotScheduler says that the member is not the scheduler and has done nothing.
const KindNotScheduler cyclamendyke.Kind = "not the scheduler"

// baseError carries operation, kind and cause, and compares by kind.
type baseError = cyclamendyke.Error

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	baseError
}

// NewError returns an error of the named operation; err is the cause and may be nil.
func NewError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "member." + op, Kind: kind, Err: err}}
}

// codes are the codes that stand for kinds of error on the wire.
var codes = rpccode.Codes{
	KindNotScheduler:             -32001,
	cyclamendyke.KindNotFound:    -32002,
	cyclamendyke.KindUnavailable: -32003,
	cyclamendyke.KindUnknown:     -32004,
	cyclamendyke.KindLimited:     -32005,
}

// callError classifies what a call returned.
func callError(op string, err error) error {
	kind, cause := codes.Decode(err)
	return NewError(op, kind, cause)
}
