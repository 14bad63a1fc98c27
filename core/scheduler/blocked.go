package scheduler

import (
	"github.com/google/btree"

	"cyclamendyke"
	"cyclamendyke/core/share"
)

const maxQueuesScanned = 8 // Per team, in longestWaiting.

// blockedSet holds the queues that wait for capacity in a pool, by urgency and team.
type blockedSet struct {
	teams      [urgencyLevels]map[cyclamendyke.TeamName]*blockedTeam
	teamOrders [urgencyLevels]*share.Order
}

// blockedTeam holds the blocked queues of one team.
type blockedTeam struct {
	queues  *btree.BTreeG[*queue]
	minNeed cyclamendyke.Resources // Lower bound on the need of every queue's next task, in each component.
}

func newBlockedSet() *blockedSet {
	set := &blockedSet{}
	for u := range urgencyLevels {
		set.teams[u] = make(map[cyclamendyke.TeamName]*blockedTeam)
		set.teamOrders[u] = share.NewOrder()
	}
	return set
}

func (b *blockedSet) add(q *queue, need cyclamendyke.Resources, orderKey func(*queue) float64) {
	u := urgencyOf(q.key.urgent)
	group := b.teams[u][q.team.name]
	if group == nil {
		group = &blockedTeam{queues: btree.NewG(treeDegree, queueLess), minNeed: need}
		b.teams[u][q.team.name] = group
	}
	group.queues.ReplaceOrInsert(q)
	group.minNeed = group.minNeed.Min(need)
	b.updateTeamOrder(u, q.team.name, orderKey)
}

func (b *blockedSet) remove(q *queue, orderKey func(*queue) float64) {
	u := urgencyOf(q.key.urgent)
	group := b.teams[u][q.team.name]
	if group == nil {
		return
	}
	group.queues.Delete(q)
	if group.queues.Len() == 0 {
		delete(b.teams[u], q.team.name)
		b.teamOrders[u].Remove(q.team.name)
		return
	}
	b.updateTeamOrder(u, q.team.name, orderKey)
}

// updateTeamOrder updates a team's place in the order after its share or its queues changed.
func (b *blockedSet) updateTeamOrder(u urgency, name cyclamendyke.TeamName, orderKey func(*queue) float64) {
	group := b.teams[u][name]
	if group == nil {
		return
	}
	first, _ := group.queues.Min()
	b.teamOrders[u].Set(name, orderKey(first))
}

// firstFitting returns the first queue in scheduling order whose next task fits in free and
// that accept returns true for.
func (b *blockedSet) firstFitting(free cyclamendyke.Resources, accept func(*queue) bool) *queue {
	for u := range urgencyLevels {
		for name := range b.teamOrders[u].All() {
			if q := b.teams[u][name].firstFitting(free, accept); q != nil {
				return q
			}
		}
	}
	return nil
}

// longestWaiting returns the accepted queue whose first job has waited longest since its last
// placement; it scans the first maxQueuesScanned queues of each team.
func (b *blockedSet) longestWaiting(accept func(*queue) bool) *queue {
	var oldest *queue
	for u := range urgencyLevels {
		for name := range b.teamOrders[u].All() {
			scanned := 0
			b.teams[u][name].queues.Ascend(func(q *queue) bool {
				if accept(q) && (oldest == nil || q.head().starvedSince().Before(oldest.head().starvedSince())) {
					oldest = q
				}
				scanned++
				return scanned < maxQueuesScanned
			})
		}
	}
	return oldest
}

func (t *blockedTeam) firstFitting(free cyclamendyke.Resources, accept func(*queue) bool) *queue {
	if !t.minNeed.FitsIn(free) {
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
