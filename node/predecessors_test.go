package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

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

// TestResignationSpeaksForEarlierSchedulers has a scheduler without the store go on while two others follow each other.
func TestResignationSpeaksForEarlierSchedulers(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	store := &cutStore{BatchStore: c.store.As("first")}
	first := c.start("first", store, awayTarget{c.target}, 0)
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	c.servers["first"].Close() // Nobody can ask it for its final list, which would end its term.
	store.cut.Store(true)
	second := c.start("second", c.store.As("second"), awayTarget{c.target}, 0)
	eventually(t, "the second term", func() bool { return epochOf(second) == 2 })
	is.True(!second.term.Load().election.predecessorsEnded)
	second.Leave(0)
	third := c.start("third", c.store.As("third"), awayTarget{c.target}, 0)
	eventually(t, "the third term", func() bool { return epochOf(third) == 3 })
	is.Equal(epochOf(first), uint64(1))
	is.True(first.term.Load().maySendOrders()) // The first goes on, as it may.
	is.True(!third.term.Load().election.predecessorsEnded)
}
