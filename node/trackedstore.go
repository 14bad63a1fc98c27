package node

import (
	"context"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/storepath"
)

// trackedStore wraps a store and records how its calls end as evidence on the own path to it.
type trackedStore struct {
	store cyclamendyke.BatchStore
	paths *storePaths
}

var _ cyclamendyke.BatchStore = trackedStore{}

// begin records that a call is sent, and returns a function that records its end.
func (s trackedStore) begin() func(err *error) {
	var call storepath.CallID
	s.paths.update(func(now time.Duration, paths *storepath.Paths) { call = paths.Begin(now) })
	return func(err *error) {
		outcome := callOutcome(*err)
		s.paths.update(func(now time.Duration, paths *storepath.Paths) { paths.End(now, call, outcome) })
	}
}

// endLong records the end of a call whose duration says nothing. Its failure may have other causes than the
// path, so that it only asks for a probe.
func (s trackedStore) endLong(sent time.Duration, err error) {
	switch callOutcome(err) {
	case storepath.Answered:
		s.paths.update(func(_ time.Duration, paths *storepath.Paths) { paths.Answered(sent) })
	case storepath.Abandoned:
	default:
		s.paths.requestProbe()
	}
}

// Get returns one entry.
func (s trackedStore) Get(ctx context.Context, key string) (entry cyclamendyke.Entry, err error) {
	defer s.begin()(&err)
	return s.store.Get(ctx, key)
}

// List returns the entries below prefix.
func (s trackedStore) List(ctx context.Context, prefix string) (entries []cyclamendyke.Entry, at cyclamendyke.Revision, err error) {
	defer func(sent time.Duration) { s.endLong(sent, err) }(bootTime())
	return s.store.List(ctx, prefix)
}

// CompareAndSwap writes one key.
func (s trackedStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (at cyclamendyke.Revision, err error) {
	defer s.begin()(&err)
	return s.store.CompareAndSwap(ctx, key, value, expected, lease)
}

// Delete removes one key.
func (s trackedStore) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) (err error) {
	defer s.begin()(&err)
	return s.store.Delete(ctx, key, expected)
}

// GrantLease returns a new lease.
func (s trackedStore) GrantLease(ctx context.Context, ttl time.Duration) (lease cyclamendyke.LeaseID, err error) {
	defer s.begin()(&err)
	return s.store.GrantLease(ctx, ttl)
}

// KeepAlive extends a lease.
func (s trackedStore) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) (err error) {
	defer s.begin()(&err)
	return s.store.KeepAlive(ctx, lease)
}

// Revoke ends a lease.
func (s trackedStore) Revoke(ctx context.Context, lease cyclamendyke.LeaseID) (err error) {
	defer s.begin()(&err)
	return s.store.Revoke(ctx, lease)
}

// Watch waits for changes below prefix.
func (s trackedStore) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) (entries []cyclamendyke.Entry, at cyclamendyke.Revision, err error) {
	defer func(sent time.Duration) { s.endLong(sent, err) }(bootTime())
	return s.store.Watch(ctx, prefix, after, hold)
}

// Commit writes a batch.
func (s trackedStore) Commit(ctx context.Context, batch cyclamendyke.Batch) (at cyclamendyke.Revision, entries []cyclamendyke.Entry, err error) {
	defer s.begin()(&err)
	return s.store.Commit(ctx, batch)
}
