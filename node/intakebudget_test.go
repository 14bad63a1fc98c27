package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/backlog"
	"cyclamendyke/standin/kv"
)

// TestWorkBeyondMemoryIsAccepted guards against accepting more than a scheduler can hold. What is stored already stays accepted, and what
// may be is not refused.
func TestWorkBeyondMemoryIsAccepted(t *testing.T) {
	const memory = 284 << 20
	wide := func(int64) (*cyclamendyke.Workflow, error) {
		return &cyclamendyke.Workflow{Steps: make([]cyclamendyke.Step, backlog.Limit(memory)/100)}, nil
	}
	for _, test := range []struct {
		name          string
		storedBefore  bool
		storeIsDown   bool
		held          int64
		read          func(int64) (*cyclamendyke.Workflow, error)
		want          cyclamendyke.IntakeResult
		wantRetryTime time.Duration
	}{
		{name: "room", read: readTestWorkflow, want: cyclamendyke.IntakeAccepted},
		{name: "no room", held: backlog.Limit(memory), read: readTestWorkflow, want: cyclamendyke.IntakeLimited, wantRetryTime: time.Second},
		{name: "no room, but stored", storedBefore: true, held: backlog.Limit(memory), read: readTestWorkflow, want: cyclamendyke.IntakeAccepted},
		{name: "no room, and it may be stored", storeIsDown: true, held: backlog.Limit(memory), read: readTestWorkflow, want: cyclamendyke.IntakeUnavailable},
		{name: "never any room", read: wide, want: cyclamendyke.IntakeTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			store := kv.New(kv.Config{})
			n := newIdleNode(store.As("self"))
			n.dir.budget = backlog.NewBudget(backlog.Limit(memory))
			n.session.recordAnswer()
			call := cyclamendyke.IntakeCall{Host: "h", Path: "/q/0123456789abcdef", Timeout: time.Second}
			if test.storedBefore {
				is.Equal(n.Submit(context.Background(), call, readTestWorkflow).Result, cyclamendyke.IntakeAccepted)
			}
			n.dir.budget.See(test.held, bootTime())
			store.SetFaults(kv.Faults{Down: test.storeIsDown})
			reply := n.Submit(context.Background(), call, test.read)
			is.Equal(reply.Result, test.want)
			is.True(reply.RetryAfter >= test.wantRetryTime)
			store.SetFaults(kv.Faults{})
			_, err := store.As("test").Get(context.Background(), workKey("0123456789abcdef"))
			is.Equal(err == nil, test.want == cyclamendyke.IntakeAccepted)
		})
	}
}

// TestSchedulerDoesNotStateWhatItHolds hands in work that takes much memory, and lets it end.
func TestSchedulerDoesNotStateWhatItHolds(t *testing.T) {
	c := newTestCluster(t)
	c.memoryBytes = 4 << 20 // So that a few workflows are worth a statement.
	n := c.startNode("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	large := func(int64) (*cyclamendyke.Workflow, error) {
		return &cyclamendyke.Workflow{Steps: []cyclamendyke.Step{{Count: 100_000, Label: "nowhere"}}}, nil
	}
	call := cyclamendyke.IntakeCall{Host: "h", Path: "/q/00000000000000a1", Timeout: time.Second}
	eventually(t, "acceptance", func() bool {
		return Intake{n}.Submit(context.Background(), call, large).Result == cyclamendyke.IntakeAccepted
	})
	eventually(t, "a statement", func() bool { return n.dir.budget.Held() >= 100_000 })
	eventually(t, "cancellation", func() bool {
		return Intake{n}.Cancel(context.Background(), call).Result == cyclamendyke.IntakeCancelled
	})
	eventually(t, "another statement", func() bool { return n.dir.budget.Held() < 100_000 })
}
