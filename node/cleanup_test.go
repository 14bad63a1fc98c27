package node

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/progress"
)

// keysBelow returns the keys of the store that start with prefix.
func (c *testCluster) keysBelow(prefix string) []string {
	entries, _, err := c.store.As("test").List(context.Background(), prefix)
	if err != nil {
		c.t.Fatal(err)
	}
	keys := make([]string, 0, len(entries))
	for _, entry := range entries {
		keys = append(keys, entry.Key)
	}
	return keys
}

// TestEndedWorkflowLeavesOnlyItsState runs a workflow to its end; only its final state may stay in the
// store, the next scheduler must show it, and the same submission once more must not run it again.
func TestEndedWorkflowLeavesOnlyItsState(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	first := c.startNode("first")
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	const id = "00000000000000a1"
	submitUntilAccepted(t, first, id)
	eventually(t, "completion", func() bool { return isCompleted(first, id) })
	is.Equal(c.keysBelow(workPrefix), []string{})
	is.Equal(c.keysBelow(progressPrefix), []string{})
	is.Equal(c.keysBelow(donePrefix), []string{donePrefix + id})
	second := c.startNode("second")
	first.Leave(time.Second)
	eventually(t, "the second term", func() bool { return epochOf(second) == 2 })
	is.True(isCompleted(second, id))
	submitUntilAccepted(t, second, id)
	is.Equal(c.keysBelow(workPrefix), []string{})
	is.Equal(len(c.target.starts), 1)
	reply := Intake{second}.Cancel(context.Background(), cyclamendyke.IntakeCall{Host: "h", Path: "/q/" + id, Timeout: time.Second})
	is.Equal(reply.Result, cyclamendyke.IntakeCancelled)
	is.True(isCompleted(second, id)) // It ended before it could be cancelled.
}

// TestExpiredFinalStatesAreRemoved stores final states of different ages; only those that need no longer
// be kept may be removed, and none by a scheduler of an earlier epoch.
func TestExpiredFinalStatesAreRemoved(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	put := func(id string, age time.Duration) {
		c.put(donePrefix+id, progress.Final{State: cyclamendyke.WorkflowCompleted, EndedAt: time.Now().Add(-age)})
	}
	put("a1", time.Second)
	put("a2", time.Hour)
	put("b3", time.Hour)
	term := n.term.Load()
	is.NoErr(term.removeExpiredBelow(donePrefix + "a"))
	is.Equal(c.keysBelow(donePrefix), []string{donePrefix + "a1", donePrefix + "b3"})
	c.bumpEpoch()
	is.True(term.removeExpiredBelow(donePrefix+"b") != nil)
	is.Equal(c.keysBelow(donePrefix), []string{donePrefix + "a1", donePrefix + "b3"})
}

// TestCancellationStaysWhileItsWorkflowIsStored has a scheduler find a cancellation of a workflow that it
// does not know; the cancellation may only be removed once the store does not hold the workflow either.
func TestCancellationStaysWhileItsWorkflowIsStored(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	const id = "00000000000000a1"
	work, cancellation := workKey(id), workKey(id)+cancelSuffix
	c.put(work, "not a workflow of this version")
	c.put(cancellation, struct{}{})
	term := n.term.Load()
	term.removeCancellation(id)
	is.Equal(c.keysBelow(workPrefix), []string{work, cancellation})
	c.remove(work)
	term.removeCancellation(id)
	is.Equal(c.keysBelow(workPrefix), []string{})
}

// remove removes a key from the store.
func (c *testCluster) remove(key string) {
	batch := cyclamendyke.Batch{Removes: []string{key}}
	if _, _, err := c.store.As("test").Commit(context.Background(), batch); err != nil {
		c.t.Fatal(err)
	}
}

// bumpEpoch writes the next epoch, as the election of another scheduler does.
func (c *testCluster) bumpEpoch() {
	store := c.store.As("test")
	entry, err := store.Get(context.Background(), epochKey)
	if err != nil {
		c.t.Fatal(err)
	}
	value, err := json.Marshal(99)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(context.Background(), epochKey, value, entry.Revision, 0); err != nil {
		c.t.Fatal(err)
	}
}

// noFinals is a store client that takes no batch with a final record while refuse is set.
type noFinals struct {
	cyclamendyke.BatchStore
	refuse atomic.Bool
}

// Commit refuses final records.
func (s *noFinals) Commit(ctx context.Context, batch cyclamendyke.Batch) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	for _, put := range batch.Puts {
		if s.refuse.Load() && strings.HasPrefix(put.Key, donePrefix) {
			return 0, nil, cyclamendyke.KindUnavailable
		}
	}
	return s.BatchStore.Commit(ctx, batch)
}

// TestCancellationIsRemovedBeforeFinalStateIsStored ends the term between the two.
func TestCancellationIsRemovedBeforeFinalStateIsStored(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	store := &noFinals{BatchStore: c.store.As("only")}
	n := c.start("only", store, awayTarget{c.target}, 0)
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	const id = "00000000000000a1"
	submitUntilAccepted(t, n, id)
	time.Sleep(2 * followBatchDelay()) // The scheduler knows the work.
	store.refuse.Store(true)
	call := cyclamendyke.IntakeCall{Host: "h", Path: "/q/" + id, Timeout: 2 * time.Second}
	is.Equal(Intake{n}.Cancel(context.Background(), call).Result, cyclamendyke.IntakeCancelled)
	time.Sleep(3 * followBatchDelay())
	n.term.Load().end("test")
	store.refuse.Store(false)
	eventually(t, "the second term", func() bool { return epochOf(n) == 2 })
	time.Sleep(time.Second)
	is.Equal(Intake{n}.Query(context.Background(), call).State, cyclamendyke.WorkflowCancelled)
}
