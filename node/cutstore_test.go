package node

import (
	"context"
	"sync/atomic"
	"time"

	"cyclamendyke"
)

// cutStore is a store client that does not reach the store while cut is set.
type cutStore struct {
	cyclamendyke.BatchStore
	cut atomic.Bool
}

// KeepAlive fails while cut.
func (s *cutStore) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) error {
	if s.cut.Load() {
		return cyclamendyke.KindUnavailable
	}
	return s.BatchStore.KeepAlive(ctx, lease)
}

// Commit fails while cut.
func (s *cutStore) Commit(ctx context.Context, batch cyclamendyke.Batch) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	if s.cut.Load() {
		return 0, nil, cyclamendyke.KindUnavailable
	}
	return s.BatchStore.Commit(ctx, batch)
}

// Watch fails while cut.
func (s *cutStore) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, wait time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	events, reached, err := s.BatchStore.Watch(ctx, prefix, after, wait)
	if s.cut.Load() {
		return nil, 0, cyclamendyke.KindUnavailable
	}
	return events, reached, err
}
