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

func compareTaskIDs(a, b cyclamendyke.TaskID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Index, b.Index))
}

// sortArrivals sorts by time; arrivals at the same time keep their order.
func sortArrivals(arrivals []arrival) {
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
}
