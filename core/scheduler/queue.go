package scheduler

import (
	"cmp"

	"github.com/google/btree"

	"cyclamendyke"
)

type queueKey struct {
	route   cyclamendyke.RouteName
	kind    cyclamendyke.JobKind
	perTask cyclamendyke.Resources
	urgent  bool
}

type queueState int

const (
	queueIdle               queueState = iota // In no order or set.
	queueRunnable                             // In its team's order of runnable queues.
	queueBlockedOnCapacity                    // In the blocked set of each of its pools.
	queueBlockedOnAllotment                   // In its team's set of blocked queues.
)

// queue holds one team's waiting jobs with the same key, oldest first; only the first is tried,
// since the others request the same resources for each task.
type queue struct {
	key           queueKey
	team          *team
	pools         []*pool // In order of preference.
	jobs          *btree.BTreeG[*job]
	createdSeq    uint64
	rank          int // The policy's rank; a team's queues are ordered by it first.
	state         queueState
	headSeq       uint64                 // The first job's seq when the queue entered its state.
	need          cyclamendyke.Resources // The need of the first job's next task at that time.
	blockedIn     []*pool                // The pools whose blocked sets contain it; pools may have changed since.
	wokenBy       *worker                // The worker whose freed capacity made the queue runnable.
	lastTriedOn   *worker                // The worker that it was last woken for without finding capacity.
	lastTriedTick uint64                 // The tick of that attempt.
}

func newQueue(key queueKey, team *team, rank int) *queue {
	return &queue{
		key:  key,
		team: team,
		jobs: btree.NewG(treeDegree, func(a, b *job) bool { return a.seq < b.seq }),
		rank: rank,
	}
}

// head returns the oldest job with waiting tasks and removes the older ones that have none.
func (q *queue) head() *job {
	for {
		first, found := q.jobs.Min()
		if !found {
			return nil
		}
		if first.state == jobActive && first.waiting.count > 0 {
			return first
		}
		q.jobs.DeleteMin()
	}
}

func queueLess(a, b *queue) bool {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.headSeq, b.headSeq),
		cmp.Compare(a.key.route, b.key.route),
	) < 0
}
