package timeline

import (
	"cmp"
	"sync"
	"time"

	"cyclamendyke"
)

// DefaultMaxAhead is how far a peer's reading may be ahead of the local wall clock before it is ignored.
const DefaultMaxAhead = time.Minute

// ClockConfig configures a Clock; zero fields select the defaults.
type ClockConfig struct {
	Now      func() time.Time // time.Now if nil.
	MaxAhead time.Duration
}

// Clock is a hybrid logical clock, safe for concurrent use: each reading is later than
// every earlier and every observed one.
type Clock struct {
	config ClockConfig

	mu   sync.Mutex
	last cyclamendyke.Timestamp
}

// NewClock returns a clock that starts at the wall time.
func NewClock(config ClockConfig) *Clock {
	if config.Now == nil {
		config.Now = time.Now
	}
	config.MaxAhead = cmp.Or(config.MaxAhead, DefaultMaxAhead)
	return &Clock{config: config}
}

// Now returns a reading that is later than all earlier ones.
func (c *Clock) Now() cyclamendyke.Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(c.last)
}

// Observe moves the clock past a peer's reading and returns true. If the reading is more
// than MaxAhead ahead of the wall clock, it ignores the reading and returns false.
func (c *Clock) Observe(peer cyclamendyke.Timestamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer.Wall.Sub(c.wallTime()) > c.config.MaxAhead {
		return false
	}
	if Compare(peer, c.last) > 0 {
		c.advance(peer)
		return true
	}
	c.advance(c.last)
	return true
}

// advance moves the clock past after and returns the new reading; the caller holds the lock.
func (c *Clock) advance(after cyclamendyke.Timestamp) cyclamendyke.Timestamp {
	wall := c.wallTime()
	if wall.After(after.Wall) {
		c.last = cyclamendyke.Timestamp{Wall: wall}
		return c.last
	}
	c.last = cyclamendyke.Timestamp{Wall: after.Wall.UTC().Round(0), Counter: after.Counter + 1}
	return c.last
}

func (c *Clock) wallTime() time.Time {
	return c.config.Now().UTC().Round(0)
}

// Compare returns -1, 0 or 1 if a is earlier than, equal to or later than b.
func Compare(a, b cyclamendyke.Timestamp) int {
	return cmp.Or(a.Wall.Compare(b.Wall), cmp.Compare(a.Counter, b.Counter))
}
