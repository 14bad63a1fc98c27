package rpccode

import (
	"context"
	"errors"
	"testing"

	"github.com/creachadair/jrpc2"
	"github.com/matryer/is"

	"cyclamendyke"
)

// TestKindsSurviveEncoding checks that a kind with a code is decoded as itself, a kind without a
// code as KindUnknown, and a cancelled call with context.Canceled as its cause.
func TestKindsSurviveEncoding(t *testing.T) {
	is := is.New(t)
	codes := Codes{cyclamendyke.KindNotFound: -32001, cyclamendyke.KindConflict: -32002}
	for kind := range codes {
		decoded, _ := codes.Decode(codes.Encode(&cyclamendyke.Error{Op: "x", Kind: kind}))
		is.Equal(decoded, kind)
	}
	unlisted := codes.Encode(&cyclamendyke.Error{Op: "x", Kind: cyclamendyke.KindLimited})
	decoded, _ := codes.Decode(unlisted)
	is.Equal(decoded, cyclamendyke.KindUnknown)
	decoded, _ = codes.Decode(jrpc2.Errorf(jrpc2.MethodNotFound, "no such method"))
	is.Equal(decoded, cyclamendyke.KindInvalid)
	_, cause := codes.Decode(errors.Join(errors.New("the call ended"), context.Canceled))
	is.Equal(cause, context.Canceled)
}
