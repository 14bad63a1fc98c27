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

// counted counts the starts that one member sends.
type counted struct {
	*oneTarget
	starts atomic.Int64
}

// Start starts a run.
func (c *counted) Start(ctx context.Context, target cyclamendyke.Target, order cyclamendyke.StartOrder) (time.Duration, error) {
	c.starts.Add(1)
	return c.oneTarget.Start(ctx, target, order)
}

// largeCell returns a cell with so many targets that members carry out orders for the scheduler.
func largeCell(t *testing.T) *cell {
	c := newCell(t)
	for i := range relayTargets {
		id := cyclamendyke.TargetID(fmt.Sprint("i-", 2+i))
		c.put("targets/"+string(id), cyclamendyke.Target{ID: id, Service: "s", Address: "x", Capacity: cyclamendyke.Resources{Cores: 16000}})
	}
	return c
}

// TestMembersCarryOrders lets a scheduler with many targets work with one other member, which then is lost.
func TestMembersCarryOrders(t *testing.T) {
	is := is.New(t)
	c := largeCell(t)
	scheduler, other := &counted{oneTarget: c.target}, &counted{oneTarget: c.target}
	first := c.startWith("first", scheduler)
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	second := c.startWith("second", other)
	eventually(t, "a member and targets enough to hand orders over", func() bool {
		term := first.term.Load()
		enough, err := ask(context.Background(), term, func(answer func(bool)) {
			answer(len(term.relay.members) == 1 && term.sched.Targets() >= relayTargets)
		})
		return err == nil && enough
	})
	const workflows = 20
	id := func(i int) string { return fmt.Sprintf("00000000000000%02x", i) }
	for i := range workflows {
		submit(t, first, id(i))
	}
	for i := range workflows {
		eventually(t, "completion of "+id(i), func() bool { return completed(first, id(i)) })
	}
	is.True(other.starts.Load() > 0)
	is.Equal(scheduler.starts.Load(), int64(0)) // It has handed over every one.

	second.Close()
	submit(t, first, id(workflows))
	eventually(t, "completion without the second", func() bool { return completed(first, id(workflows)) })
	is.True(scheduler.starts.Load() > 0)
	for _, starts := range c.target.starts {
		is.Equal(starts, 1)
	}
}

// unreachable fails every call as if no target could be reached.
type unreachable struct {
	*oneTarget
}

// Renew fails.
func (unreachable) Renew(context.Context, cyclamendyke.Target, cyclamendyke.Renewal) (cyclamendyke.Listing, error) {
	return cyclamendyke.Listing{}, cyclamendyke.KindUnavailable
}

// Start fails.
func (unreachable) Start(context.Context, cyclamendyke.Target, cyclamendyke.StartOrder) (time.Duration, error) {
	return 0, cyclamendyke.KindUnavailable
}

// TestCutMemberIsLeftAlone hands orders to a member that reaches no target; work must go on without it.
func TestCutMemberIsLeftAlone(t *testing.T) {
	is := is.New(t)
	c := largeCell(t)
	first := c.start("first")
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	c.startWith("second", unreachable{c.target})
	eventually(t, "the second left alone", func() bool {
		term := first.term.Load()
		resting, err := ask(context.Background(), term, func(answer func(bool)) { answer(len(term.relay.resting) == 1) })
		return err == nil && resting
	})
	submit(t, first, "00000000000000b1")
	eventually(t, "completion", func() bool { return completed(first, "00000000000000b1") })
	for _, starts := range c.target.starts {
		is.Equal(starts, 1)
	}
}
