package scheduler

import (
	"github.com/google/btree"

	"cyclamendyke"
	"cyclamendyke/core/share"
)

const queuesLookedAt = 8 // Of each team, for the job that has waited longest.

// blockedSet holds the queues that found no room in a pool, by team.
type blockedSet struct {
	teams  [urgencies]map[cyclamendyke.TeamName]*blockedTeam
	orders [urgencies]*share.Order
}

// blockedTeam is one team's part of a blockedSet.
type blockedTeam struct {
	queues *btree.BTreeG[*queue]
	least  cyclamendyke.Resources // No queue's next task needs less than this of anything.
}

func newBlockedSet() *blockedSet {
	set := &blockedSet{}
	for u := range urgencies {
		set.teams[u] = make(map[cyclamendyke.TeamName]*blockedTeam)
		set.orders[u] = share.NewOrder()
	}
	return set
}

func (b *blockedSet) add(q *queue, need cyclamendyke.Resources, value func(*queue) float64) {
	u := urgencyOf(q.key.urgent)
	group := b.teams[u][q.team.name]
	if group == nil {
		group = &blockedTeam{queues: btree.NewG(treeDegree, queueLess), least: need}
		b.teams[u][q.team.name] = group
	}
	group.queues.ReplaceOrInsert(q)
	group.least = group.least.Min(need)
	b.reorder(u, q.team.name, value)
}

func (b *blockedSet) remove(q *queue, value func(*queue) float64) {
	u := urgencyOf(q.key.urgent)
	group := b.teams[u][q.team.name]
	if group == nil {
		return
	}
	group.queues.Delete(q)
	if group.queues.Len() == 0 {
		delete(b.teams[u], q.team.name)
		b.orders[u].Remove(q.team.name)
		return
	}
	b.reorder(u, q.team.name, value)
}

// reorder moves a team to its place after its share or its queues changed.
func (b *blockedSet) reorder(u urgency, name cyclamendyke.TeamName, value func(*queue) float64) {
	group := b.teams[u][name]
	if group == nil {
		return
	}
	first, _ := group.queues.Min()
	b.orders[u].Set(name, value(first))
}

// first returns the queue to serve first among those that accept holds for and whose next task fits in free.
func (b *blockedSet) first(free cyclamendyke.Resources, accept func(*queue) bool) *queue {
	for u := range urgencies {
		for name := range b.orders[u].All() {
			if q := b.teams[u][name].first(free, accept); q != nil {
				return q
			}
		}
	}
	return nil
}

// oldest returns the accepted queue whose first job has waited longest, looking at the first few queues of each team.
func (b *blockedSet) oldest(accept func(*queue) bool) *queue {
	var oldest *queue
	for u := range urgencies {
		for name := range b.orders[u].All() {
			looked := 0
			b.teams[u][name].queues.Ascend(func(q *queue) bool {
				if accept(q) && (oldest == nil || q.head().passedSince().Before(oldest.head().passedSince())) {
					oldest = q
				}
				looked++
				return looked < queuesLookedAt
			})
		}
	}
	return oldest
}

func (t *blockedTeam) first(free cyclamendyke.Resources, accept func(*queue) bool) *queue {
	if !t.least.FitsIn(free) {
		return nil
	}
	var found *queue
	t.queues.Ascend(func(q *queue) bool {
		if q.need.FitsIn(free) && accept(q) {
			found = q
		}
		return found == nil
	})
	return found
}
