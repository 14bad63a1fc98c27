package rpccode

import (
	"context"
	"errors"
	"testing"

	"github.com/creachadair/jrpc2"
	"github.com/matryer/is"

	"cyclamendyke"
)

// TestKindsSurvive encodes an error of each kind and reads its kind back.
func TestKindsSurvive(t *testing.T) {
	is := is.New(t)
	codes := Codes{cyclamendyke.KindNotFound: -32001, cyclamendyke.KindConflict: -32002}
	for kind := range codes {
		read, _ := codes.Decode(codes.Encode(&cyclamendyke.Error{Op: "x", Kind: kind}))
		is.Equal(read, kind)
	}
	unlisted := codes.Encode(&cyclamendyke.Error{Op: "x", Kind: cyclamendyke.KindLimited})
	read, _ := codes.Decode(unlisted)
	is.Equal(read, cyclamendyke.KindUnknown)
	read, _ = codes.Decode(jrpc2.Errorf(jrpc2.MethodNotFound, "no such method"))
	is.Equal(read, cyclamendyke.KindInvalid)
	_, cause := codes.Decode(errors.Join(errors.New("the call ended"), context.Canceled))
	is.Equal(cause, context.Canceled)
}
