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
	queueIdle          queueState = iota
	queueRunnable                 // In the team's order of runnable queues.
	queueNoRoom                   // In the blocked sets of its pools.
	queueOverAllotment            // Among the team's blocked queues.
)

// queue holds one team's waiting jobs of the same shape, oldest first; when the first has no room, none has.
type queue struct {
	key       queueKey
	team      *team
	pools     []*pool // In order of preference.
	jobs      *btree.BTreeG[*job]
	created   uint64
	rank      int
	state     queueState
	headSeq   uint64                 // Of the first job when the queue got into its state.
	need      cyclamendyke.Resources // Of the first job's next task then.
	blockedIn []*pool
	wokenBy   *worker // Whose freed room it is to try first.
	triedOn   *worker // Where it was last tried without finding room,
	triedIn   uint64  // and in which tick.
}

func newQueue(key queueKey, team *team, rank int) *queue {
	return &queue{
		key:  key,
		team: team,
		jobs: btree.NewG(treeDegree, func(a, b *job) bool { return a.seq < b.seq }),
		rank: rank,
	}
}

// head returns the oldest job that still waits and drops those that do not.
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
