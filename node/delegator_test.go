package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// countingTargets counts the starts that one member sends to the targets.
type countingTargets struct {
	*fakeTarget
	starts atomic.Int64
}

// Start counts the call and starts the run.
func (c *countingTargets) Start(ctx context.Context, target cyclamendyke.Target, order cyclamendyke.StartOrder) (time.Duration, error) {
	c.starts.Add(1)
	return c.fakeTarget.Start(ctx, target, order)
}

// newLargeTestCluster returns a cluster with enough targets for the scheduler to delegate orders.
func newLargeTestCluster(t *testing.T) *testCluster {
	c := newTestCluster(t)
	for i := range targetsPerCore {
		id := cyclamendyke.TargetID(fmt.Sprint("i-", 2+i))
		c.put("targets/"+string(id), cyclamendyke.Target{ID: id, Service: "s", Address: "x", Capacity: cyclamendyke.Resources{Cores: 16000}})
	}
	return c
}

// TestMembersExecuteOrders checks that a scheduler with many targets delegates all starts to another
// member, and starts runs itself after that member is lost.
func TestMembersExecuteOrders(t *testing.T) {
	is := is.New(t)
	c := newLargeTestCluster(t)
	firstTargets, secondTargets := &countingTargets{fakeTarget: c.target}, &countingTargets{fakeTarget: c.target}
	first := c.startNodeWithCores("first", firstTargets, 1)
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	second := c.startNodeWithCores("second", secondTargets, 1)
	eventually(t, "enough members and targets to delegate orders", func() bool {
		term := first.term.Load()
		canDelegate, err := query(context.Background(), term, func(answer func(bool)) {
			answer(len(term.delegator.executors.all) == 1)
		})
		return err == nil && canDelegate
	})
	const workflows = 20
	id := func(i int) string { return fmt.Sprintf("00000000000000%02x", i) }
	for i := range workflows {
		submitUntilAccepted(t, first, id(i))
	}
	for i := range workflows {
		eventually(t, "completion of "+id(i), func() bool { return isCompleted(first, id(i)) })
	}
	is.True(secondTargets.starts.Load() > 0)
	is.Equal(firstTargets.starts.Load(), int64(0)) // Every start was delegated.

	second.Close()
	submitUntilAccepted(t, first, id(workflows))
	eventually(t, "completion without the second member", func() bool { return isCompleted(first, id(workflows)) })
	is.True(firstTargets.starts.Load() > 0)
	for _, starts := range c.target.starts {
		is.Equal(starts, 1)
	}
}

// TestMembersInEvacuatedZoneExecuteOrders evacuates the zone of all members; they must go on calling the
// targets of other zones.
func TestMembersInEvacuatedZoneExecuteOrders(t *testing.T) {
	c := newLargeTestCluster(t)
	c.zone = testZone
	c.evacuate()
	first := c.startNodeWithCores("first", c.target, 1)
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	targets := &countingTargets{fakeTarget: c.target}
	second := c.startNodeWithCores("second", targets, 1)
	eventually(t, "starts by the second member", func() bool {
		c.complete(first, 1)
		return targets.starts.Load() > 2
	})
	is.New(t).True(second.evacuations.has(testZone))
}

// unreachableTargets fails every call as if no target could be reached.
type unreachableTargets struct {
	*fakeTarget
}

// Renew fails.
func (unreachableTargets) Renew(context.Context, cyclamendyke.Target, cyclamendyke.Renewal) (cyclamendyke.Listing, error) {
	return cyclamendyke.Listing{}, cyclamendyke.KindUnavailable
}

// Start fails.
func (unreachableTargets) Start(context.Context, cyclamendyke.Target, cyclamendyke.StartOrder) (time.Duration, error) {
	return 0, cyclamendyke.KindUnavailable
}

// TestFailingMemberIsSuspended checks that the scheduler suspends a member that reaches no target, and
// that workflows complete without it.
func TestFailingMemberIsSuspended(t *testing.T) {
	is := is.New(t)
	c := newLargeTestCluster(t)
	first := c.startNode("first")
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	c.startNodeWithTargets("second", unreachableTargets{c.target})
	eventually(t, "the suspension of the second member", func() bool {
		term := first.term.Load()
		suspended, err := query(context.Background(), term, func(answer func(bool)) { answer(len(term.delegator.suspendedUntil) == 1) })
		return err == nil && suspended
	})
	submitUntilAccepted(t, first, "00000000000000b1")
	eventually(t, "completion", func() bool { return isCompleted(first, "00000000000000b1") })
	for _, starts := range c.target.starts {
		is.Equal(starts, 1)
	}
}

// TestSlowSchedulerKeepsExecutors suspends all members, as a scheduler does that is too slow to hear them in
// time; some must go on carrying out its orders.
func TestSlowSchedulerKeepsExecutors(t *testing.T) {
	c := newLargeTestCluster(t)
	first := c.startNodeWithCores("first", c.target, 1)
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	members := []cyclamendyke.MemberName{"second", "third", "fourth", "fifth"}
	for _, name := range members {
		c.startNodeWithCores(name, c.target, 1)
	}
	eventually(t, "executors", func() bool {
		term := first.term.Load()
		count, err := query(context.Background(), term, func(answer func(int)) { answer(len(term.delegator.executors.all)) })
		return err == nil && count > 0 && len(first.dir.memberNames()) == 1+len(members)
	})
	term := first.term.Load()
	left, err := query(context.Background(), term, func(answer func(int)) {
		for _, name := range members {
			term.delegator.suspend(name)
		}
		answer(len(term.delegator.executors.all))
	})
	is := is.New(t)
	is.NoErr(err)
	is.True(left > 0)
}
