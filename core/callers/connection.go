package callers

import (
	"cmp"
	"time"

	"cyclamendyke"
)

// state is what a connection does.
type state int

const (
	waiting     state = iota // For the first byte of a request.
	readingHead              // Of a request.
	readingBody              // Of a request whose handler may run.
	handling                 // A request that is complete.
	writing                  // To a caller that may not read.
	leaving                  // It was told to go.
)

// Connection is the account of one connection.
type Connection struct {
	budget    *Budget
	port      *Port
	transport Transport

	// The budget's lock protects what follows.
	state     state
	since     time.Duration // Begin of waiting, of the request or of leaving.
	bytes     int64         // All that is charged.
	large     int64         // Part of it that is reserved for a large request.
	lastRead  int64         // Charge for the last bytes read, which may belong to the next request.
	headBytes int
	served    bool // It has had a response.
	closed    bool

	beforeWrite      state // What the connection did before it began writing, and since when.
	sinceBeforeWrite time.Duration
}

// The rules for which connections go first.
const (
	servedWorth = 4                      // How many times as long a connection may wait that has had a response.
	writeGrace  = 100 * time.Millisecond // A write that takes longer waits for the caller to read.
)

// burden returns how much the connection is in the way of others: what it holds, times how long. It is zero for a connection that must
// not be told to go.
func (c *Connection) burden(now time.Duration) float64 {
	if c.state == handling || c.state == leaving || c.state == writing && now-c.since < writeGrace {
		return 0
	}
	burden := float64(c.bytes) * float64(now-c.since+time.Millisecond)
	if c.state == waiting && c.served {
		return burden / servedWorth
	}
	return burden
}

// charge changes what the connection holds.
func (c *Connection) charge(bytes int64) {
	c.bytes += bytes
	if c.state == leaving {
		c.budget.leaving += bytes
	} else {
		c.budget.held += bytes
	}
}

// leave tells the connection to go. What it holds remains charged until it is closed.
func (c *Connection) leave(now time.Duration, reason Reason) {
	b := c.budget
	b.held -= c.bytes
	b.leaving += c.bytes
	if c.state == writing {
		c.transport.Abort()
	} else {
		c.transport.Interrupt()
	}
	c.state, c.since = leaving, now
	b.turnedAway[reason]++
}

// grow charges bytes if there is room for them, for which others may have to go, or this connection itself.
func (c *Connection) grow(bytes int64, now time.Duration) bool {
	if c.state == leaving || !c.budget.makeRoom(bytes, now) || c.state == leaving {
		return false
	}
	c.charge(bytes)
	return true
}

// Receive charges what was read before the head of a request was complete. It returns an error if the connection must be closed, of
// kind KindTooLarge if the head is too large.
func (c *Connection) Receive(bytes, lines int, now time.Duration) error {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state == waiting {
		c.state, c.since = readingHead, now
	}
	c.headBytes += bytes
	c.lastRead = headWeight(bytes, lines)
	switch {
	case c.state == leaving:
	case c.headBytes > cmp.Or(b.timeouts.HeaderBytes, defaultHeaderBytes)+headSlack:
		c.leave(now, ReasonLargeHead)
		return NewError("receive", cyclamendyke.KindTooLarge, nil)
	case c.grow(c.lastRead, now):
		return nil
	case c.state != leaving:
		c.leave(now, ReasonMemory)
	}
	return NewError("receive", cyclamendyke.KindLimited, nil)
}

// headWeight returns what bytes of a head are charged.
func headWeight(bytes, lines int) int64 {
	return int64(bytes)*headByteBytes + int64(lines)*headLineBytes
}

// ReceiveBody notes the last bytes that were read while a request was handled, since some may belong to the next one.
func (c *Connection) ReceiveBody(bytes, lines int) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.lastRead = headWeight(min(bytes, headSlack), min(lines, headSlack))
}

// Begin notes that the head of a request is complete, and returns false if the connection has been told to go.
func (c *Connection) Begin(hasBody bool) bool {
	if hasBody {
		return c.proceed(readingBody)
	}
	return c.proceed(handling)
}

// CompleteBody notes that the body of a request is complete, and returns false if the connection has been told to go.
func (c *Connection) CompleteBody() bool {
	return c.proceed(handling)
}

func (c *Connection) proceed(next state) bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.state == leaving {
		return false
	}
	c.state = next
	return true
}

// Grow charges bytes of a body. It returns an error if there is no room for them.
func (c *Connection) Grow(bytes int64, now time.Duration) error {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.grow(bytes, now) {
		return nil
	}
	if c.state != leaving {
		b.turnedAway[ReasonMemory]++
	}
	return NewError("grow", cyclamendyke.KindLimited, nil)
}

// LateBody notes that the body of a request has not arrived in time.
func (c *Connection) LateBody() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.state != leaving {
		c.budget.turnedAway[ReasonSlowBody]++
	}
}

// Shrink ends the charge of bytes of a body.
func (c *Connection) Shrink(bytes int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.closed {
		c.charge(-bytes)
	}
}

// Reserve charges what a complete request needs until its end. It returns an error of kind KindLimited if there is no room for it at
// present, or KindTooLarge if there never is.
func (c *Connection) Reserve(bytes int64, now time.Duration) error {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	isLarge := bytes > largeRequest
	switch {
	case isLarge && bytes > b.limits.LargeBytes:
		b.turnedAway[ReasonLargeRequest]++
		return NewError("reserve", cyclamendyke.KindTooLarge, nil)
	case isLarge && b.large+bytes > b.limits.LargeBytes:
		b.turnedAway[ReasonLargeRequest]++
		return NewError("reserve", cyclamendyke.KindLimited, nil)
	case !c.grow(bytes, now):
		b.turnedAway[ReasonMemory]++
		return NewError("reserve", cyclamendyke.KindLimited, nil)
	}
	if isLarge {
		c.large += bytes
		b.large += bytes
	}
	return nil
}

// End notes that the response of a request has been written.
func (c *Connection) End(now time.Duration) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.large -= c.large
	c.large = 0
	if c.closed {
		return
	}
	c.charge(connectionBytes + c.lastRead - c.bytes)
	c.headBytes = 0
	if c.state == handling {
		c.state, c.since, c.served = waiting, now, true
	}
}

// BeginWrite notes that something is being written to the connection.
func (c *Connection) BeginWrite(now time.Duration) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.state != leaving {
		c.beforeWrite, c.sinceBeforeWrite = c.state, c.since
		c.state, c.since = writing, now
	}
}

// EndWrite notes that it has been written, or that the caller has not read it in time.
func (c *Connection) EndWrite(isLate bool) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state == writing {
		c.state, c.since = c.beforeWrite, c.sinceBeforeWrite
	}
	if isLate {
		b.turnedAway[ReasonUnread]++
	}
}

// Close ends the account.
func (c *Connection) Close() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	b.large -= c.large
	c.large = 0
	c.charge(-c.bytes)
	c.port.open--
	delete(b.connections, c)
}
