package silent

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that can be made silent; it is safe for concurrent use.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns []*conn
	dark  bool // New connections are silent from the start.
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	c.silent.Store(l.dark)
	return c, nil
}

// GoDark makes all connections silent for good, those included that are accepted before Lighten, as when a machine loses
// power or is cut off.
func (l *Listener) GoDark() {
	l.mu.Lock()
	l.dark = true
	l.mu.Unlock()
	l.Silence()
}

// Lighten ends GoDark: connections that are accepted from now on are not silent.
func (l *Listener) Lighten() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = false
}

// Silence makes all connections accepted so far silent for good, and returns their number.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// conn is a connection that, once it is silent, neither delivers anything nor ends by itself.
type conn struct {
	net.Conn
	silent    atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once
}

// Read returns what arrives until the connection is silent, and then waits for Close.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !c.silent.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write sends data, or drops it once the connection is silent.
func (c *conn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
