package member

import (
	"github.com/creachadair/jrpc2"

	"cyclamendyke"
	"cyclamendyke/io/internal/rpccode"
)

// KindNotScheduler means that the member is not the scheduler and did not execute the call.
const KindNotScheduler cyclamendyke.Kind = "not the scheduler"

// baseError is an alias because an embedded field named Error would hide the method Error.
type baseError = cyclamendyke.Error

// Error is the error type of this package; errors.Is matches it with its kind.
type Error struct {
	baseError
}

// NewError returns an error of operation op; err is the cause and may be nil.
func NewError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{baseError{Op: "member." + op, Kind: kind, Err: err}}
}

// errorCodes maps error kinds to JSON-RPC error codes.
var errorCodes = rpccode.Codes{
	KindNotScheduler:             -32001,
	cyclamendyke.KindNotFound:    -32002,
	cyclamendyke.KindUnavailable: -32003,
	cyclamendyke.KindUnknown:     -32004,
	cyclamendyke.KindLimited:     -32005,
	cyclamendyke.KindConflict:    -32006,
	cyclamendyke.KindInvalid:     jrpc2.InvalidParams,
}

// decodeError converts the error of a call to an Error.
func decodeError(op string, err error) error {
	kind, cause := errorCodes.Decode(err)
	return NewError(op, kind, cause)
}
