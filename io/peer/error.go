package peer

import (
	"cyclamendyke"
	"cyclamendyke/io/internal/rpccode"
)

// KindNotScheduler says that the peer does not hold its zone's scheduler role and has accepted nothing.
const KindNotScheduler cyclamendyke.Kind = "not the zone's scheduler"

// baseError carries operation, kind and cause, and compares by kind.
type baseError = cyclamendyke.Error

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	baseError
}

// NewError returns an error of the named operation; err is the cause and may be nil.
func NewError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "peer." + op, Kind: kind, Err: err}}
}

// codes are the application codes of the inner protocol.
var codes = rpccode.Codes{
	KindNotScheduler:          -32001,
	cyclamendyke.KindNotFound: -32002,
	cyclamendyke.KindConflict: -32003,
}

// callError classifies what a call over a live connection returned.
func callError(op string, err error) error {
	if err == nil {
		return nil
	}
	kind, cause := codes.Decode(err)
	return NewError(op, kind, cause)
}
