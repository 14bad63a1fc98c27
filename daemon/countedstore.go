package daemon

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"cyclamendyke"
)

// writeBurst is the maximum number of compare-and-swaps and deletions that a process may send at once.
const writeBurst = 20

// countedStore counts calls to a store by operation and result, and limits the rate of its
// compare-and-swaps and deletions.
//
// Lease calls are not limited, because delaying a renewal costs more than the limit saves.
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

// countedKinds are the error kinds that have their own result label; other errors are "error".
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

// Get returns the entry of one key.
func (s *countedStore) Get(ctx context.Context, key string) (cyclamendyke.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	s.count("get", err)
	return entry, err
}

// List returns the entries whose keys begin with prefix.
func (s *countedStore) List(ctx context.Context, prefix string) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	entries, revision, err := s.Store.List(ctx, prefix)
	s.count("list", err)
	return entries, revision, err
}

// CompareAndSwap makes one write once the rate limit allows it.
func (s *countedStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	if err := s.waitForWrite(ctx, "cas"); err != nil {
		return 0, err
	}
	revision, err := s.Store.CompareAndSwap(ctx, key, value, expected, lease)
	s.count("cas", err)
	return revision, err
}

// Delete removes a key once the rate limit allows it.
func (s *countedStore) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) error {
	if err := s.waitForWrite(ctx, "delete"); err != nil {
		return err
	}
	err := s.Store.Delete(ctx, key, expected)
	s.count("delete", err)
	return err
}

// waitForWrite waits until the rate limit allows a write, or returns and counts KindLimited.
func (s *countedStore) waitForWrite(ctx context.Context, operation string) error {
	err := s.writeLimiter.Wait(ctx)
	if err == nil {
		return nil
	}
	err = newError(operation, cyclamendyke.KindLimited, err)
	s.count(operation, err)
	return err
}

// GrantLease grants a lease.
func (s *countedStore) GrantLease(ctx context.Context, ttl time.Duration) (cyclamendyke.LeaseID, error) {
	lease, err := s.Store.GrantLease(ctx, ttl)
	s.count("grant-lease", err)
	return lease, err
}

// KeepAlive extends a lease.
func (s *countedStore) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) error {
	err := s.Store.KeepAlive(ctx, lease)
	s.count("keep-alive", err)
	return err
}

// Revoke ends a lease.
func (s *countedStore) Revoke(ctx context.Context, lease cyclamendyke.LeaseID) error {
	err := s.Store.Revoke(ctx, lease)
	s.count("revoke", err)
	return err
}

// Watch waits for changes below prefix.
func (s *countedStore) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	entries, revision, err := s.Store.Watch(ctx, prefix, after, hold)
	s.count("watch", err)
	return entries, revision, err
}
