package node

import (
	"context"
	"time"

	"cyclamendyke"
)

// instrumentedStore wraps a store and records the number and duration of its calls.
type instrumentedStore struct {
	store   cyclamendyke.BatchStore
	metrics *Metrics
}

var _ cyclamendyke.BatchStore = instrumentedStore{}

// observe records one call.
func (s instrumentedStore) observe(op string, start time.Time, err error) {
	result := string(cyclamendyke.KindOf(err))
	if err == nil {
		result = "ok"
	}
	s.metrics.StoreCallSeconds.WithLabelValues(op, result).Observe(time.Since(start).Seconds())
}

// Get returns one entry.
func (s instrumentedStore) Get(ctx context.Context, key string) (entry cyclamendyke.Entry, err error) {
	defer func(start time.Time) { s.observe("get", start, err) }(time.Now())
	return s.store.Get(ctx, key)
}

// List returns the entries below prefix.
func (s instrumentedStore) List(ctx context.Context, prefix string) (entries []cyclamendyke.Entry, at cyclamendyke.Revision, err error) {
	defer func(start time.Time) { s.observe("list", start, err) }(time.Now())
	return s.store.List(ctx, prefix)
}

// CompareAndSwap writes one key.
func (s instrumentedStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (at cyclamendyke.Revision, err error) {
	defer func(start time.Time) { s.observe("compare-and-swap", start, err) }(time.Now())
	return s.store.CompareAndSwap(ctx, key, value, expected, lease)
}

// Delete removes one key.
func (s instrumentedStore) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) (err error) {
	defer func(start time.Time) { s.observe("delete", start, err) }(time.Now())
	return s.store.Delete(ctx, key, expected)
}

// GrantLease returns a new lease.
func (s instrumentedStore) GrantLease(ctx context.Context, ttl time.Duration) (lease cyclamendyke.LeaseID, err error) {
	defer func(start time.Time) { s.observe("grant-lease", start, err) }(time.Now())
	return s.store.GrantLease(ctx, ttl)
}

// KeepAlive extends a lease.
func (s instrumentedStore) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) (err error) {
	defer func(start time.Time) { s.observe("keep-alive", start, err) }(time.Now())
	return s.store.KeepAlive(ctx, lease)
}

// Revoke ends a lease.
func (s instrumentedStore) Revoke(ctx context.Context, lease cyclamendyke.LeaseID) (err error) {
	defer func(start time.Time) { s.observe("revoke", start, err) }(time.Now())
	return s.store.Revoke(ctx, lease)
}

// Watch waits for changes below prefix.
func (s instrumentedStore) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) (entries []cyclamendyke.Entry, at cyclamendyke.Revision, err error) {
	defer func(start time.Time) { s.observe("watch", start, err) }(time.Now())
	return s.store.Watch(ctx, prefix, after, hold)
}

// Commit writes a batch.
func (s instrumentedStore) Commit(ctx context.Context, batch cyclamendyke.Batch) (at cyclamendyke.Revision, entries []cyclamendyke.Entry, err error) {
	defer func(start time.Time) { s.observe("commit", start, err) }(time.Now())
	return s.store.Commit(ctx, batch)
}
