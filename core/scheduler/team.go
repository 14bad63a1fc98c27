package scheduler

import (
	"cmp"
	"slices"

	"github.com/google/btree"

	"cyclamendyke"
)

// team holds one team's queues and limits in this zone.
type team struct {
	name            cyclamendyke.TeamName
	weight          int
	limit           cyclamendyke.Resources // A zero component is unlimited.
	allotment       cyclamendyke.Resources // The allotment in this zone; only components with a limit count.
	usableAllotment cyclamendyke.Resources // The allotment less what unlisted tasks of an earlier term may use.
	hasAllotment    bool                   // Without one, the team may reserve nothing.
	reserved        cyclamendyke.Resources
	demand          cyclamendyke.Resources // The declared resources of its waiting tasks.
	queues          map[queueKey]*queue
	runnable        [urgencyLevels]*btree.BTreeG[*queue]
	blocked         *btree.BTreeG[*queue]          // The queues blocked by the allotment.
	waitingJobs     map[cyclamendyke.RouteName]int // Jobs with waiting tasks, by route.
}

// urgency separates urgent work, which is placed first, from the rest.
type urgency int

const (
	urgent urgency = iota
	normal
	urgencyLevels
)

func urgencyOf(isUrgent bool) urgency {
	if isUrgent {
		return urgent
	}
	return normal
}

func newTeam(name cyclamendyke.TeamName) *team {
	t := &team{
		name:        name,
		queues:      make(map[queueKey]*queue),
		waitingJobs: make(map[cyclamendyke.RouteName]int),
		blocked:     btree.NewG(treeDegree, queueLess),
	}
	for u := range urgencyLevels {
		t.runnable[u] = btree.NewG(treeDegree, queueLess)
	}
	return t
}

// allows reports whether the team may reserve need in addition to its reservations.
func (t *team) allows(need cyclamendyke.Resources) bool {
	return t.hasAllotment && limitedComponents(t.reserved.Add(need), t.limit).FitsIn(limitedComponents(t.usableAllotment, t.limit))
}

// limitedComponents returns r with the components that limit leaves unlimited set to zero.
func limitedComponents(r, limit cyclamendyke.Resources) cyclamendyke.Resources {
	if limit.Cores == 0 {
		r.Cores = 0
	}
	if limit.Memory == 0 {
		r.Memory = 0
	}
	if limit.Accelerators == 0 {
		r.Accelerators = 0
	}
	if limit.Slots == 0 {
		r.Slots = 0
	}
	if limit.Connections == 0 {
		r.Connections = 0
	}
	return r
}

func (t *team) queuesInOrder() []*queue {
	queues := make([]*queue, 0, len(t.queues))
	for _, q := range t.queues {
		queues = append(queues, q)
	}
	slices.SortFunc(queues, func(a, b *queue) int { return cmp.Compare(a.createdSeq, b.createdSeq) })
	return queues
}
