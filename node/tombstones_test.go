package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/standin/kv"
)

// lateStore is a store client whose writes of one workflow get no answer and are carried out when the test says so.
type lateStore struct {
	cyclamendyke.BatchStore
	key string // Of the workflow.

	mu     sync.Mutex
	isLate bool
	late   []cyclamendyke.Batch
}

// Commit writes a batch, or keeps it for later.
func (s *lateStore) Commit(ctx context.Context, batch cyclamendyke.Batch) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	creates := slices.ContainsFunc(batch.Puts, func(p cyclamendyke.Put) bool { return p.Key == s.key })
	s.mu.Lock()
	isLate := s.isLate && creates
	if isLate {
		s.late = append(s.late, batch)
	}
	s.mu.Unlock()
	if isLate {
		sleep(ctx, 50*time.Millisecond)
		return 0, nil, cyclamendyke.KindUnknown
	}
	return s.BatchStore.Commit(ctx, batch)
}

func (s *lateStore) setLate(isLate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLate = isLate
}

// carryOut carries the late writes out and returns how many took effect.
func (s *lateStore) carryOut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, batch := range s.late {
		if _, _, err := s.BatchStore.Commit(context.Background(), batch); err == nil {
			count++
		}
	}
	s.late = nil
	return count
}

func cancelAt(n *Node, id string) cyclamendyke.IntakeResult {
	call := cyclamendyke.IntakeCall{Host: "h", Path: "/q/" + id, Timeout: 3 * time.Second}
	return Intake{n}.Cancel(context.Background(), call).Result
}

// startsOf returns how many tasks of the cluster's target were started.
func (c *testCluster) startsOf() int {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	total := 0
	for _, starts := range c.target.starts {
		total += starts
	}
	return total
}

// TestCancelledWorkflowIsCreatedByLateWrite guards against a workflow that runs though its cancellation was answered with "no such
// workflow": a write that creates it is carried out later, whichever member sent it, also if that one has ended.
func TestCancelledWorkflowIsCreatedByLateWrite(t *testing.T) {
	const id = "00000000000000a1"
	for _, test := range []struct {
		name     string
		isKilled bool // The first member, before the cancellation.
		at       int  // The member that cancels.
		anewAt   int  // The member at which the workflow is handed in anew.
	}{
		{name: "same member", at: 0, anewAt: 0},
		{name: "another member", at: 1, anewAt: 1},
		{name: "another member, anew at the first", at: 1, anewAt: 0},
		{name: "another member, anew at a third", at: 1, anewAt: 2},
		{name: "first member killed", isKilled: true, at: 1, anewAt: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			store := &lateStore{BatchStore: c.store.As("a"), key: workKey(id), isLate: true}
			nodes := []*Node{nil, c.startNode("b"), c.startNode("c")}
			eventually(t, "a scheduler", func() bool { return epochOf(nodes[1])+epochOf(nodes[2]) > 0 })
			nodes[0] = c.startNodeWithStore("a", store)
			eventually(t, "the members", func() bool { return len(nodes[0].dir.memberNames()) == 3 && nodes[0].fleetConfig.Load() != nil })
			for _, n := range nodes[1:] {
				eventually(t, "the first member", func() bool { return len(n.dir.memberNames()) == 3 })
			}
			nodes[0].dir.mu.Lock()
			nodes[0].dir.members = map[cyclamendyke.MemberName]memberRecord{} // So that no member stores it for the first.
			nodes[0].dir.mu.Unlock()
			is.Equal(submit(nodes[0], id).Result, cyclamendyke.IntakeUnknown)
			is.True(len(store.late) > 0)
			if test.isKilled {
				nodes[0].Close()
			}
			is.Equal(cancelAt(nodes[test.at], id), cyclamendyke.IntakeNoWorkflow)
			is.Equal(store.carryOut(), 0)
			time.Sleep(500 * time.Millisecond) // More than a scheduler takes to follow the store.
			is.Equal(c.startsOf(), 0)
			is.Equal(Intake{nodes[1]}.Query(context.Background(), cyclamendyke.IntakeCall{Host: "h", Path: "/q/" + id, Timeout: time.Second}).Result, cyclamendyke.IntakeNoWorkflow)

			store.setLate(false)
			submitUntilAccepted(t, nodes[test.anewAt], id)
			eventually(t, "completion", func() bool { return isCompleted(nodes[1], id) })
			is.Equal(c.startsOf(), 1)
			is.Equal(cancelAt(nodes[2], id), cyclamendyke.IntakeCancelled) // It has ended.
		})
	}
}

