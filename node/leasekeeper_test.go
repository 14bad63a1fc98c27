package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// leasedTargets are targets with leases, as one member calls them.
type leasedTargets struct {
	*fakeTarget
	leases *targetLeases
}

// targetLeases are the leases that one member has granted on some targets, whose clocks are that of the process.
type targetLeases struct {
	mu     sync.Mutex
	until  map[cyclamendyke.TargetID]time.Duration
	lapses int // Leases that were renewed too late.
}

func newTargetLeases() *targetLeases {
	return &targetLeases{until: map[cyclamendyke.TargetID]time.Duration{}}
}

// Renew extends the lease of a target.
func (l leasedTargets) Renew(ctx context.Context, target cyclamendyke.Target, renewal cyclamendyke.Renewal) (cyclamendyke.Listing, error) {
	if renewal.Until != 0 {
		l.leases.renew(target.ID, renewal.Until)
	}
	return l.fakeTarget.Renew(ctx, target, renewal)
}

func (l *targetLeases) renew(id cyclamendyke.TargetID, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until[id] != 0 && bootTime() > l.until[id] {
		l.lapses++
	}
	l.until[id] = max(l.until[id], until)
}

func (l *targetLeases) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.until)
}

// lapsed returns how many leases are over or were renewed too late.
func (l *targetLeases) lapsed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	lapsed := l.lapses
	for _, until := range l.until {
		if bootTime() > until {
			lapsed++
		}
	}
	return lapsed
}

// stall keeps a scheduler's control goroutine busy with one change for some time.
func stall(n *Node, duration time.Duration) {
	done := make(chan struct{})
	n.term.Load().post(func() {
		time.Sleep(duration)
		close(done)
	})
	<-done
}

// The leases of these tests last 2.9 s, as those of the deployments last 7.25 s.
const (
	shortMaxLease = 4 * time.Second
	longStall     = 5 * time.Second
)

// TestLeasesLapseWhileSchedulerIsStalled keeps the control goroutine busy for longer than leases last. What goes on must have
// its lease, and the scheduler its role.
func TestLeasesLapseWhileSchedulerIsStalled(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.maxLease = shortMaxLease
	c.put("targets/i-2", cyclamendyke.Target{ID: "i-2", Service: "s", Address: "y", Capacity: cyclamendyke.Resources{Cores: 16000}})
	leases := newTargetLeases()
	n := c.startNodeWithTargets("only", leasedTargets{c.target, leases})
	eventually(t, "leases", func() bool { return leases.count() == 2 })
	stall(n, longStall)
	is.Equal(leases.lapsed(), 0)
	is.Equal(epochOf(n), uint64(1))
	submitUntilAccepted(t, n, "00000000000000a1")
	eventually(t, "completion", func() bool { return isCompleted(n, "00000000000000a1") })
	is.Equal(leases.lapsed(), 0)
}

// TestLeasesOfLargeFleetLapseWhileSchedulerIsStalled has so many targets that the other member renews their leases.
func TestLeasesOfLargeFleetLapseWhileSchedulerIsStalled(t *testing.T) {
	is := is.New(t)
	c := newLargeTestCluster(t)
	c.maxLease = shortMaxLease
	leases, own := newTargetLeases(), newTargetLeases()
	first := c.startNodeWithCores("first", leasedTargets{c.target, own}, 1)
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	c.startNodeWithCores("second", leasedTargets{c.target, leases}, 1)
	eventually(t, "leases by the second member", func() bool { return leases.count() == targetsPerCore+1 })
	stall(first, longStall)
	is.Equal(leases.lapsed(), 0)
}
