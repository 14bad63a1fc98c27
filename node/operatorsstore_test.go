package node

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"cyclamendyke"
)

// operatorsStore is a store whose calls on the operators' keys can be made to fail.
type operatorsStore struct {
	cyclamendyke.BatchStore
	compacted atomic.Bool // The history of the operators' keys is gone.
	silent    atomic.Bool // Watches of the operators' keys have no answer.
	unlisted  atomic.Bool // Nothing that operators write can be listed.
	afterList func()      // Called, if not nil, before the evacuations that were listed are returned.
}

// Watch fails or waits for the end of the context, if so set.
func (s *operatorsStore) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	isOperators := prefix == jsonCodec{}.OperatorsPrefix()
	switch {
	case isOperators && s.compacted.Load():
		time.Sleep(20 * time.Millisecond)
		return nil, 0, cyclamendyke.KindCompacted
	case isOperators && s.silent.Load():
		<-ctx.Done()
		return nil, 0, cyclamendyke.KindUnknown
	}
	return s.BatchStore.Watch(ctx, prefix, after, hold)
}

// List calls afterList between the listing and its return.
func (s *operatorsStore) List(ctx context.Context, prefix string) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	if strings.HasPrefix(prefix, jsonCodec{}.OperatorsPrefix()) && s.unlisted.Load() {
		return nil, 0, cyclamendyke.KindUnknown
	}
	entries, at, err := s.BatchStore.List(ctx, prefix)
	if prefix == (jsonCodec{}).EvacuationsPrefix() && s.afterList != nil {
		s.afterList()
	}
	return entries, at, err
}

// zoneTargets counts the starts in each zone.
type zoneTargets struct {
	*fakeTarget
	started map[cyclamendyke.ZoneName]int
}

// Start counts the start and carries it out.
func (z *zoneTargets) Start(ctx context.Context, target cyclamendyke.Target, order cyclamendyke.StartOrder) (time.Duration, error) {
	z.mu.Lock()
	z.started[target.Zone]++
	z.mu.Unlock()
	return z.fakeTarget.Start(ctx, target, order)
}

func (z *zoneTargets) startsInZone() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.started[testZone]
}
