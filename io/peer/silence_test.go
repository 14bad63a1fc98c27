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

// silentConn is a connection that something between its ends may lose track of.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

// Write drops what is sent once the connection is silent.
func (c *silentConn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// silencer opens connections that it can make silent.
type silencer struct {
	mu    sync.Mutex
	conns []*silentConn
	down  atomic.Bool // New connections fail as well.
}

func (s *silencer) dial(ctx context.Context, address string) (net.Conn, error) {
	if s.down.Load() {
		return nil, errors.New("no route")
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	silent := &silentConn{Conn: conn}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, silent)
	return silent, nil
}

func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.silent.Store(true)
	}
}

// blockingHandler answers heartbeats; submissions of the request "held" wait until they are cancelled.
type blockingHandler struct{ submitted chan cyclamendyke.RequestID }

func (blockingHandler) Heartbeat(context.Context, Beat) (ViewState, error) {
	return ViewState{KeysRevision: 7}, nil
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

func (blockingHandler) Watched(context.Context) (config.Copy, error) {
	return config.Copy{Revision: 9}, nil
}

func (blockingHandler) Workers(context.Context) ([]cyclamendyke.WorkerState, error) {
	return nil, errors.New("broken")
}

// pair is a pool connected to a server through a silencer.
type pair struct {
	pool     *Pool
	network  *silencer
	handler  blockingHandler
	verdicts chan bool
}

func newPair(t *testing.T) *pair {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &pair{
		network:  &silencer{},
		handler:  blockingHandler{submitted: make(chan cyclamendyke.RequestID, 8)},
		verdicts: make(chan bool, 64),
	}
	server := NewServer(ServerConfig{Listener: listener, Handler: p.handler, Clock: timeline.NewClock(timeline.ClockConfig{})})
	p.pool = NewPool(PoolConfig{
		Self:              "a",
		Clock:             timeline.NewClock(timeline.ClockConfig{}),
		State:             func() cyclamendyke.MemberState { return cyclamendyke.MemberState{} },
		OnView:            func(cyclamendyke.Member, time.Time, ViewState) {},
		OnVerdict:         func(_ cyclamendyke.Member, alive bool) { p.verdicts <- alive },
		Dial:              p.network.dial,
		HeartbeatInterval: 20 * time.Millisecond,
		HeartbeatTimeout:  500 * time.Millisecond,
	})
	t.Cleanup(server.Close)
	t.Cleanup(p.pool.Close)
	p.pool.SetMembers([]cyclamendyke.Member{{Name: "a", Peer: "192.0.2.1:1"}, {Name: "b", Peer: listener.Addr().String()}})
	if alive := <-p.verdicts; !alive {
		t.Fatal("the first heartbeat failed")
	}
	return p
}

// TestSilentConnection loses a connection without a word: calls on it are in doubt, the peer is not lost, and new calls pass.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	held := make(chan error, 1)
	go func() {
		_, err := p.pool.Submit(t.Context(), "b", cyclamendyke.Job{Request: "held"})
		held <- err
	}()
	is.Equal(<-p.handler.submitted, cyclamendyke.RequestID("held"))
	p.network.silence()
	is.True(errors.Is(<-held, cyclamendyke.KindUnknown)) // the call in progress may have taken effect

	outcome, err := p.pool.Submit(t.Context(), "b", cyclamendyke.Job{Request: "next"})
	is.NoErr(err) // a fresh connection carries the next call
	is.Equal(outcome.Request, cyclamendyke.RequestID("next"))
	is.True(p.pool.Alive("b"))
	is.Equal(len(p.verdicts), 0) // the peer was never declared lost
}

// TestLostPeer declares a peer lost only after a fresh connection has failed too, and back once it answers.
func TestLostPeer(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.network.down.Store(true)
	p.network.silence()
	is.True(!<-p.verdicts)
	_, err := p.pool.Submit(t.Context(), "b", cyclamendyke.Job{Request: "unsent"})
	is.True(errors.Is(err, cyclamendyke.KindUnavailable)) // certainly not sent
	p.network.down.Store(false)
	is.True(<-p.verdicts)
}

// TestErrorKinds carries each kind of error over the wire.
func TestErrorKinds(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	_, err := p.pool.Status(t.Context(), "b", "x")
	is.True(errors.Is(err, cyclamendyke.KindNotFound))
	_, err = p.pool.Cancel(t.Context(), "b", "x")
	is.True(errors.Is(err, KindNotScheduler))
	_, err = p.pool.Workers(t.Context(), "b")
	is.True(errors.Is(err, cyclamendyke.KindUnknown))
	_, err = p.pool.Workers(t.Context(), "nobody")
	is.True(errors.Is(err, cyclamendyke.KindUnavailable))
	copied, err := p.pool.Watched(t.Context(), "b")
	is.NoErr(err)
	is.Equal(copied.Revision, cyclamendyke.Revision(9))
}
