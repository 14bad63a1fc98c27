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

// queue holds one team's waiting jobs of the same shape, oldest first; when the first has no room, none has.
type queue struct {
	key      queueKey
	team     *team
	pools    []*pool // In order of preference.
	jobs     *btree.BTreeG[*job]
	created  uint64
	rank     int
	runnable bool
	headSeq  uint64 // Under which a runnable queue stands in its team's order.
	blocks   uint64 // Grows at each change, so that old entries in lists of blocked queues are told from new ones.
}

// blockedQueue is an entry in a list of queues that wait for room.
type blockedQueue struct {
	queue  *queue
	blocks uint64
}

func (b blockedQueue) isCurrent() bool {
	return b.queue.blocks == b.blocks
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
