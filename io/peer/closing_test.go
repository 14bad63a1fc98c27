package peer

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/matryer/is"

	"cyclamendyke"
)

// heartbeatHandler answers heartbeats immediately and supports no other call.
type heartbeatHandler struct{ Handler }

func (heartbeatHandler) Heartbeat(context.Context, Heartbeat) (HeartbeatReply, error) {
	return HeartbeatReply{}, nil
}

// TestCloseUnderLoad guards against a panic in Close, which jrpc2 raises if a connection's server is
// stopped while requests arrive.
func TestCloseUnderLoad(t *testing.T) {
	const rounds, peers = 100, 8
	is := is.New(t)
	for range rounds {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := NewServer(ServerConfig{Listener: listener, Handler: heartbeatHandler{}, Clock: stubClock{}})
		var answered, callers sync.WaitGroup
		answered.Add(peers)
		for range peers {
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			client := jrpc2.NewClient(channel.Line(conn, conn), nil)
			callers.Go(func() {
				var once sync.Once
				for {
					_, err := client.Call(context.Background(), methodHeartbeat, nil)
					once.Do(answered.Done)
					if err != nil {
						return
					}
				}
			})
		}
		answered.Wait()
		server.Close()
		callers.Wait()
	}
}

// stubClock always returns the zero timestamp and accepts every reading.
type stubClock struct{}

func (stubClock) Now() cyclamendyke.Timestamp         { return cyclamendyke.Timestamp{} }
func (stubClock) Observe(cyclamendyke.Timestamp) bool { return true }
