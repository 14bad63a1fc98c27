package node

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"cyclamendyke"
)

// silentElections carries out the commits that elect a scheduler and never answers them.
type silentElections struct {
	cyclamendyke.BatchStore
}

// Commit carries out a batch, and waits for the end of the context if it writes the scheduler's record.
func (s silentElections) Commit(ctx context.Context, batch cyclamendyke.Batch) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	revision, current, err := s.BatchStore.Commit(ctx, batch)
	for _, put := range batch.Puts {
		if put.Key == schedulerKey {
			<-ctx.Done()
			return 0, nil, NewError("commit", cyclamendyke.KindUnknown, ctx.Err())
		}
	}
	return revision, current, err
}

// TestElectionWithoutAnswerIsWon loses the answer of each commit that elects a scheduler. The first one must
// count, and the scheduler before it as one that may still be acting.
func TestElectionWithoutAnswerIsWon(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.put(epochKey, 5)
	n := c.startNodeWithStore("only", silentElections{c.store.As("only")})
	eventually(t, "a term", func() bool { return epochOf(n) != 0 })
	is.Equal(epochOf(n), uint64(6))
	is.Equal(n.term.Load().election.areLeasesBounded, false)
	submitUntilAccepted(t, n, "00000000000000a1")
	eventually(t, "completion", func() bool { return isCompleted(n, "00000000000000a1") })
	n.term.Load().end("test")
	eventually(t, "the next term", func() bool { return epochOf(n) == 7 })
}