// TestWorkflowAfterTombstoneIsCreatedByLateWrite guards against the same when the write in doubt is that of a workflow handed in
// anew, which names the tombstone of an earlier cancellation.
func TestWorkflowAfterTombstoneIsCreatedByLateWrite(t *testing.T) {
	const id = "00000000000000a1"
	is := is.New(t)
	c := newTestCluster(t)
	store := &lateStore{BatchStore: c.store.As("a"), key: workKey(id)}
	n := c.startNodeWithStore("a", store)
	eventually(t, "a scheduler", func() bool { return epochOf(n) > 0 && n.fleetConfig.Load() != nil })
	is.Equal(cancelAt(n, id), cyclamendyke.IntakeNoWorkflow) // Nobody has sent it.
	store.setLate(true)
	is.Equal(submit(n, id).Result, cyclamendyke.IntakeUnknown)
	is.Equal(cancelAt(n, id), cyclamendyke.IntakeNoWorkflow)
	is.Equal(store.carryOut(), 0)
	store.setLate(false)
	is.Equal(submit(n, id).Result, cyclamendyke.IntakeAccepted)
	eventually(t, "completion", func() bool { return isCompleted(n, id) })
	is.Equal(c.startsOf(), 1)
}

// TestCancelledSubmissionIsRefused guards against work that is accepted after its cancellation was answered, by an attempt that goes
// on: the VM must say that it never runs, and take it when it comes anew.
func TestCancelledSubmissionIsRefused(t *testing.T) {
	const id = "00000000000000a1"
	is := is.New(t)
	c := newTestCluster(t)
	a, b := c.startNode("a"), c.startNode("b")
	eventually(t, "the members", func() bool {
		return len(a.dir.memberNames()) == 2 && a.fleetConfig.Load() != nil && b.fleetConfig.Load() != nil
	})
	call := cyclamendyke.IntakeCall{Host: "h", Path: "/q/" + id, Timeout: 3 * time.Second}
	reply := Intake{a}.Submit(context.Background(), call, func(limit int64) (*cyclamendyke.Workflow, error) {
		is.Equal(cancelAt(b, id), cyclamendyke.IntakeNoWorkflow) // While its body is read.
		return readTestWorkflow(limit)
	})
	is.Equal(reply.Result, cyclamendyke.IntakeUnavailable)
	is.True(reply.RetryAfter > 0)
	is.Equal(submit(a, id).Result, cyclamendyke.IntakeAccepted)
	eventually(t, "completion", func() bool { return isCompleted(b, id) })
}

// TestCancellationsOfUnknownWorkflowsShareBatches guards against callers that cancel many unknown workflows and use up the writes of
// the store, which the fleet needs.
func TestCancellationsOfUnknownWorkflowsShareBatches(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("a")
	eventually(t, "a scheduler", func() bool { return epochOf(n) > 0 && n.fleetConfig.Load() != nil })
	const callers = 200
	before := c.store.TotalCounts().Writes
	results := make(chan cyclamendyke.IntakeResult, callers)
	begin := time.Now()
	for i := range callers {
		go func() { results <- cancelAt(n, fmt.Sprintf("%016x", i)) }()
	}
	for range callers {
		is.Equal(<-results, cyclamendyke.IntakeNoWorkflow)
	}
	allowed := int(time.Since(begin)/n.tombstoneInterval()) + 1
	other := int(time.Since(begin)/commitInterval) + 10 // Of the scheduler and the lease.
	is.True(int(c.store.TotalCounts().Writes-before) <= allowed+other)
}

// TestManyCancellationsAreRefused guards against cancellations of unknown workflows that wait without a bound while the store is away.
func TestManyCancellationsAreRefused(t *testing.T) {
	is := is.New(t)
	n := newIdleNode(kv.New(kv.Config{}).As("self")) // It writes no tombstones.
	for i := range maxTombstonesQueued {
		_, err := n.tombstones.add(cyclamendyke.WorkflowID(fmt.Sprintf("%016x", i)))
		is.NoErr(err)
	}
	_, err := n.tombstones.add("ffffffffffffffff")
	is.Equal(cyclamendyke.KindOf(err), cyclamendyke.KindLimited)
	is.Equal(cancelAt(n.Node, "ffffffffffffffff"), cyclamendyke.IntakeUnavailable)
}
