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

// Default values of Config and the number of writer goroutines.
const (
	DefaultWritesPerSecond = 20
	DefaultMaxPending      = 4096
	DefaultRetryInterval   = time.Second
	writerCount            = 4 // Goroutines of one process, each of which writes one slot at a time.
)

// Config configures a Registry; zero fields take the defaults.
type Config struct {
	Store           cyclamendyke.Store
	WritesPerSecond float64       // Limit of slot updates by this process.
	MaxPending      int           // Limit of unfinished operations; at the limit, reservations are refused.
	RetryInterval   time.Duration // Pause of a writer goroutine after a failed update.
	CallTimeout     time.Duration // Time limit of one call to the store.
}

// Reservation is the result of Reserve.
type Reservation struct {
	MayRun  bool                   // The calling request holds the key and has no outcome yet, so it may run.
	Request cyclamendyke.RequestID // The request that holds the key.
	Outcome cyclamendyke.Outcome   // Outcome of the request that holds the key; zero if it has none yet.
}

// Registry reserves idempotency keys in the store and records outcomes; it is safe for concurrent use.
type Registry struct {
	config     Config
	store      *cas.Writer
	limiter    *rate.Limiter
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	readySlots chan int // Slots with queued operations, each at most once.

	mu         sync.Mutex
	queued     [SlotCount][]*operation // By slot.
	scheduled  [SlotCount]bool         // Slots that are in readySlots or being processed.
	heldTokens map[string]string       // Tokens of the records that this registry created and that have no outcome, by key hash.
	pending    int                     // Operations that are queued or being written.
	draining   bool
	idle       chan struct{} // Closed when the registry is draining and no operation is left.
}

// New returns a registry and starts its writers, which run until Close.
func New(config Config) *Registry {
	config.WritesPerSecond = cmp.Or(config.WritesPerSecond, DefaultWritesPerSecond)
	config.MaxPending = cmp.Or(config.MaxPending, DefaultMaxPending)
	config.RetryInterval = cmp.Or(config.RetryInterval, DefaultRetryInterval)
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registry{
		config:     config,
		store:      cas.New(cas.Config{Store: config.Store, CallTimeout: config.CallTimeout}),
		limiter:    rate.NewLimiter(rate.Limit(config.WritesPerSecond), int(max(1, config.WritesPerSecond))),
		cancel:     cancel,
		readySlots: make(chan int, SlotCount),
		idle:       make(chan struct{}),
		heldTokens: map[string]string{},
	}
	for range writerCount {
		r.wg.Go(func() {
			r.run(ctx)
		})
	}
	return r
}

// Reserve reserves a team's idempotency key for the request, or returns the request that holds it.
//
// After an error the request must not run. The error is KindLimited if too many
// operations are unfinished, KindUnavailable if the key was not reserved, and
// KindUnknown if it may have been reserved, in which case it is released later.
func (r *Registry) Reserve(ctx context.Context, team cyclamendyke.TeamName, key string, request cyclamendyke.RequestID) (Reservation, error) {
	op := newReserve(keyHash(team, key), request)
	if !r.submit(op) {
		return Reservation{}, newError("reserve", cyclamendyke.KindLimited, nil)
	}
	select {
	case result := <-op.result:
		return result.reservation, result.err
	case <-ctx.Done():
		result := r.abandon(op, ctx.Err())
		return result.reservation, result.err
	}
}

// Complete stores the outcome of the request that holds the key; it
// returns at once and retries until written.
//
// An outcome with VerdictNotRun releases the key as Release does.
func (r *Registry) Complete(team cyclamendyke.TeamName, key string, outcome cyclamendyke.Outcome) {
	hash := keyHash(team, key)
	if outcome.Verdict == cyclamendyke.VerdictNotRun {
		r.release(hash)
		return
	}
	r.mu.Lock()
	delete(r.heldTokens, hash)
	r.mu.Unlock()
	r.submit(newComplete(hash, limitOutcomeSize(outcome)))
}

// Release frees the key of a request that has not run, so that a repeated request may run.
// It does nothing unless this registry created the record and no other reservation followed.
//
// It waits until the release is written or the context ends; in the latter case
// it returns the context's error and the release is still retried.
func (r *Registry) Release(ctx context.Context, team cyclamendyke.TeamName, key string) error {
	op := r.release(keyHash(team, key))
	if op == nil {
		return nil
	}
	select {
	case <-op.result:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release queues the release of a key, or returns nil if this registry does not hold the key.
func (r *Registry) release(hash string) *operation {
	r.mu.Lock()
	token, held := r.heldTokens[hash]
	delete(r.heldTokens, hash)
	r.mu.Unlock()
	if !held {
		return nil
	}
	op := newRelease(hash, token)
	r.submit(op)
	return op
}

// Pending returns the number of unfinished operations.
func (r *Registry) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending
}

// Close refuses further reservations and stops once all operations are written or the context ends.
func (r *Registry) Close(ctx context.Context) {
	r.mu.Lock()
	if !r.draining {
		r.draining = true
		r.signalIfIdle()
	}
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-r.idle:
	}
	r.cancel()
	r.wg.Wait()
	r.failQueued()
}
