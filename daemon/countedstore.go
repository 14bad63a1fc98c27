package daemon

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"cyclamendyke"
)

// writeBurst is how many writes a process may send at once after a calm second.
const writeBurst = 20

// countedStore counts the calls to a store by operation and result, and bounds the rate of writes.
//
// Leases are not bounded: a late renewal would cost more than it saves.
type countedStore struct {
	cyclamendyke.Store
	metrics      *metrics
	writeLimiter *rate.Limiter
}

func newCountedStore(store cyclamendyke.Store, writesPerSecond int, metrics *metrics) *countedStore {
	return &countedStore{
		Store:        store,
		metrics:      metrics,
		writeLimiter: rate.NewLimiter(rate.Limit(writesPerSecond), writeBurst),
	}
}

// The kinds of error that are counted by name.
var countedKinds = []cyclamendyke.Kind{
	cyclamendyke.KindNotFound,
	cyclamendyke.KindConflict,
	cyclamendyke.KindUnavailable,
	cyclamendyke.KindUnknown,
	cyclamendyke.KindLimited,
	cyclamendyke.KindTooLarge,
}

func (s *countedStore) count(operation string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	for _, kind := range countedKinds {
		if errors.Is(err, kind) {
			result = string(kind)
		}
	}
	s.metrics.storeCalls.WithLabelValues(operation, result).Inc()
}

// Get counts and returns one key.
func (s *countedStore) Get(ctx context.Context, key string) (cyclamendyke.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	s.count("get", err)
	return entry, err
}

// List counts and returns the keys below prefix.
func (s *countedStore) List(ctx context.Context, prefix string) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	entries, revision, err := s.Store.List(ctx, prefix)
	s.count("list", err)
	return entries, revision, err
}

// CompareAndSwap counts and makes one write.
func (s *countedStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	if err := s.writeLimiter.Wait(ctx); err != nil {
		err = newError("cas", cyclamendyke.KindLimited, err)
		s.count("cas", err)
		return 0, err
	}
	revision, err := s.Store.CompareAndSwap(ctx, key, value, expected, lease)
	s.count("cas", err)
	return revision, err
}

// Delete counts and removes a key.
func (s *countedStore) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) error {
	err := s.Store.Delete(ctx, key, expected)
	s.count("delete", err)
	return err
}

// GrantLease counts and grants a lease.
func (s *countedStore) GrantLease(ctx context.Context, ttl time.Duration) (cyclamendyke.LeaseID, error) {
	lease, err := s.Store.GrantLease(ctx, ttl)
	s.count("grant-lease", err)
	return lease, err
}

// KeepAlive counts and extends a lease.
func (s *countedStore) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) error {
	err := s.Store.KeepAlive(ctx, lease)
	s.count("keep-alive", err)
	return err
}

// Revoke counts and ends a lease.
func (s *countedStore) Revoke(ctx context.Context, lease cyclamendyke.LeaseID) error {
	err := s.Store.Revoke(ctx, lease)
	s.count("revoke", err)
	return err
}

// Watch counts and waits for changes.
func (s *countedStore) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	entries, revision, err := s.Store.Watch(ctx, prefix, after, hold)
	s.count("watch", err)
	return entries, revision, err
}
