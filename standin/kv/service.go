package kv

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cyclamendyke"
)

// Limits of the platform's key-value service.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	MaxValueBytes          = 1 << 20
)

var errDown = errors.New("service is down")

// Config sets the rate limits of a service; zero means no limit.
type Config struct {
	WritesPerSecond int
	ReadsPerSecond  int
}

// Service is a simulated key-value service; it is safe for concurrent use.
type Service struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu        sync.Mutex
	faults    Faults
	revision  cyclamendyke.Revision
	lastLease cyclamendyke.LeaseID
	entries   map[string]record // Deleted keys remain as tombstones, so that watches report them.
	leases    map[cyclamendyke.LeaseID]*leaseState
	counts    map[string]Counts // By caller.
	changed   chan struct{}     // Closed and replaced whenever an entry or the faults change.
	closed    bool
}

type record struct {
	entry cyclamendyke.Entry
	lease cyclamendyke.LeaseID
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
}

// New returns an empty service.
func New(config Config) *Service {
	return &Service{
		writes:  limiter(config.WritesPerSecond),
		reads:   limiter(config.ReadsPerSecond),
		entries: map[string]record{},
		leases:  map[cyclamendyke.LeaseID]*leaseState{},
		counts:  map[string]Counts{},
		changed: make(chan struct{}),
	}
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// As returns a store that makes its calls in the name of caller.
func (s *Service) As(caller string) *Store {
	return &Store{service: s, caller: caller}
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the current faults; Down and Cut also fail the watches that are already waiting.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wakeWatches()
}

// Counts returns the counts of one caller's calls.
func (s *Service) Counts(caller string) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[caller]
}

// TotalCounts returns the sums of the counts of all callers.
func (s *Service) TotalCounts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := Counts{}
	for _, counts := range s.counts {
		total = total.add(counts)
	}
	return total
}

// Close stops the timers of all leases and makes waiting watches and later calls fail.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, lease := range s.leases {
		lease.timer.Stop()
	}
	s.wakeWatches()
}

// wakeWatches makes the waiting watches check for changes and faults.
func (s *Service) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit simulates the faults that stop or delay a call before it takes effect, applies the rate
// limits and counts the call.
func (s *Service) admit(ctx context.Context, op, caller string, count Counts) error {
	faults := s.Faults()
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(faults.Delay)):
		}
	}
	if faults.Silent {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return newError(op, noResponseKind(count), ctx.Err())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable(caller) {
		return newError(op, cyclamendyke.KindUnavailable, errDown)
	}
	if !s.allow(count) {
		s.counts[caller] = s.counts[caller].add(Counts{Limited: 1})
		return newError(op, cyclamendyke.KindLimited, nil)
	}
	s.counts[caller] = s.counts[caller].add(count)
	return nil
}

// unreachable reports whether the service is closed or a fault makes the caller's calls fail.
func (s *Service) unreachable(caller string) bool {
	return s.closed || s.faults.blocks(caller)
}

func (s *Service) allow(count Counts) bool {
	if count.Writes > 0 {
		return s.writes.Allow()
	}
	return s.reads.Allow()
}

// noResponseKind returns the error kind of a call without a response; a write may still have taken effect.
func noResponseKind(count Counts) cyclamendyke.Kind {
	if count.Writes > 0 {
		return cyclamendyke.KindUnknown
	}
	return cyclamendyke.KindUnavailable
}

// loseAnswer reports whether to lose the response to the write that has just taken effect.
func (s *Service) loseAnswer() bool {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseAnswers == LoseAllAnswers
}

// deferWrite schedules the write for later if the fault LateWrites applies to it, and reports whether it did.
func (s *Service) deferWrite(apply func() cyclamendyke.Kind) bool {
	if s.faults.LateWrites <= 0 {
		return false
	}
	s.faults.LateWrites--
	time.AfterFunc(time.Duration(s.faults.LateBy), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.closed {
			_ = apply() // The caller has already received KindUnknown.
		}
	})
	return true
}

func (s *Service) put(key string, value []byte, lease cyclamendyke.LeaseID) cyclamendyke.Revision {
	s.revision++
	s.entries[key] = record{
		entry: cyclamendyke.Entry{Key: key, Value: value, Revision: s.revision},
		lease: lease,
	}
	s.wakeWatches()
	return s.revision
}

func (s *Service) remove(key string) {
	s.revision++
	s.entries[key] = record{
		entry: cyclamendyke.Entry{Key: key, Revision: s.revision, Deleted: true},
	}
	s.wakeWatches()
}

// liveEntry returns the key's entry, or the zero entry if the key does not exist.
func (s *Service) liveEntry(key string) cyclamendyke.Entry {
	found := s.entries[key].entry
	if found.Deleted {
		return cyclamendyke.Entry{}
	}
	return found
}

func newError(op string, kind cyclamendyke.Kind, err error) error {
	return &cyclamendyke.Error{Op: "store." + op, Kind: kind, Err: err}
}
