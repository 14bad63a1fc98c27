package store

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
)

// Logging is a Store that logs each call at level debug.
type Logging struct {
	store cyclamendyke.Store
	log   *log.Logger
}

var _ cyclamendyke.Store = (*Logging)(nil)

// NewLogging wraps store so that its calls are logged.
func NewLogging(store cyclamendyke.Store, logger *log.Logger) *Logging {
	return &Logging{store: store, log: logger}
}

// Get returns one key and logs the call.
func (l *Logging) Get(ctx context.Context, key string) (cyclamendyke.Entry, error) {
	began := time.Now()
	entry, err := l.store.Get(ctx, key)
	l.log.Debug("store get", "key", key, "revision", entry.Revision, "took", time.Since(began), "err", err)
	return entry, err
}

// List returns the entries whose keys start with prefix and logs the call.
func (l *Logging) List(ctx context.Context, prefix string) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	began := time.Now()
	entries, revision, err := l.store.List(ctx, prefix)
	l.log.Debug("store list", "prefix", prefix, "keys", len(entries), "revision", revision, "took", time.Since(began), "err", err)
	return entries, revision, err
}

// CompareAndSwap writes the key and logs the call.
func (l *Logging) CompareAndSwap(ctx context.Context, key string, value []byte, expected cyclamendyke.Revision, lease cyclamendyke.LeaseID) (cyclamendyke.Revision, error) {
	began := time.Now()
	revision, err := l.store.CompareAndSwap(ctx, key, value, expected, lease)
	l.log.Debug("store compare-and-swap", "key", key, "bytes", len(value), "expected", expected, "lease", lease, "revision", revision, "took", time.Since(began), "err", err)
	return revision, err
}

// Delete removes the key and logs the call.
func (l *Logging) Delete(ctx context.Context, key string, expected cyclamendyke.Revision) error {
	began := time.Now()
	err := l.store.Delete(ctx, key, expected)
	l.log.Debug("store delete", "key", key, "expected", expected, "took", time.Since(began), "err", err)
	return err
}

// GrantLease creates a lease and logs the call.
func (l *Logging) GrantLease(ctx context.Context, ttl time.Duration) (cyclamendyke.LeaseID, error) {
	began := time.Now()
	lease, err := l.store.GrantLease(ctx, ttl)
	l.log.Debug("store grant-lease", "ttl", ttl, "lease", lease, "took", time.Since(began), "err", err)
	return lease, err
}

// KeepAlive extends the lease and logs the call.
func (l *Logging) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) error {
	began := time.Now()
	err := l.store.KeepAlive(ctx, lease)
	l.log.Debug("store keep-alive", "lease", lease, "took", time.Since(began), "err", err)
	return err
}

// Revoke ends the lease and logs the call.
func (l *Logging) Revoke(ctx context.Context, lease cyclamendyke.LeaseID) error {
	began := time.Now()
	err := l.store.Revoke(ctx, lease)
	l.log.Debug("store revoke", "lease", lease, "took", time.Since(began), "err", err)
	return err
}

// Watch waits for changes and logs the call.
func (l *Logging) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	began := time.Now()
	entries, revision, err := l.store.Watch(ctx, prefix, after, hold)
	l.log.Debug("store watch", "prefix", prefix, "after", after, "keys", len(entries), "revision", revision, "took", time.Since(began), "err", err)
	return entries, revision, err
}
