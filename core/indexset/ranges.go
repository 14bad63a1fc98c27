package indexset

import (
	"encoding/json"
	"slices"

	"cyclamendyke"
)

// Range is a range of integers, its last one included.
type Range [2]int

// Ranges is a set of integers that takes memory for each gap between them. Its zero value is empty.
type Ranges struct {
	ranges []Range // In ascending order, with gaps between them.
	count  int
}

// find returns the index of the first range that ends at or after an integer.
func (r *Ranges) find(i int) int {
	index, _ := slices.BinarySearchFunc(r.ranges, i, func(a Range, i int) int { return a[1] - i })
	return index
}

// Has reports whether the set has an integer.
func (r *Ranges) Has(i int) bool {
	at := r.find(i)
	return at < len(r.ranges) && r.ranges[at][0] <= i
}

// Add adds an integer, and reports whether it was missing.
func (r *Ranges) Add(i int) bool {
	if r.Has(i) {
		return false
	}
	r.count++
	at := r.find(i)
	joinsLast := at > 0 && r.ranges[at-1][1] == i-1
	joinsNext := at < len(r.ranges) && r.ranges[at][0] == i+1
	switch {
	case joinsLast && joinsNext:
		r.ranges[at-1][1] = r.ranges[at][1]
		r.ranges = slices.Delete(r.ranges, at, at+1)
	case joinsLast:
		r.ranges[at-1][1] = i
	case joinsNext:
		r.ranges[at][0] = i
	default:
		r.ranges = slices.Insert(r.ranges, at, Range{i, i})
	}
	return true
}

// Count returns the number of integers in the set.
func (r *Ranges) Count() int { return r.count }

// NextMissing returns the first integer from i on that the set does not have.
func (r *Ranges) NextMissing(i int) int {
	if at := r.find(i); at < len(r.ranges) && r.ranges[at][0] <= i {
		return r.ranges[at][1] + 1
	}
	return i
}

// All returns the ranges in ascending order.
func (r *Ranges) All() []Range { return r.ranges }

// IsZero reports whether the set is empty.
func (r Ranges) IsZero() bool { return len(r.ranges) == 0 }

// MarshalJSON encodes the set as a list of ranges.
func (r Ranges) MarshalJSON() ([]byte, error) {
	return json.Marshal(r.ranges)
}

// UnmarshalJSON decodes a list of ranges, which must be in ascending order.
func (r *Ranges) UnmarshalJSON(text []byte) error {
	var ranges []Range
	if err := json.Unmarshal(text, &ranges); err != nil {
		return err
	}
	out := Ranges{ranges: ranges}
	for i, a := range ranges {
		if a[0] < 0 || a[1] < a[0] || i > 0 && a[0] <= ranges[i-1][1] {
			return NewError("decode", cyclamendyke.KindInvalid, nil)
		}
		out.count += a[1] - a[0] + 1
	}
	*r = out
	return nil
}
