package callerconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/callers"
)

// The phases of a connection, by what is read.
const (
	phaseHead    int32 = iota // The head of a request, or what comes before it.
	phaseRequest              // The body of a request, while its handler runs.
	phaseRest                 // What is left of the body of a request whose handler has ended.
)

// conn is a caller's connection; it implements callers.Transport.
type conn struct {
	net.Conn
	guard   *Guard
	account *callers.Connection
	phase   atomic.Int32

	mu          sync.Mutex
	interrupted bool
}

// headTooLarge is the response to a head above the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Read reads from the connection and charges what belongs to a head.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	lines := bytes.Count(buffer[:n], []byte{'\n'})
	switch c.phase.Load() {
	case phaseRequest:
		c.account.ReceiveBody(n, lines)
		return n, err
	case phaseRest:
		return n, err
	}
	refused := c.account.Receive(n, lines, c.guard.now())
	switch {
	case refused == nil:
		return n, err
	case errors.Is(refused, cyclamendyke.KindTooLarge):
		_, _ = io.WriteString(c, headTooLarge)
	}
	return 0, io.EOF // The server closes the connection without a response.
}

// Write writes to the connection. A caller that does not read fails it.
func (c *conn) Write(data []byte) (int, error) {
	c.account.BeginWrite(c.guard.now())
	_ = c.SetWriteDeadline(time.Now().Add(c.guard.writeTimeout))
	n, err := c.Conn.Write(data)
	c.account.EndWrite(errors.Is(err, os.ErrDeadlineExceeded))
	return n, err
}

// SetReadDeadline sets the deadline of reads, unless these have been ended for good.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// past is a deadline that is over.
var past = time.Unix(1, 0)

// Interrupt ends all reads for good.
func (c *conn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(past)
}

// Abort closes the connection at once.
func (c *conn) Abort() {
	_ = c.Conn.Close()
}

// Close closes the connection and ends its account.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// endRequest notes that the handler of a request has ended.
func (c *conn) endRequest(next int32) {
	c.phase.Store(next)
	c.account.End(c.guard.now())
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn       *conn
	header     http.Header // Of the response.
	isComplete bool
}

// Read reads from the body. The connection is kept if its end is reached.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	switch {
	case errors.Is(err, io.EOF):
		_ = b.conn.SetReadDeadline(time.Time{})
		if !b.conn.account.CompleteBody() {
			return 0, NewError("read", cyclamendyke.KindLimited, nil)
		}
		b.isComplete = true
		b.header.Del("Connection")
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.account.LateBody()
		err = NewError("read", cyclamendyke.KindLimited, err)
	}
	return n, err
}
