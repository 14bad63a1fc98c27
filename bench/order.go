package bench

import (
	"cmp"
	"maps"
	"slices"

	"cyclamendyke"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func compareTasks(a, b cyclamendyke.TaskID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Index, b.Index))
}

// sortArrivals orders by time and keeps the order of those at the same time.
func sortArrivals(all []arrival) {
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
}
