package peer

import (
	"context"
	"errors"

	"github.com/creachadair/jrpc2"

	"cyclamendyke"
)

// KindNotScheduler says that the peer does not hold its zone's scheduler role and has accepted nothing.
const KindNotScheduler cyclamendyke.Kind = "not the zone's scheduler"

// fault carries operation, kind and cause, and compares by kind.
type fault = cyclamendyke.Error

// Error is the error type of this package; it matches its kind with errors.Is.
type Error struct {
	fault
}

// NewError returns an error of the named operation; err is the cause and may be nil.
func NewError(op string, kind cyclamendyke.Kind, err error) *Error {
	return &Error{fault{Op: "peer." + op, Kind: kind, Err: err}}
}

// The application codes of the inner protocol.
const (
	codeNotScheduler jrpc2.Code = -32001
	codeNotFound     jrpc2.Code = -32002
	codeConflict     jrpc2.Code = -32003
)

// kindOfCode maps a wire code to its kind.
func kindOfCode(code jrpc2.Code) (cyclamendyke.Kind, bool) {
	switch code {
	case codeNotScheduler:
		return KindNotScheduler, true
	case codeNotFound:
		return cyclamendyke.KindNotFound, true
	case codeConflict:
		return cyclamendyke.KindConflict, true
	case jrpc2.InvalidParams, jrpc2.MethodNotFound, jrpc2.InvalidRequest:
		return cyclamendyke.KindInvalid, true
	}
	return "", false
}

// wireError turns a handler's error into one that carries its code.
func wireError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, KindNotScheduler):
		return jrpc2.Errorf(codeNotScheduler, "%v", err)
	case errors.Is(err, cyclamendyke.KindNotFound):
		return jrpc2.Errorf(codeNotFound, "%v", err)
	case errors.Is(err, cyclamendyke.KindConflict):
		return jrpc2.Errorf(codeConflict, "%v", err)
	}
	return err
}

// callError classifies what a call over a live connection returned.
func callError(op string, err error) error {
	if err == nil {
		return nil
	}
	var answered *jrpc2.Error
	if errors.As(err, &answered) {
		if kind, ok := kindOfCode(answered.Code); ok {
			return NewError(op, kind, err)
		}
	}
	if errors.Is(err, context.Canceled) {
		return NewError(op, cyclamendyke.KindUnknown, context.Canceled)
	}
	return NewError(op, cyclamendyke.KindUnknown, err)
}
