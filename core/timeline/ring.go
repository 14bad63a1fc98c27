package timeline

import (
	"cmp"
	"sync"

	"cyclamendyke"
)

// DefaultSize is the default number of events that a Ring keeps.
const DefaultSize = 16384

// RingConfig configures a Ring.
type RingConfig struct {
	Clock  *Clock
	Member cyclamendyke.MemberName
	Size   int // Number of events kept; DefaultSize if zero.
}

// Ring is a ring buffer of the latest events of one process; it is safe for concurrent use.
type Ring struct {
	config RingConfig

	mu     sync.Mutex
	events []cyclamendyke.TimelineEvent // Once the buffer is full, the oldest event is at next.
	next   int
}

// NewRing returns an empty ring.
func NewRing(config RingConfig) *Ring {
	config.Size = cmp.Or(config.Size, DefaultSize)
	return &Ring{config: config}
}

// Add sets the event's timestamp and member, stores it, and returns it as stored.
func (r *Ring) Add(event cyclamendyke.TimelineEvent) cyclamendyke.TimelineEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.At = r.config.Clock.Now()
	event.Member = r.config.Member
	if len(r.events) < r.config.Size {
		r.events = append(r.events, event)
		return event
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % r.config.Size
	return event
}

// Events returns the stored events that match the filter, oldest first.
func (r *Ring) Events(filter cyclamendyke.TimelineFilter) []cyclamendyke.TimelineEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	selected := []cyclamendyke.TimelineEvent{}
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if Matches(filter, event) {
			selected = append(selected, event)
		}
	}
	return selected
}
