package rpccode

import (
	"context"
	"errors"

	"github.com/creachadair/jrpc2"

	"cyclamendyke"
)

// Codes are the codes that stand for kinds of error in one protocol.
type Codes map[cyclamendyke.Kind]jrpc2.Code

// Encode gives a handler's error the code of its kind.
func (c Codes) Encode(err error) error {
	if err == nil {
		return nil
	}
	if code, ok := c[cyclamendyke.KindOf(err)]; ok {
		return jrpc2.Errorf(code, "%v", err)
	}
	return err
}

// Decode returns the kind and the cause of the error of a call over a live connection; KindUnknown means that the call may have been carried out.
func (c Codes) Decode(err error) (cyclamendyke.Kind, error) {
	var answered *jrpc2.Error
	if errors.As(err, &answered) {
		if kind, ok := c.kind(answered.Code); ok {
			return kind, err
		}
	}
	if errors.Is(err, context.Canceled) {
		err = context.Canceled
	}
	return cyclamendyke.KindUnknown, err
}

func (c Codes) kind(code jrpc2.Code) (cyclamendyke.Kind, bool) {
	switch code {
	case jrpc2.InvalidParams, jrpc2.MethodNotFound, jrpc2.InvalidRequest:
		return cyclamendyke.KindInvalid, true
	}
	for kind, known := range c {
		if known == code {
			return kind, true
		}
	}
	return "", false
}
