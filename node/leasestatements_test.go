package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke/core/lease"
)

// silentEnd returns when the leases on a target are over by a node's sightings, or zero if the list does not name it.
func silentEnd(n *Node) time.Duration {
	return n.dir.view().leases.clone().Ends(10 * time.Second).Silent["i-1"]
}

// TestTakeoverForgetsLeasesOfSchedulerWithoutStore has a scheduler without the store go on, on a target that the two that
// follow each other do not reach.
func TestTakeoverForgetsLeasesOfSchedulerWithoutStore(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	store := &cutStore{BatchStore: c.store.As("first")}
	first := c.start("first", store, c.target, 0)
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	second := c.start("second", c.store.As("second"), awayTarget{c.target}, 0)
	submitUntilAccepted(t, second, "00000000000000a1")
	eventually(t, "completion", func() bool { return isCompleted(second, "00000000000000a1") })
	cutAt := bootTime()
	store.cut.Store(true)
	c.servers["first"].Close() // Nobody can ask it for its final list, which would end its term.
	eventually(t, "the second term", func() bool { return epochOf(second) == 2 })
	eventually(t, "the list of silent targets", func() bool { return silentEnd(second) != 0 })
	is.Equal(epochOf(first), uint64(1)) // It goes on, as it may.
	end := silentEnd(second)
	const roundsApart = time.Second
	is.True(end > cutAt-roundsApart+lease.Longest(10*time.Second)) // It may have granted that with its last round.
	is.True(end < cutAt+lease.Longest(10*time.Second)+lease.Margin+roundsApart)
	third := c.start("third", c.store.As("third"), awayTarget{c.target}, 0)
	eventually(t, "the third member", func() bool { return third.dir.view().loaded })
	second.Leave(0)
	eventually(t, "the third term", func() bool { return epochOf(third) == 3 })
	is.Equal(silentEnd(second), end) // An election does not move it.
	is.Equal(third.term.Load().election.leases.silent[0].Serial, second.dir.view().leases.silent[0].Serial)
}

// TestLeasesOfEarlierVersionAreNotBounded begins a term after schedulers that have stored nothing about their leases.
func TestLeasesOfEarlierVersionAreNotBounded(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.put(epochKey, 5)
	n := c.startNode("only")
	eventually(t, "a term", func() bool { return epochOf(n) == 6 })
	is.True(!n.term.Load().election.areLeasesBounded)
	eventually(t, "a statement", func() bool { return n.dir.view().leases.epoch == 6 })
	n.term.Load().end("test")
	eventually(t, "the next term", func() bool { return epochOf(n) == 7 })
	is.True(n.term.Load().election.areLeasesBounded)
	is.True(earlierLeasesEnd(0, 10*time.Second, false) > earlierLeasesEnd(0, 10*time.Second, true)+unboundedGrace)
}
