package vmlist

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestCanceledListing cancels a listing; callers must see the cancellation behind KindUnavailable.
func TestCanceledListing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var dials atomic.Int32
	lister := New(Config{
		Addresses: []string{"192.0.2.1:1", "192.0.2.2:1"},
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials.Add(1)
			cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	defer lister.Close()
	_, err := lister.ListVMs(ctx, "z")
	is.True(errors.Is(err, cyclamendyke.KindUnavailable))
	is.True(errors.Is(err, context.Canceled))
	is.Equal(dials.Load(), int32(1))
}
