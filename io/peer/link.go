package peer

import (
	"context"
	"errors"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"

	"cyclamendyke"
)

var errClosed = errors.New("the link is closed")

// Dial opens a connection to the IP address and port of a peer.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// link maintains the connection to one peer and reconnects if it is lost.
type link struct {
	member      cyclamendyke.Member
	dial        Dial
	clock       Clock
	dialTimeout time.Duration

	mu         sync.Mutex
	client     *jrpc2.Client
	alive      bool                      // The last heartbeat was answered.
	closed     bool                      // The member was removed or the pool closed; no connection is opened any more.
	cancel     context.CancelFunc        // Stops the heartbeats.
	sendNow    chan struct{}             // Triggers a heartbeat before the interval has passed.
	ackedState *cyclamendyke.MemberState // The state that the peer acknowledged; used only by the heartbeat goroutine.
}

// connect returns the open connection or dials a new one.
func (l *link) connect(ctx context.Context) (*jrpc2.Client, error) {
	l.mu.Lock()
	client := l.client
	l.mu.Unlock()
	if client != nil && !client.IsStopped() {
		return client, nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.dialTimeout)
	defer cancel()
	conn, err := l.dial(ctx, l.member.Peer)
	if err != nil {
		return nil, NewError("dial", cyclamendyke.KindUnavailable, err)
	}
	return l.install(jrpc2.NewClient(channel.Line(conn, conn), nil))
}

// install stores the fresh connection, or closes it if a concurrent call has already connected or
// the link is closed.
func (l *link) install(fresh *jrpc2.Client) (*jrpc2.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = fresh.Close()
		return nil, NewError("dial", cyclamendyke.KindUnavailable, errClosed)
	}
	if l.client != nil && !l.client.IsStopped() {
		_ = fresh.Close()
		return l.client, nil
	}
	l.client = fresh
	return fresh, nil
}

// close closes the connection for good.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.drop()
}

// drop closes the connection and thereby aborts its calls in progress.
func (l *link) drop() {
	l.mu.Lock()
	client := l.client
	l.client = nil
	l.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// call makes one call over l; KindUnavailable means that the request was not sent.
func call[P, R any](ctx context.Context, l *link, method string, params P) (R, error) {
	var answer message[R]
	client, err := l.connect(ctx)
	if err != nil {
		return answer.Body, err
	}
	err = client.CallResult(ctx, method, message[P]{At: l.clock.Now(), Body: params}, &answer)
	if err != nil {
		return answer.Body, decodeError(method, err)
	}
	l.clock.Observe(answer.At)
	return answer.Body, nil
}

// sendHeartbeat sends a heartbeat, and another with the state if the peer requests it; if they fail,
// it retries once on a new connection. It returns the reply and when the last attempt started.
func (l *link) sendHeartbeat(ctx context.Context, state cyclamendyke.MemberState, timeout time.Duration) (HeartbeatReply, time.Time, error) {
	sent := time.Now()
	reply, err := l.sendHeartbeatOnce(ctx, state, timeout)
	if err == nil && reply.NeedsState {
		reply, err = l.sendHeartbeatOnce(ctx, state, timeout)
	}
	if err == nil || ctx.Err() != nil {
		return reply, sent, err
	}
	l.drop()
	sent = time.Now()
	reply, err = l.sendHeartbeatOnce(ctx, state, timeout)
	return reply, sent, err
}

// sendHeartbeatOnce sends one heartbeat, with the state only if it differs from the acknowledged one.
func (l *link) sendHeartbeatOnce(ctx context.Context, state cyclamendyke.MemberState, timeout time.Duration) (HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	heartbeat := Heartbeat{Member: state.Member.Name, StoreAge: state.StoreAge}
	state.StoreAge = 0
	if !reflect.DeepEqual(l.ackedState, &state) {
		heartbeat.State = &state
	}
	reply, err := call[Heartbeat, HeartbeatReply](ctx, l, methodHeartbeat, heartbeat)
	switch {
	case err != nil || reply.NeedsState:
		l.ackedState = nil
	case heartbeat.State != nil:
		l.ackedState = &state
	}
	return reply, err
}

// setAlive records whether the peer is alive and reports whether that changed.
func (l *link) setAlive(alive bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.alive != alive
	l.alive = alive
	return changed
}

func (l *link) isAlive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive
}
