package jsonhttp

import (
	"net"
	"sync/atomic"
)

// Counts holds a client's numbers of calls, failures, connections and bytes; bytes include headers.
type Counts struct {
	Calls         uint64
	Failures      uint64 // Calls without a valid response from the peer.
	Connections   uint64
	BytesSent     uint64
	BytesReceived uint64
}

type counters struct {
	calls, failures, connections, sent, received atomic.Uint64
}

func (c *counters) snapshot() Counts {
	return Counts{
		Calls:         c.calls.Load(),
		Failures:      c.failures.Load(),
		Connections:   c.connections.Load(),
		BytesSent:     c.sent.Load(),
		BytesReceived: c.received.Load(),
	}
}

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	counters *counters
}

// Read reads and counts the bytes received.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counters.received.Add(uint64(n))
	return n, err
}

// Write writes and counts the bytes sent.
func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counters.sent.Add(uint64(n))
	return n, err
}
