package timeline

import (
	"cmp"
	"slices"

	"cyclamendyke"
)

// Matches reports whether the event matches the filter; an empty field of the filter matches any value.
func Matches(filter cyclamendyke.TimelineFilter, event cyclamendyke.TimelineEvent) bool {
	return matchesField(filter.Request, event.Request) &&
		matchesField(filter.Worker, event.Worker) &&
		matchesField(filter.Team, event.Team) &&
		matchesField(filter.Kind, event.Kind)
}

func matchesField[T ~string](wanted, value T) bool {
	return wanted == "" || wanted == value
}

// Merge returns the events of several processes in causal order without duplicates;
// the order of the lists does not matter.
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
