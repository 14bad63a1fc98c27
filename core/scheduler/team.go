package scheduler

import (
	"cmp"
	"slices"

	"github.com/google/btree"

	"cyclamendyke"
)

// team is one team's work and limits in this zone.
type team struct {
	name      cyclamendyke.TeamName
	weight    int
	limit     cyclamendyke.Resources // Zero components are not limited.
	granted   cyclamendyke.Resources // The allotment in this zone, for the components that are limited.
	allotment cyclamendyke.Resources // Of it, what may be used while unlisted workers may run the rest.
	known     bool                   // Whether an allotment is held.
	reserved  cyclamendyke.Resources
	wanted    cyclamendyke.Resources // By waiting tasks.
	queues    map[queueKey]*queue
	runnable  [urgencies]*btree.BTreeG[*queue]
	blocked   *btree.BTreeG[*queue]          // By the allotment.
	waiting   map[cyclamendyke.RouteName]int // Jobs.
}

// urgency divides the work into that which goes first and the rest.
type urgency int

const (
	urgent urgency = iota
	normal
	urgencies
)

func urgencyOf(isUrgent bool) urgency {
	if isUrgent {
		return urgent
	}
	return normal
}

func newTeam(name cyclamendyke.TeamName) *team {
	t := &team{
		name:    name,
		queues:  make(map[queueKey]*queue),
		waiting: make(map[cyclamendyke.RouteName]int),
		blocked: btree.NewG(treeDegree, queueLess),
	}
	for u := range urgencies {
		t.runnable[u] = btree.NewG(treeDegree, queueLess)
	}
	return t
}

// allows reports whether the team may reserve need besides what it has.
func (t *team) allows(need cyclamendyke.Resources) bool {
	return t.known && limited(t.reserved.Add(need), t.limit).FitsIn(limited(t.allotment, t.limit))
}

// limited returns the components of r that limit restricts.
func limited(r, limit cyclamendyke.Resources) cyclamendyke.Resources {
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
	slices.SortFunc(queues, func(a, b *queue) int { return cmp.Compare(a.created, b.created) })
	return queues
}
