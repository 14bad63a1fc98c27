package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/config"
	"cyclamendyke/core/timeline"
)

// blackholeConn simulates a network path that silently drops the packets of an open connection.
type blackholeConn struct {
	net.Conn
	blackholed atomic.Bool
}

// Write discards the data if the connection is blackholed.
func (c *blackholeConn) Write(data []byte) (int, error) {
	if c.blackholed.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// testNetwork dials connections and can blackhole all of them.
type testNetwork struct {
	mu        sync.Mutex
	conns     []*blackholeConn
	dialsFail atomic.Bool // New dials fail.
}

func (n *testNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	if n.dialsFail.Load() {
		return nil, errors.New("no route")
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	wrapped := &blackholeConn{Conn: conn}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, wrapped)
	return wrapped, nil
}

// blackhole makes all connections dialed so far drop what is written to them.
func (n *testNetwork) blackhole() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		conn.blackholed.Store(true)
	}
}

// blockingHandler answers calls, but blocks in Submit of the request "held" until the call is canceled.
type blockingHandler struct{ submitted chan cyclamendyke.RequestID }

func (blockingHandler) Heartbeat(context.Context, Heartbeat) (HeartbeatReply, error) {
	return HeartbeatReply{KeysRevision: 7}, nil
}

func (h blockingHandler) Submit(ctx context.Context, job cyclamendyke.Job) (cyclamendyke.Outcome, error) {
	h.submitted <- job.Request
	if job.Request == "held" {
		<-ctx.Done()
	}
	return cyclamendyke.Outcome{Request: job.Request, Verdict: cyclamendyke.VerdictRan}, nil
}

func (blockingHandler) Status(context.Context, cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	return cyclamendyke.JobStatus{}, NewError("status", cyclamendyke.KindNotFound, nil)
}

func (blockingHandler) Cancel(context.Context, cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	return cyclamendyke.JobStatus{}, NewError("cancel", KindNotScheduler, nil)
}

func (blockingHandler) WatchedCopy(context.Context) (config.Copy, error) {
	return config.Copy{Revision: 9}, nil
}

func (blockingHandler) Workers(context.Context) ([]cyclamendyke.WorkerState, error) {
	return nil, errors.New("broken")
}

// poolFixture is a pool connected to a server through a testNetwork.
type poolFixture struct {
	pool            *Pool
	network         *testNetwork
	handler         blockingHandler
	livenessChanges chan bool
}

func newPoolFixture(t *testing.T) *poolFixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &poolFixture{
		network:         &testNetwork{},
		handler:         blockingHandler{submitted: make(chan cyclamendyke.RequestID, 8)},
		livenessChanges: make(chan bool, 64),
	}
	server := NewServer(ServerConfig{Listener: listener, Handler: p.handler, Clock: timeline.NewClock(timeline.ClockConfig{})})
	p.pool = NewPool(PoolConfig{
		Self:              "a",
		Clock:             timeline.NewClock(timeline.ClockConfig{}),
		State:             func() cyclamendyke.MemberState { return cyclamendyke.MemberState{} },
		OnHeartbeatReply:  func(cyclamendyke.Member, time.Time, HeartbeatReply) {},
		OnLivenessChange:  func(_ cyclamendyke.Member, alive bool) { p.livenessChanges <- alive },
		Dial:              p.network.dial,
		HeartbeatInterval: 20 * time.Millisecond,
		HeartbeatTimeout:  500 * time.Millisecond,
	})
	t.Cleanup(server.Close)
	t.Cleanup(p.pool.Close)
	p.pool.SetMembers([]cyclamendyke.Member{{Name: "a", Peer: "192.0.2.1:1"}, {Name: "b", Peer: listener.Addr().String()}})
	if alive := <-p.livenessChanges; !alive {
		t.Fatal("the first heartbeat failed")
	}
	return p
}

// TestBlackholedConnection guards against declaring a peer lost because one connection is blackholed:
// the call in progress fails with KindUnknown, and later calls succeed on a new connection.
func TestBlackholedConnection(t *testing.T) {
	is := is.New(t)
	p := newPoolFixture(t)
	submitErr := make(chan error, 1)
	go func() {
		_, err := p.pool.Submit(t.Context(), "b", cyclamendyke.Job{Request: "held"})
		submitErr <- err
	}()
	is.Equal(<-p.handler.submitted, cyclamendyke.RequestID("held"))
	p.network.blackhole()
	is.True(errors.Is(<-submitErr, cyclamendyke.KindUnknown)) // the call in progress may have taken effect

	outcome, err := p.pool.Submit(t.Context(), "b", cyclamendyke.Job{Request: "next"})
	is.NoErr(err) // the next call uses a new connection
	is.Equal(outcome.Request, cyclamendyke.RequestID("next"))
	is.True(p.pool.Alive("b"))
	is.Equal(len(p.livenessChanges), 0) // the peer was never declared lost
}

// TestLostPeer checks that a peer is lost if new connections fail too, and alive again once it answers.
func TestLostPeer(t *testing.T) {
	is := is.New(t)
	p := newPoolFixture(t)
	p.network.dialsFail.Store(true)
	p.network.blackhole()
	is.True(!<-p.livenessChanges)
	_, err := p.pool.Submit(t.Context(), "b", cyclamendyke.Job{Request: "unsent"})
	is.True(errors.Is(err, cyclamendyke.KindUnavailable)) // the request was not sent
	p.network.dialsFail.Store(false)
	is.True(<-p.livenessChanges)
}

// TestErrorKinds checks which error kind a caller receives for each kind of handler error and for an
// unknown peer.
func TestErrorKinds(t *testing.T) {
	is := is.New(t)
	p := newPoolFixture(t)
	_, err := p.pool.Status(t.Context(), "b", "x")
	is.True(errors.Is(err, cyclamendyke.KindNotFound))
	_, err = p.pool.Cancel(t.Context(), "b", "x")
	is.True(errors.Is(err, KindNotScheduler))
	_, err = p.pool.Workers(t.Context(), "b")
	is.True(errors.Is(err, cyclamendyke.KindUnknown))
	_, err = p.pool.Workers(t.Context(), "nobody")
	is.True(errors.Is(err, cyclamendyke.KindUnavailable))
	watched, err := p.pool.WatchedCopy(t.Context(), "b")
	is.NoErr(err)
	is.Equal(watched.Revision, cyclamendyke.Revision(9))
}
