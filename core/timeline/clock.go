package timeline

import (
	"cmp"
	"sync"
	"time"

	"cyclamendyke"
)

// DefaultMaxAhead is how far a peer's reading may lead the own wall clock before it is not followed.
const DefaultMaxAhead = time.Minute

// ClockConfig sets up a Clock; zero fields take the defaults.
type ClockConfig struct {
	Now      func() time.Time // time.Now if nil.
	MaxAhead time.Duration
}

// Clock is a hybrid logical clock, safe for concurrent use: each reading is later than every earlier and every observed one.
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

// Now returns a reading later than all before it.
func (c *Clock) Now() cyclamendyke.Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next(c.last)
}

// Observe takes in the reading that came with a message, and reports false if it leads the wall clock by more than MaxAhead and was left out.
func (c *Clock) Observe(peer cyclamendyke.Timestamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer.Wall.Sub(c.wall()) > c.config.MaxAhead {
		return false
	}
	if Compare(peer, c.last) > 0 {
		c.next(peer)
		return true
	}
	c.next(c.last)
	return true
}

// next moves the clock past after; the caller holds the lock.
func (c *Clock) next(after cyclamendyke.Timestamp) cyclamendyke.Timestamp {
	wall := c.wall()
	if wall.After(after.Wall) {
		c.last = cyclamendyke.Timestamp{Wall: wall}
		return c.last
	}
	c.last = cyclamendyke.Timestamp{Wall: after.Wall.UTC().Round(0), Counter: after.Counter + 1}
	return c.last
}

func (c *Clock) wall() time.Time {
	return c.config.Now().UTC().Round(0)
}

// Compare returns -1, 0 or 1 as a is earlier than, equal to or later than b.
func Compare(a, b cyclamendyke.Timestamp) int {
	return cmp.Or(a.Wall.Compare(b.Wall), cmp.Compare(a.Counter, b.Counter))
}
