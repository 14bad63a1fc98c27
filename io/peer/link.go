package peer

import (
	"context"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"

	"cyclamendyke"
)

// Dial opens a connection to the IP address and port of a peer.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// link is the long-lived connection to one peer.
type link struct {
	member      cyclamendyke.Member
	dial        Dial
	clock       Clock
	dialTimeout time.Duration

	mu     sync.Mutex
	client *jrpc2.Client
	alive  bool // The last heartbeat was answered.
	cancel context.CancelFunc
	now    chan struct{}             // Asks for a heartbeat before its turn.
	told   *cyclamendyke.MemberState // What the peer knows; used by the heartbeats' goroutine alone.
}

// connect returns the open connection or dials a fresh one.
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
	return l.install(jrpc2.NewClient(channel.Line(conn, conn), nil)), nil
}

// install keeps the fresh connection unless another call was faster.
func (l *link) install(fresh *jrpc2.Client) *jrpc2.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && !l.client.IsStopped() {
		_ = fresh.Close()
		return l.client
	}
	l.client = fresh
	return fresh
}

// drop closes the connection, which ends the calls in progress on it.
func (l *link) drop() {
	l.mu.Lock()
	client := l.client
	l.client = nil
	l.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// call makes one call over l; an error of KindUnavailable means that it was not sent.
func call[P, R any](ctx context.Context, l *link, method string, params P) (R, error) {
	var answer message[R]
	client, err := l.connect(ctx)
	if err != nil {
		return answer.Body, err
	}
	err = client.CallResult(ctx, method, message[P]{At: l.clock.Now(), Body: params}, &answer)
	if err != nil {
		return answer.Body, callError(method, err)
	}
	l.clock.Observe(answer.At)
	return answer.Body, nil
}

// beat sends one heartbeat, on a fresh connection if the old one does not answer; it returns the answer and when the answered call was sent.
func (l *link) beat(ctx context.Context, state cyclamendyke.MemberState, timeout time.Duration) (ViewState, time.Time, error) {
	sent := time.Now()
	view, err := l.beatOnce(ctx, state, timeout)
	if err == nil && view.StateWanted {
		view, err = l.beatOnce(ctx, state, timeout)
	}
	if err == nil || ctx.Err() != nil {
		return view, sent, err
	}
	l.drop()
	sent = time.Now()
	view, err = l.beatOnce(ctx, state, timeout)
	return view, sent, err
}

// beatOnce sends the whole state if the peer lacks it, and otherwise only that there is no change.
func (l *link) beatOnce(ctx context.Context, state cyclamendyke.MemberState, timeout time.Duration) (ViewState, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	beat := Beat{Member: state.Member.Name, StoreAge: state.StoreAge}
	state.StoreAge = 0
	if !reflect.DeepEqual(l.told, &state) {
		beat.State = &state
	}
	view, err := call[Beat, ViewState](ctx, l, methodHeartbeat, beat)
	switch {
	case err != nil || view.StateWanted:
		l.told = nil
	case beat.State != nil:
		l.told = &state
	}
	return view, err
}

// setAlive notes the verdict and reports whether it changed.
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
