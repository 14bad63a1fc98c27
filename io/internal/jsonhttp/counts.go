package jsonhttp

import (
	"net"
	"sync/atomic"
)

// Counts are a client's calls and the bytes on its connections, headers included.
type Counts struct {
	Calls         uint64
	Failures      uint64 // Calls without an answer.
	Connections   uint64
	BytesSent     uint64
	BytesReceived uint64
}

type counts struct {
	calls, failures, connections, sent, received atomic.Uint64
}

func (c *counts) read() Counts {
	return Counts{
		Calls:         c.calls.Load(),
		Failures:      c.failures.Load(),
		Connections:   c.connections.Load(),
		BytesSent:     c.sent.Load(),
		BytesReceived: c.received.Load(),
	}
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	counts *counts
}

// Read counts what it reads.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counts.received.Add(uint64(n))
	return n, err
}

// Write counts what it writes.
func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counts.sent.Add(uint64(n))
	return n, err
}
