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

// closingHandler answers heartbeats at once.
type closingHandler struct{ Handler }

func (closingHandler) Heartbeat(context.Context, Beat) (ViewState, error) {
	return ViewState{}, nil
}

// TestCloseUnderLoad closes a server whose peers go on sending, many times over.
func TestCloseUnderLoad(t *testing.T) {
	const rounds, peers = 100, 8
	is := is.New(t)
	for range rounds {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := NewServer(ServerConfig{Listener: listener, Handler: closingHandler{}, Clock: tickingClock{}})
		var answered, calling sync.WaitGroup
		answered.Add(peers)
		for range peers {
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			client := jrpc2.NewClient(channel.Line(conn, conn), nil)
			calling.Go(func() {
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
		calling.Wait()
	}
}

// tickingClock accepts every reading.
type tickingClock struct{}

func (tickingClock) Now() cyclamendyke.Timestamp         { return cyclamendyke.Timestamp{} }
func (tickingClock) Observe(cyclamendyke.Timestamp) bool { return true }
