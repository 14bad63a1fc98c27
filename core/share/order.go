package share

import (
	"cmp"
	"iter"

	"github.com/google/btree"

	"cyclamendyke"
)

const treeDegree = 16

// Order is the set of teams that have tasks to place, in ascending order of their value (see Value).
type Order struct {
	tree   *btree.BTreeG[entry]
	values map[cyclamendyke.TeamName]float64
}

type entry struct {
	value float64
	team  cyclamendyke.TeamName
}

// NewOrder returns an empty order.
func NewOrder() *Order {
	return &Order{
		tree:   btree.NewG(treeDegree, entryLess),
		values: make(map[cyclamendyke.TeamName]float64),
	}
}

// Set adds the team or changes its value.
func (o *Order) Set(team cyclamendyke.TeamName, value float64) {
	old, found := o.values[team]
	if found && old == value {
		return
	}
	if found {
		o.tree.Delete(entry{old, team})
	}
	o.values[team] = value
	o.tree.ReplaceOrInsert(entry{value, team})
}

// Remove deletes the team.
func (o *Order) Remove(team cyclamendyke.TeamName) {
	value, found := o.values[team]
	if !found {
		return
	}
	delete(o.values, team)
	o.tree.Delete(entry{value, team})
}

// First returns the team with the lowest value, and false if there is no team.
func (o *Order) First() (cyclamendyke.TeamName, bool) {
	first, found := o.tree.Min()
	return first.team, found
}

// All yields the teams in ascending order of their value; the order must not change during the iteration.
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
	return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.team, b.team)) < 0
}
