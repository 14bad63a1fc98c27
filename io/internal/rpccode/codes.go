package rpccode

import (
	"context"
	"errors"

	"github.com/creachadair/jrpc2"

	"cyclamendyke"
)

// Codes maps error kinds to the JSON-RPC error codes of one protocol.
type Codes map[cyclamendyke.Kind]jrpc2.Code

// Encode converts err to a JSON-RPC error with the code of its kind, or returns it unchanged if its
// kind has no code.
func (c Codes) Encode(err error) error {
	if err == nil {
		return nil
	}
	if code, ok := c[cyclamendyke.KindOf(err)]; ok {
		return jrpc2.Errorf(code, "%v", err)
	}
	return err
}

// Decode returns the kind and the cause of an error from a call over an open connection;
// KindUnknown means that the call may have taken effect.
func (c Codes) Decode(err error) (cyclamendyke.Kind, error) {
	var rpcError *jrpc2.Error
	if errors.As(err, &rpcError) {
		if kind, ok := c.kindOf(rpcError.Code); ok {
			return kind, err
		}
	}
	if errors.Is(err, context.Canceled) {
		err = context.Canceled
	}
	return cyclamendyke.KindUnknown, err
}

func (c Codes) kindOf(code jrpc2.Code) (cyclamendyke.Kind, bool) {
	switch code {
	case jrpc2.InvalidParams, jrpc2.MethodNotFound, jrpc2.InvalidRequest:
		return cyclamendyke.KindInvalid, true
	}
	for kind, kindCode := range c {
		if kindCode == code {
			return kind, true
		}
	}
	return "", false
}
