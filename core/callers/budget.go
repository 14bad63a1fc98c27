package callers

import (
	"cmp"
	"maps"
	"sync"
	"time"

	"cyclamendyke"
)

// Reason is why a connection was turned away.
type Reason string

// The reasons for which connections are turned away, and large requests refused.
const (
	ReasonConnections  Reason = "connections"   // As many are open as may be.
	ReasonMemory       Reason = "memory"        // What callers hold takes all the memory that is there for it.
	ReasonLargeRequest Reason = "large-request" // Large requests take all the memory that is there for them.
	ReasonLargeHead    Reason = "large-head"
	ReasonSlowHead     Reason = "slow-head"
	ReasonSlowBody     Reason = "slow-body"
	ReasonIdle         Reason = "idle"
	ReasonUnread       Reason = "unread-response"
)

// Transport is the connection of which a Connection keeps account. Its methods do not wait, and call no method of the budget.
type Transport interface {
	// Interrupt ends what is being read from the connection, which then ends by itself.
	Interrupt()
	// Abort closes the connection at once.
	Abort()
}

// Port accepts connections up to a number.
type Port struct {
	Max  int
	open int
}

// Budget is what all callers of a process may make it hold. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu          sync.Mutex
	timeouts    cyclamendyke.CallerLimits
	connections map[*Connection]struct{}
	held        int64 // By connections that have not been told to go.
	leaving     int64 // By those that have.
	large       int64 // Part of held that large requests have reserved.
	turnedAway  map[Reason]int64
}

// NewBudget returns a budget without connections.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, connections: map[*Connection]struct{}{}, turnedAway: map[Reason]int64{}}
}

// SetTimeouts sets the limits of the operators' configuration.
func (b *Budget) SetTimeouts(timeouts cyclamendyke.CallerLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timeouts = timeouts
}

// Usage is what callers hold at a moment.
type Usage struct {
	Connections int
	Bytes       int64
	TurnedAway  map[Reason]int64 // Since the start of the process.
}

// Usage returns what callers hold.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := Usage{Connections: len(b.connections), Bytes: b.held + b.leaving, TurnedAway: map[Reason]int64{}}
	maps.Copy(usage.TurnedAway, b.turnedAway)
	return usage
}

// Open accounts for a new connection at a port. It returns nil if there is no room for it, even if others go.
func (b *Budget) Open(port *Port, transport Transport, now time.Duration) *Connection {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := port.open < withLeaving(port.Max)
	if port.open >= port.Max {
		ok = b.leaveWorst(now, ReasonConnections, func(o *Connection) bool { return o.port == port }) && ok
	}
	if !ok || !b.makeRoom(connectionBytes, now) {
		b.turnedAway[ReasonConnections]++
		return nil
	}
	c := &Connection{budget: b, port: port, transport: transport, since: now}
	b.connections[c] = struct{}{}
	port.open++
	c.charge(connectionBytes)
	return c
}

// maxLeavingPart bounds how many connections that were told to go there are beyond a port's maximum, and what they hold beyond the budget,
// as parts of these.
const maxLeavingPart = 8

// makeRoom tells the worst connections to go until there is room for some bytes.
func (b *Budget) makeRoom(bytes int64, now time.Duration) bool {
	for b.held+bytes > b.limits.Bytes {
		if !b.leaveWorst(now, ReasonMemory, func(*Connection) bool { return true }) {
			return false
		}
	}
	return b.held+b.leaving+bytes <= b.limits.Bytes+b.limits.Bytes/maxLeavingPart
}

// leaveWorst tells the worst connection to go among those that a function admits.
func (b *Budget) leaveWorst(now time.Duration, reason Reason, admits func(*Connection) bool) bool {
	var worst *Connection
	highest := 0.0
	for c := range b.connections {
		if burden := c.burden(now); burden > highest && admits(c) {
			worst, highest = c, burden
		}
	}
	if worst == nil {
		return false
	}
	worst.leave(now, reason)
	return true
}

// The times that hold unless the operators' configuration says otherwise.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	leaveTimeout         = time.Second // After which a connection that was told to go is closed.
)

// Expire tells the connections to go whose time is over.
func (b *Budget) Expire(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	headerTimeout := cmp.Or(b.timeouts.HeaderTimeout, defaultHeaderTimeout)
	idleTimeout := cmp.Or(b.timeouts.IdleTimeout, defaultIdleTimeout)
	for c := range b.connections {
		switch age := now - c.since; {
		case c.state == leaving && age > leaveTimeout:
			c.transport.Abort()
		case c.state == readingHead && age > headerTimeout:
			c.leave(now, ReasonSlowHead)
		case c.state == waiting && age > idleTimeout:
			c.leave(now, ReasonIdle)
		}
	}
}
