package node

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// racedStore is a store client that lets something happen right before the first batch that writes a key.
type racedStore struct {
	cyclamendyke.BatchStore
	suffix string // Of the key.
	before func()
}

// Commit applies a batch.
func (s *racedStore) Commit(ctx context.Context, batch cyclamendyke.Batch) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	for _, put := range batch.Puts {
		if before := s.before; before != nil && strings.HasSuffix(put.Key, s.suffix) {
			s.before = nil
			before()
		}
	}
	return s.BatchStore.Commit(ctx, batch)
}

// TestCancellationIsForgottenBesideAnotherWrite cancels stored work while its entry is replaced, as by a scheduler that
// claims it, cancelled or removed. The answer must be true.
func TestCancellationIsForgottenBesideAnotherWrite(t *testing.T) {
	const id = "00000000000000a1"
	for _, test := range []struct {
		name        string
		meanwhile   cyclamendyke.Batch
		wantKind    cyclamendyke.Kind
		isCancelled bool
	}{
		{name: "nothing", isCancelled: true},
		{name: "replaced", meanwhile: cyclamendyke.Batch{Puts: []cyclamendyke.Put{{Key: workKey(id), Value: []byte("{}"), Always: true}}}, isCancelled: true},
		{name: "cancelled", meanwhile: cyclamendyke.Batch{Puts: []cyclamendyke.Put{{Key: workKey(id) + cancelSuffix, Value: []byte("{}"), Always: true}}}, isCancelled: true},
		{name: "ended", meanwhile: cyclamendyke.Batch{
			Puts:    []cyclamendyke.Put{{Key: doneKey(id), Value: []byte(`{"state":"completed"}`), Always: true}},
			Removes: []string{workKey(id)},
		}},
		{name: "removed", meanwhile: cyclamendyke.Batch{Removes: []string{workKey(id)}}, wantKind: cyclamendyke.KindNotFound},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ctx, c := context.Background(), newTestCluster(t)
			operator := c.store.As("operator")
			c.put(schedulerKey, schedulerRecord{memberRecord: memberRecord{Name: "other", Address: "127.0.0.1:1"}, Epoch: 1}) // So that the node is not elected.
			c.put(workKey(id), cyclamendyke.Workflow{ID: id, Team: "t", Queue: "q", AcceptedAt: time.Now()})
			n := c.startNodeWithStore("only", &racedStore{BatchStore: c.store.As("only"), suffix: cancelSuffix, before: func() {
				_, _, err := operator.Commit(ctx, test.meanwhile)
				is.NoErr(err)
			}})
			err := n.storeCancellation(ctx, id)
			is.Equal(cyclamendyke.KindOf(err), test.wantKind)
			_, err = operator.Get(ctx, workKey(id)+cancelSuffix)
			is.Equal(err == nil, test.isCancelled)
		})
	}
}

// conflictingStore is a store client whose batches are refused without a cause.
type conflictingStore struct{ cyclamendyke.BatchStore }

// Commit fails.
func (conflictingStore) Commit(context.Context, cyclamendyke.Batch) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	return 0, nil, cyclamendyke.KindConflict
}

// TestConflictCountsAsStored submits work to a store that reports a conflict and no entry that explains it.
func TestConflictCountsAsStored(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNodeWithStore("only", conflictingStore{c.store.As("only")})
	err := n.storeAndNotify(context.Background(), &cyclamendyke.Workflow{ID: "00000000000000a1"})
	is.Equal(cyclamendyke.KindOf(err), cyclamendyke.KindUnknown)
}
