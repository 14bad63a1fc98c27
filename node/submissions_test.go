package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// lostRenewals is a store client whose lease renewals take effect, but are not answered while lose is set.
type lostRenewals struct {
	cyclamendyke.BatchStore
	lose atomic.Bool
}

// KeepAlive renews a lease.
func (s *lostRenewals) KeepAlive(ctx context.Context, lease cyclamendyke.LeaseID) error {
	err := s.BatchStore.KeepAlive(ctx, lease)
	if s.lose.Load() {
		return cyclamendyke.KindUnknown
	}
	return err
}

// startWithLeaseInDoubt starts a node that is the scheduler and does not know its lease to be valid.
func startWithLeaseInDoubt(t *testing.T) (*Node, *lostRenewals) {
	c := newTestCluster(t)
	store := &lostRenewals{BatchStore: c.store.As("only")}
	n := c.startNodeWithStore("only", store)
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	store.lose.Store(true)
	eventually(t, "a lease in doubt", func() bool { return !n.term.Load().leaseValid() })
	return n, store
}

// TestWorkAcceptedWhileLeaseIsInDoubtIsLost submits work while the scheduler does not know its lease to be valid.
func TestWorkAcceptedWhileLeaseIsInDoubtIsLost(t *testing.T) {
	is := is.New(t)
	n, store := startWithLeaseInDoubt(t)
	submitUntilAccepted(t, n, "00000000000000a1")
	is.True(!isCompleted(n, "00000000000000a1"))
	store.lose.Store(false)
	eventually(t, "completion", func() bool { return isCompleted(n, "00000000000000a1") })
	is.Equal(epochOf(n), uint64(1))
}

// TestCancellationWhileLeaseIsInDoubtIsLost cancels work that was submitted in the same while.
func TestCancellationWhileLeaseIsInDoubtIsLost(t *testing.T) {
	is := is.New(t)
	n, store := startWithLeaseInDoubt(t)
	submitUntilAccepted(t, n, "00000000000000a1")
	call := cyclamendyke.IntakeCall{Host: "h", Path: "/q/00000000000000a1", Timeout: time.Second}
	is.Equal(Intake{n}.Cancel(context.Background(), call).Result, cyclamendyke.IntakeCancelled)
	time.Sleep(2 * followBatchDelay()) // The cancellation reaches the scheduler before the lease is renewed.
	store.lose.Store(false)
	eventually(t, "the cancelled state", func() bool {
		return Intake{n}.Query(context.Background(), call).State == cyclamendyke.WorkflowCancelled
	})
	is.Equal(epochOf(n), uint64(1))
}

// TestEndedWorkRunsAgainAfterLateNotice notifies a scheduler of work that an earlier one has completed.
func TestEndedWorkRunsAgainAfterLateNotice(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	const id = "00000000000000a1"
	revision := n.term.Load().election.revision + 1
	submitUntilAccepted(t, n, id)
	eventually(t, "completion", func() bool { return isCompleted(n, id) })
	workflow, err := readTestWorkflow(0)
	is.NoErr(err)
	workflow.ID, workflow.Team, workflow.Queue, workflow.AcceptedAt = id, cyclamendyke.OpenTeam, "q", time.Now()
	eventually(t, "the acknowledgement of the end", func() bool {
		c.target.mu.Lock()
		defer c.target.mu.Unlock()
		return len(c.target.ends) == 0
	})
	n.term.Load().end("test")
	eventually(t, "the second term", func() bool { return epochOf(n) == 2 })
	is.True(revision < n.term.Load().election.revision)
	is.NoErr(n.NotifySubmitted(context.Background(), member.Submission{Workflow: workflow, Revision: revision}))
	time.Sleep(time.Second)
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	for _, starts := range c.target.starts {
		is.Equal(starts, 1)
	}
}
