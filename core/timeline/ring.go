package timeline

import (
	"cmp"
	"sync"

	"cyclamendyke"
)

// DefaultSize is the number of events that a process keeps.
const DefaultSize = 16384

// RingConfig sets up a Ring.
type RingConfig struct {
	Clock  *Clock
	Member cyclamendyke.MemberName
	Size   int // Events kept; DefaultSize if zero.
}

// Ring keeps the latest events of one process; it is safe for concurrent use.
type Ring struct {
	config RingConfig

	mu     sync.Mutex
	events []cyclamendyke.TimelineEvent // Oldest at next once the ring is full.
	next   int
}

// NewRing returns an empty ring.
func NewRing(config RingConfig) *Ring {
	config.Size = cmp.Or(config.Size, DefaultSize)
	return &Ring{config: config}
}

// Add stamps the event with the clock and the member, keeps it, and returns it as kept.
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

// Events returns the kept events that the filter selects, from the oldest.
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
