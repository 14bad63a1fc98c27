package scheduler

import (
	"cmp"
	"slices"
)

// spans is a set of task indices kept as ascending ranges.
type spans struct {
	ranges []span
	count  int
}

type span struct {
	from, to int // to is not included.
}

func newSpans(tasks int) spans {
	return spans{ranges: []span{{0, tasks}}, count: tasks}
}

func (s *spans) has(index int) bool {
	_, found := s.find(index)
	return found
}

// pop removes and returns the lowest index of a set that is not empty.
func (s *spans) pop() int {
	first := s.ranges[0].from
	s.remove(first)
	return first
}

func (s *spans) add(index int) {
	at, found := s.find(index)
	if found {
		return
	}
	s.count++
	joinsLeft := at > 0 && s.ranges[at-1].to == index
	joinsRight := at < len(s.ranges) && s.ranges[at].from == index+1
	switch {
	case joinsLeft && joinsRight:
		s.ranges[at-1].to = s.ranges[at].to
		s.ranges = slices.Delete(s.ranges, at, at+1)
	case joinsLeft:
		s.ranges[at-1].to++
	case joinsRight:
		s.ranges[at].from--
	default:
		s.ranges = slices.Insert(s.ranges, at, span{index, index + 1})
	}
}

func (s *spans) remove(index int) {
	at, found := s.find(index)
	if !found {
		return
	}
	s.count--
	r := s.ranges[at]
	switch {
	case r.from == index && r.to == index+1:
		s.ranges = slices.Delete(s.ranges, at, at+1)
	case r.from == index:
		s.ranges[at].from++
	case r.to == index+1:
		s.ranges[at].to--
	default:
		s.ranges[at].to = index
		s.ranges = slices.Insert(s.ranges, at+1, span{index + 1, r.to})
	}
}

// find returns the range that holds index, or where one that held it would be inserted.
func (s *spans) find(index int) (int, bool) {
	return slices.BinarySearchFunc(s.ranges, index, func(r span, index int) int {
		if index >= r.from && index < r.to {
			return 0
		}
		return cmp.Compare(r.from, index)
	})
}
