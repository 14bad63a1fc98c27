package dispatch

import (
	"cmp"
	"slices"

	"cyclamendyke"
)

// roomIndex lists the usable targets of each service by their projected room, for one pass, so that a
// step looks at the targets with room instead of all.
type roomIndex struct {
	byRoom map[cyclamendyke.ServiceName][]indexedTarget
}

// indexedTarget is a target with the cores that were projected to be free when the index was made;
// steps of higher rank may have taken some since.
type indexedTarget struct {
	target *target
	cores  cyclamendyke.MilliCores
}

// targetsByRoom returns the usable targets of a service, those with the most projected room first.
func (s *Scheduler) targetsByRoom(service cyclamendyke.ServiceName) []indexedTarget {
	if indexed, ok := s.roomIndex.byRoom[service]; ok {
		return indexed
	}
	targets := s.usableByService[service]
	indexed := make([]indexedTarget, 0, len(targets))
	for _, t := range targets {
		indexed = append(indexed, indexedTarget{t, t.projectedFree.Cores})
	}
	slices.SortFunc(indexed, func(a, b indexedTarget) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.target.info.ID, b.target.info.ID))
	})
	s.roomIndex.byRoom[service] = indexed
	return indexed
}

// resetRoomIndex makes the index of a new pass empty.
func (s *Scheduler) resetRoomIndex() {
	s.roomIndex.byRoom = map[cyclamendyke.ServiceName][]indexedTarget{}
}
