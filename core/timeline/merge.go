package timeline

import (
	"cmp"
	"slices"

	"cyclamendyke"
)

// Matches reports whether the filter selects the event.
func Matches(filter cyclamendyke.TimelineFilter, event cyclamendyke.TimelineEvent) bool {
	return selects(filter.Request, event.Request) &&
		selects(filter.Worker, event.Worker) &&
		selects(filter.Team, event.Team) &&
		selects(filter.Kind, event.Kind)
}

func selects[T ~string](wanted, value T) bool {
	return wanted == "" || wanted == value
}

// Merge returns the events of several processes in causal order, the same for any order of the lists, each event once.
func Merge(lists ...[]cyclamendyke.TimelineEvent) []cyclamendyke.TimelineEvent {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compareEvents)
	return slices.CompactFunc(merged, func(a, b cyclamendyke.TimelineEvent) bool {
		return a.Member == b.Member && Compare(a.At, b.At) == 0
	})
}

// compareEvents orders by timestamp and then by member; a process never uses a timestamp twice.
func compareEvents(a, b cyclamendyke.TimelineEvent) int {
	return cmp.Or(Compare(a.At, b.At), cmp.Compare(a.Member, b.Member))
}
