package scheduler

import (
	"cmp"
	"slices"
)

// indexSet is a set of task indices, stored as ascending ranges.
type indexSet struct {
	ranges []indexRange
	count  int
}

type indexRange struct {
	start, end int // end is exclusive.
}

func newIndexSet(tasks int) indexSet {
	return indexSet{ranges: []indexRange{{0, tasks}}, count: tasks}
}

func (s *indexSet) has(index int) bool {
	_, found := s.find(index)
	return found
}

// pop removes and returns the lowest index; the set must not be empty.
func (s *indexSet) pop() int {
	first := s.ranges[0].start
	s.remove(first)
	return first
}

func (s *indexSet) add(index int) {
	at, found := s.find(index)
	if found {
		return
	}
	s.count++
	joinsLeft := at > 0 && s.ranges[at-1].end == index
	joinsRight := at < len(s.ranges) && s.ranges[at].start == index+1
	switch {
	case joinsLeft && joinsRight:
		s.ranges[at-1].end = s.ranges[at].end
		s.ranges = slices.Delete(s.ranges, at, at+1)
	case joinsLeft:
		s.ranges[at-1].end++
	case joinsRight:
		s.ranges[at].start--
	default:
		s.ranges = slices.Insert(s.ranges, at, indexRange{index, index + 1})
	}
}

func (s *indexSet) remove(index int) {
	at, found := s.find(index)
	if !found {
		return
	}
	s.count--
	r := s.ranges[at]
	switch {
	case r.start == index && r.end == index+1:
		s.ranges = slices.Delete(s.ranges, at, at+1)
	case r.start == index:
		s.ranges[at].start++
	case r.end == index+1:
		s.ranges[at].end--
	default:
		s.ranges[at].end = index
		s.ranges = slices.Insert(s.ranges, at+1, indexRange{index + 1, r.end})
	}
}

// find returns the position of the range that contains index and true, or the position to
// insert such a range at and false.
func (s *indexSet) find(index int) (int, bool) {
	return slices.BinarySearchFunc(s.ranges, index, func(r indexRange, index int) int {
		if index >= r.start && index < r.end {
			return 0
		}
		return cmp.Compare(r.start, index)
	})
}
