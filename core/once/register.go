package once

import (
	"cmp"
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// The defaults of Config.
const (
	DefaultWritesPerSecond = 20
	DefaultMaxPending      = 4096
	DefaultRetry           = time.Second
	writers                = 4 // Slots that one process writes at the same time.
)

// Config sets up a Register; zero fields take the defaults.
type Config struct {
	Store           cyclamendyke.Store
	WritesPerSecond float64       // Updates of slots by this process.
	MaxPending      int           // Operations that wait; reservations beyond it are refused.
	Retry           time.Duration // Between attempts to write an outcome.
	CallTimeout     time.Duration // Of one call to the store.
}

// Reservation is the answer to Reserve.
type Reservation struct {
	First   bool                   // This request holds the key and has no outcome yet: it may run.
	Request cyclamendyke.RequestID // The request that holds the key.
	Outcome cyclamendyke.Outcome   // Of the request that holds the key; zero if none is known.
}

// Register keeps at-most-once records in the store; it is safe for concurrent use.
type Register struct {
	config  Config
	store   *cas.Writer
	limiter *rate.Limiter
	cancel  context.CancelFunc
	done    sync.WaitGroup
	ready   chan int // Slots with operations; each is in it at most once.

	mu       sync.Mutex
	pending  [Slots][]*operation
	queued   [Slots]bool
	tokens   map[string]string // Of the records made here that have no outcome, by key.
	count    int               // Pending and running operations.
	draining bool
	idle     chan struct{} // Closed when draining and no operation is left.
}

// New returns a register whose writers run until Close.
func New(config Config) *Register {
	config.WritesPerSecond = cmp.Or(config.WritesPerSecond, DefaultWritesPerSecond)
	config.MaxPending = cmp.Or(config.MaxPending, DefaultMaxPending)
	config.Retry = cmp.Or(config.Retry, DefaultRetry)
	ctx, cancel := context.WithCancel(context.Background())
	r := &Register{
		config:  config,
		store:   cas.New(cas.Config{Store: config.Store, CallTimeout: config.CallTimeout}),
		limiter: rate.NewLimiter(rate.Limit(config.WritesPerSecond), int(max(1, config.WritesPerSecond))),
		cancel:  cancel,
		ready:   make(chan int, Slots),
		idle:    make(chan struct{}),
		tokens:  map[string]string{},
	}
	for range writers {
		r.done.Go(func() {
			r.run(ctx)
		})
	}
	return r
}

// Reserve takes a team's idempotency key for the request, or returns the request that holds it.
//
// On an error the request must not run, so that "not run" is true: KindLimited
// if too many wait, KindUnavailable if the key was certainly not taken, and
// KindUnknown if it may have been taken, in which case it is given back later.
func (r *Register) Reserve(ctx context.Context, team cyclamendyke.TeamName, key string, request cyclamendyke.RequestID) (Reservation, error) {
	op := newReserve(keyHash(team, key), request)
	if !r.submit(op) {
		return Reservation{}, newError("reserve", cyclamendyke.KindLimited, nil)
	}
	select {
	case answer := <-op.answer:
		return answer.reservation, answer.err
	case <-ctx.Done():
		answer := r.abandon(op, ctx.Err())
		return answer.reservation, answer.err
	}
}

// Complete keeps the outcome of the request that holds the key, and tries until it is written.
//
// An outcome of VerdictNotRun gives the key back as Release does, but does not wait.
func (r *Register) Complete(team cyclamendyke.TeamName, key string, outcome cyclamendyke.Outcome) {
	hash := keyHash(team, key)
	if outcome.Verdict == cyclamendyke.VerdictNotRun {
		r.release(hash)
		return
	}
	r.mu.Lock()
	delete(r.tokens, hash)
	r.mu.Unlock()
	r.submit(newComplete(hash, bounded(outcome)))
}

// Release gives a key back whose request has certainly not run, so that a
// repeat may run, if this register took the key when it was free and no other
// reservation followed; else it changes nothing.
//
// It returns once that is in the store, or the context's error, after which it
// is still tried until it is written.
func (r *Register) Release(ctx context.Context, team cyclamendyke.TeamName, key string) error {
	op := r.release(keyHash(team, key))
	if op == nil {
		return nil
	}
	select {
	case <-op.answer:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release queues the giving back of a key, or returns nil if this register does not hold it.
func (r *Register) release(hash string) *operation {
	r.mu.Lock()
	token, held := r.tokens[hash]
	delete(r.tokens, hash)
	r.mu.Unlock()
	if !held {
		return nil
	}
	op := newRelease(hash, token)
	r.submit(op)
	return op
}

// Pending returns the operations that are not in the store yet.
func (r *Register) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close writes what waits until the context ends, and stops; later calls are refused.
func (r *Register) Close(ctx context.Context) {
	r.mu.Lock()
	if !r.draining {
		r.draining = true
		r.settleIdle()
	}
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-r.idle:
	}
	r.cancel()
	r.done.Wait()
	r.failRest()
}
