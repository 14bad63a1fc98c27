package node

import (
	"context"
	"time"

	"cyclamendyke"
)

// roleClaim is an attempt to take the scheduler role. Its answer may be lost although it took effect, which
// the record in the store then shows.
type roleClaim struct {
	epoch            uint64
	lease            cyclamendyke.LeaseID // To which the scheduler's record is attached.
	requestedAt      time.Duration
	areLeasesBounded bool      // All earlier schedulers have bounded their leases by what they store.
	leases           leaseView // What the store says of leases, unless the claim fails.
}

// result returns the election that the claim won; revision is that of the epoch's key.
func (c roleClaim) result(revision cyclamendyke.Revision) electionResult {
	return electionResult{
		epoch: c.epoch, revision: revision, lease: c.lease, requestedAt: c.requestedAt, areLeasesBounded: c.areLeasesBounded, leases: c.leases,
	}
}

// takeElection returns the election that an unanswered claim has won, if the directory shows that, and clears
// the claim, so that a process whose term has ended claims the role again.
func (c *roleClaim) takeElection(n *Node, v view, lease cyclamendyke.LeaseID) (electionResult, bool) {
	if c.epoch == 0 || c.epoch != v.epoch || c.lease != lease || !n.isElected(v, c.epoch) {
		return electionResult{}, false
	}
	n.cfg.Log.Info("elected", "epoch", c.epoch, "revision", v.epochRevision, "answer", "lost")
	election := c.result(v.epochRevision)
	*c = roleClaim{}
	return election, true
}

// isElected reports whether the scheduler's record in the store is this process's, of the given epoch.
func (n *Node) isElected(v view, epoch uint64) bool {
	return v.scheduler != nil && v.scheduler.Nonce == n.nonce && v.scheduler.Epoch == epoch
}

// claimCheckInterval is how often a process looks whether a claim took effect that has no answer yet.
const claimCheckInterval = 20 * time.Millisecond

// cancelOnceElected cancels a claim's call once the directory shows that it took effect.
func (n *Node) cancelOnceElected(ctx context.Context, cancel context.CancelFunc, epoch uint64) {
	for ctx.Err() == nil {
		if n.isElected(n.dir.view(), epoch) {
			cancel()
			return
		}
		sleep(ctx, claimCheckInterval)
	}
}
