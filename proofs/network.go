package proofs

import (
	"context"
	"net"
	"sync"
)

// network connects daemons in memory by their peer addresses.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}}
}

// listen returns a listener behind a gate, which replaces an earlier one at the address.
func (n *network) listen(address string, gate *Gate) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, gate: gate, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// dial connects to a listener through the caller's gate and its own.
func (n *network) dial(ctx context.Context, address string, gate *Gate) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errCut
	}
	gates := []*Gate{gate, l.gate}
	if blocked(gates) {
		<-ctx.Done()
		return nil, errCut
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
	case <-l.closed:
		return nil, errCut
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &gatedConn{Conn: near, gates: gates}, nil
}

func blocked(gates []*Gate) bool {
	for _, g := range gates {
		if fault, _ := g.state(); fault != FaultNone {
			return true
		}
	}
	return false
}

// listener hands over the far ends of dialled connections.
type listener struct {
	address  string
	gate     *Gate
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// address is an address of the network in memory.
type address string

func (a address) Network() string { return "memory" }

func (a address) String() string { return string(a) }

// gatedConn loses what is written while a gate is shut, as a connection that has gone silent.
type gatedConn struct {
	net.Conn
	gates []*Gate
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if blocked(c.gates) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *gatedConn) Read(p []byte) (int, error) {
	for {
		count, err := c.Conn.Read(p)
		if err != nil || !blocked(c.gates) {
			return count, err
		}
	}
}
