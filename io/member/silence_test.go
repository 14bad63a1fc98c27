package member

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke/standin/silent"
)

// storeCheckHandler answers checks of the store.
type storeCheckHandler struct{ Handler }

func (storeCheckHandler) CheckStore(context.Context) error { return nil }

// TestSilentConnectionBetweenMembersCostsTwoCalls silences a member's connections; the second call must be answered.
func TestSilentConnectionBetweenMembersCostsTwoCalls(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &silent.Listener{Listener: tcp}
	server := NewServer(ServerConfig{Listener: listener, Handler: storeCheckHandler{}})
	defer server.Close()
	client := NewClient()
	defer client.Close()
	check := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return client.CheckStore(ctx, tcp.Addr().String())
	}
	is.NoErr(check(10 * time.Second))
	is.Equal(listener.Silence(), 1)
	is.True(check(200*time.Millisecond) != nil)
	is.NoErr(check(10 * time.Second))
}
