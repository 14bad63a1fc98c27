package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// startedTasks returns how many tasks the target has started.
func (c *testCluster) startedTasks() int {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	return len(c.target.starts)
}

// TestSchedulerClaimsReservedWork stores work that is reserved for the next scheduler, although there is one. It must
// run once, and the store must say that it may have been started before it is.
func TestSchedulerClaimsReservedWork(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("a")
	eventually(t, "a scheduler", func() bool { return n.term.Load() != nil })
	const id = "00000000000000a1"
	workflow := cyclamendyke.Workflow{
		ID: id, Team: "t", Queue: "q", AcceptedAt: time.Now(), AfterEpoch: n.term.Load().epoch,
		Steps: []cyclamendyke.Step{{Count: 1, Need: cyclamendyke.Resources{Cores: 1000}, Estimate: 50 * time.Millisecond}},
	}
	c.put(workKey(id), &workflow)
	eventually(t, "a claim", func() bool {
		hasStarted := c.startedTasks() > 0
		entry, err := c.store.As("operator").Get(context.Background(), workKey(id))
		var stored cyclamendyke.Workflow
		isClaimed := err != nil || json.Unmarshal(entry.Value, &stored) == nil && stored.AfterEpoch == 0
		is.True(isClaimed || !hasStarted)
		return isClaimed
	})
	eventually(t, "a start", func() bool { return c.startedTasks() == 1 })
}

// TestUnreachableSchedulerIsPassedOver closes the scheduler's connections; work that is stored from then on must be
// reserved for its successor until the scheduler answers again.
func TestUnreachableSchedulerIsPassedOver(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	first := c.startNode("a")
	eventually(t, "a scheduler", func() bool { return first.term.Load() != nil })
	second := c.startNode("b")
	eventually(t, "the second member", second.Ready)
	eventually(t, "the directory", func() bool { return second.dir.view().scheduler != nil })
	submitUntilAccepted(t, second, "00000000000000a1")
	eventually(t, "the end", func() bool { return isCompleted(second, "00000000000000a1") })
	is.Equal(second.reservedAfter(), uint64(0))
	c.servers["a"].Close()
	second.reach.lose(first.term.Load().epoch)
	is.Equal(second.reservedAfter(), first.term.Load().epoch)
	second.dir.mu.Lock()
	second.dir.lastSchedulers[0].KeepsReservations = false // As an earlier version.
	second.dir.mu.Unlock()
	is.Equal(second.reservedAfter(), uint64(0))
	second.dir.mu.Lock()
	second.dir.lastSchedulers[0].KeepsReservations = true
	second.dir.mu.Unlock()
	submitUntilAccepted(t, second, "00000000000000a2")
	eventually(t, "the scheduler out of reach", func() bool { return second.reservedAfter() == first.term.Load().epoch })
	submitUntilAccepted(t, second, "00000000000000a3") // The scheduler finds it in the store.
	eventually(t, "three starts", func() bool { return c.startedTasks() == 3 })
	second.reach.regain(first.term.Load().epoch)
	is.Equal(second.reservedAfter(), uint64(0))
}
