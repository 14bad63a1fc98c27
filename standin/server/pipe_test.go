package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// pipeListener accepts in-memory connections, because a synctest bubble cannot wait on sockets.
type pipeListener struct {
	conns         chan net.Conn
	closed        chan struct{}
	once          sync.Once
	writesDropped atomic.Pointer[atomic.Bool] // Shared by all connections made since the last call of dropWrites.
}

func newPipeListener() *pipeListener {
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	listener.dropWrites()
	return listener
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return &pipeConn{Conn: client, writesDropped: l.writesDropped.Load()}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dropWrites makes all existing connections drop what their clients write from now on.
func (l *pipeListener) dropWrites() {
	if previous := l.writesDropped.Swap(&atomic.Bool{}); previous != nil {
		previous.Store(true)
	}
}

// pipeConn is the client's end of a connection; when writesDropped is set, writes succeed but
// are dropped, as when a firewall has forgotten the connection.
type pipeConn struct {
	net.Conn
	writesDropped *atomic.Bool
}

func (c *pipeConn) Write(buffer []byte) (int, error) {
	if c.writesDropped.Load() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}
