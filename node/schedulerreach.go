package node

import (
	"sync"
	"time"
)

// schedulerSilentAfter is how long a call to the scheduler may take before the scheduler counts as out of reach.
const schedulerSilentAfter = 150 * time.Millisecond

// schedulerReach records which scheduler this process last failed to reach.
type schedulerReach struct {
	mu          sync.Mutex
	unreachable uint64 // The epoch of the scheduler that did not answer; zero if it has answered since.
}

func (r *schedulerReach) lose(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = max(r.unreachable, epoch)
}

func (r *schedulerReach) regain(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable <= epoch {
		r.unreachable = 0
	}
}

func (r *schedulerReach) isLost(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unreachable == epoch
}

// observe calls the scheduler of an epoch and records whether it answers in time.
func (r *schedulerReach) observe(epoch uint64, call func() error) error {
	silent := time.AfterFunc(schedulerSilentAfter, func() { r.lose(epoch) })
	err := call()
	silent.Stop()
	if err != nil {
		r.lose(epoch)
		return err
	}
	r.regain(epoch)
	return nil
}

// reservedAfter returns the epoch up to which no scheduler may start work that is stored now: that of a scheduler
// which is gone or out of reach, so that its successor need not wait for what it may have started. It is zero while
// there is a scheduler in reach.
func (n *Node) reservedAfter() uint64 {
	v, last := n.dir.view(), n.dir.lastScheduler()
	isGone := v.scheduler == nil || n.reach.isLost(v.scheduler.Epoch)
	if n.term.Load() != nil || !isGone || last.Epoch != v.schedulerEpoch() || !last.KeepsReservations {
		return 0
	}
	return last.Epoch
}
