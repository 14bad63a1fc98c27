package share

import (
	"cmp"
	"iter"

	"github.com/google/btree"

	"cyclamendyke"
)

const treeDegree = 16

// Order is the set of teams that have tasks to place, in ascending order of their weighted share.
type Order struct {
	tree   *btree.BTreeG[entry]
	shares map[cyclamendyke.TeamName]float64
}

type entry struct {
	share float64
	team  cyclamendyke.TeamName
}

// NewOrder returns an empty order.
func NewOrder() *Order {
	return &Order{
		tree:   btree.NewG(treeDegree, entryLess),
		shares: make(map[cyclamendyke.TeamName]float64),
	}
}

// Set adds the team or changes its weighted share.
func (o *Order) Set(team cyclamendyke.TeamName, share float64) {
	old, found := o.shares[team]
	if found && old == share {
		return
	}
	if found {
		o.tree.Delete(entry{old, team})
	}
	o.shares[team] = share
	o.tree.ReplaceOrInsert(entry{share, team})
}

// Remove deletes the team.
func (o *Order) Remove(team cyclamendyke.TeamName) {
	share, found := o.shares[team]
	if !found {
		return
	}
	delete(o.shares, team)
	o.tree.Delete(entry{share, team})
}

// First returns the team with the lowest weighted share, and false if there is no team.
func (o *Order) First() (cyclamendyke.TeamName, bool) {
	first, found := o.tree.Min()
	return first.team, found
}

// All yields the teams in ascending order of their weighted share; the order must not change during the iteration.
func (o *Order) All() iter.Seq[cyclamendyke.TeamName] {
	return func(yield func(cyclamendyke.TeamName) bool) {
		o.tree.Ascend(func(e entry) bool { return yield(e.team) })
	}
}

// WeightedShare returns the dominant share of reserved in total, divided by the team's weight.
//
// A weight below one counts as one.
func WeightedShare(reserved, total cyclamendyke.Resources, weight int) float64 {
	return reserved.DominantShare(total) / float64(max(weight, 1))
}

func entryLess(a, b entry) bool {
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.team, b.team)) < 0
}
