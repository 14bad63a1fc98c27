package proofs

import (
	"context"
	"net"
	"sync"
)

// network connects daemons by in-memory connections.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}}
}

// listen returns a listener that replaces an earlier one at the same address.
func (n *network) listen(address string, faults *FaultInjector) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, faults: faults, dialled: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// dial connects to the listener at address, subject to the faults of both ends.
func (n *network) dial(ctx context.Context, address string, faults *FaultInjector) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errConnectionLost
	}
	injectors := []*FaultInjector{faults, l.faults}
	if anyFault(injectors) {
		<-ctx.Done()
		return nil, errConnectionLost
	}
	clientConn, serverConn := net.Pipe()
	select {
	case l.dialled <- serverConn:
	case <-l.closed:
		return nil, errConnectionLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &faultyConn{Conn: clientConn, injectors: injectors}, nil
}

func anyFault(injectors []*FaultInjector) bool {
	for _, injector := range injectors {
		if fault, _ := injector.state(); fault != FaultNone {
			return true
		}
	}
	return false
}

// listener accepts in-memory connections.
type listener struct {
	address string
	faults  *FaultInjector
	dialled chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.dialled:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return memoryAddr(l.address) }

// memoryAddr is the address of a listener.
type memoryAddr string

func (a memoryAddr) Network() string { return "memory" }

func (a memoryAddr) String() string { return string(a) }

// faultyConn discards all data while a fault is set, like a network that drops every packet.
type faultyConn struct {
	net.Conn
	injectors []*FaultInjector
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if anyFault(c.injectors) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *faultyConn) Read(p []byte) (int, error) {
	for {
		count, err := c.Conn.Read(p)
		if err != nil || !anyFault(c.injectors) {
			return count, err
		}
	}
}
