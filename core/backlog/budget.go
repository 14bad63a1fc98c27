package backlog

import (
	"sync"
	"time"
)

// The rules for a member's share of the room.
const (
	heldShare     = 0.3             // Part of a VM's memory that unfinished work may take; loading it takes some more.
	maxSharers    = 8               // Members that are expected to accept work at the same time at most.
	takenMemory   = 3 * time.Second // How long it takes at most until accepted work is in what the scheduler states.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	firstRetry    = 5 * time.Second // If it is not known how fast work ends.
	statedPart    = 32              // The scheduler states a change of this part of the limit; smaller ones are not worth a write.
)

// Limit returns how many bytes unfinished work may take on VMs of the given memory; zero means no limit.
func Limit(memoryBytes int64) int64 {
	return int64(heldShare * float64(memoryBytes))
}

// IsWorthStating reports whether a scheduler should state how much its work takes, after it has stated another amount.
func IsWorthStating(bytes, stated, limit int64) bool {
	return limit > 0 && max(bytes-stated, stated-bytes) >= limit/statedPart
}

// Budget decides which work a member accepts. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limit    int64
	held     int64         // What the scheduler has stated last.
	heldAt   time.Duration // When that was seen.
	freeRate float64       // Bytes a second by which the stated amount fell last; zero if that is not known.
	taken    []take
}

// take is work that this member has accepted.
type take struct {
	bytes int64
	at    time.Duration
}

// NewBudget returns the budget of a member; a limit of zero admits everything.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// See notes what the scheduler states.
func (b *Budget) See(held int64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if fallen := b.held - held; fallen > 0 && now > b.heldAt {
		b.freeRate = float64(fallen) / (now - b.heldAt).Seconds()
	}
	b.held, b.heldAt = held, now
}

// Held returns what the scheduler has stated last, in bytes.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Fits reports whether work of the given size can ever be accepted.
func (b *Budget) Fits(bytes int64) bool {
	return b.limit == 0 || bytes <= b.limit/maxSharers
}

// Take accepts work of the given size, or returns false and when the caller should come back. members is the number of members that
// accept work.
func (b *Budget) Take(bytes int64, members int, now time.Duration) (retryAfter time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit == 0 {
		return 0, true
	}
	own := int64(0)
	recent := b.taken[:0]
	for _, t := range b.taken {
		if now-t.at < takenMemory {
			own += t.bytes
			recent = append(recent, t)
		}
	}
	b.taken = recent
	sharers := int64(max(1, min(members, maxSharers)))
	missing := (own+bytes)*sharers - (b.limit - b.held)
	if missing > 0 {
		return b.retryAfter(missing), false
	}
	b.taken = append(b.taken, take{bytes, now})
	return 0, true
}

// retryAfter returns how long it takes until so many bytes are free, as fast as work ended lately.
func (b *Budget) retryAfter(missing int64) time.Duration {
	if b.freeRate == 0 {
		return firstRetry
	}
	wait := time.Duration(float64(missing) / b.freeRate * float64(time.Second))
	return max(minRetryAfter, min(wait, maxRetryAfter))
}
