package node

import (
	"context"
	"time"

	"cyclamendyke"
)

// countedStore counts the calls to a store and how long they took.
type countedStore struct {
	store   cyclamendyke.BatchStore
	metrics *Metrics
}

var _ cyclamendyke.BatchStore = countedStore{}

// counted notes one call.
func (s countedStore) counted(op string, began time.Time, err error) {
	result := string(cyclamendyke.KindOf(err))
	if err == nil {
		result = "ok"
	}
	s.metrics.StoreCalls.WithLabelValues(op, result).Observe(time.Since(began).Seconds())
}

// Get returns one key.
func (s countedStore) Get(ctx context.Context, key string) (entry cyclamendyke.Entry, err error) {
	defer func(began time.Time) { s.counted("get", began, err) }(time.Now())
	return s.store.Get(ctx, key)
}

// List returns the keys below prefix.
func (s countedStore) List(ctx context.Context, prefix string) (entries []cyclamendyke.Entry, at cyclamendyke.Revision, err error) {
	defer func(began time.Time) { s.counted("list", began, err) }(time.Now())
	return s.store.List(ctx, prefix)
}

// CompareAndSwap writes one key.
func (s countedStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (at cyclamendyke.Revision, err error) {
	defer func(began time.Time) { s.counted("compare-and-swap", began, err) }(time.Now())
	return s.store.CompareAndSwap(ctx, key, value, expected, lease)
}

// Delete removes one key.
func (s countedStore) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) (err error) {
	defer func(began time.Time) { s.counted("delete", began, err) }(time.Now())
	return s.store.Delete(ctx, key, expected)
}

// GrantLease returns a new lease.
func (s countedStore) GrantLease(ctx context.Context, ttl time.Duration) (lease cyclamendyke.LeaseID, err error) {
	defer func(began time.Time) { s.counted("grant-lease", began, err) }(time.Now())
	return s.store.GrantLease(ctx, ttl)
}

// KeepAlive extends a lease.
func (s countedStore) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) (err error) {
	defer func(began time.Time) { s.counted("keep-alive", began, err) }(time.Now())
	return s.store.KeepAlive(ctx, lease)
}

// Revoke ends a lease.
func (s countedStore) Revoke(ctx context.Context, lease cyclamendyke.LeaseID) (err error) {
	defer func(began time.Time) { s.counted("revoke", began, err) }(time.Now())
	return s.store.Revoke(ctx, lease)
}

// Watch waits for changes below prefix.
func (s countedStore) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) (entries []cyclamendyke.Entry, at cyclamendyke.Revision, err error) {
	defer func(began time.Time) { s.counted("watch", began, err) }(time.Now())
	return s.store.Watch(ctx, prefix, after, hold)
}

// Commit writes a batch.
func (s countedStore) Commit(ctx context.Context, batch cyclamendyke.Batch) (at cyclamendyke.Revision, entries []cyclamendyke.Entry, err error) {
	defer func(began time.Time) { s.counted("commit", began, err) }(time.Now())
	return s.store.Commit(ctx, batch)
}
