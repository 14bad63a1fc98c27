package reserve

import (
	"cmp"
	"slices"
	"time"
)

// Place is room for one task on a target.
type Place[T cmp.Ordered] struct {
	Target T
	At     time.Duration // When it is expected to be free.
}

// Earliest returns the count places that are free first and when the last of them is, or false if there are not so many.
func Earliest[T cmp.Ordered](places []Place[T], count int) (chosen []Place[T], at time.Duration, ok bool) {
	if count < 1 || len(places) < count {
		return nil, 0, false
	}
	sorted := slices.Clone(places)
	slices.SortFunc(sorted, func(a, b Place[T]) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Target, b.Target)) })
	chosen = sorted[:count]
	return chosen, chosen[count-1].At, true
}

// Override says who may use room that is reserved, so that it does not stand idle for long.
type Override struct {
	Patience time.Duration // How long work waits for room that is reserved before it may use it.
	Soon     time.Duration // Room for a start within that time is given away only after twice the patience, as starts may be later than expected.
	Busy     float64       // Part of a service's capacity in use from which on only work that lasts may use reserved room.
}

// Allows reports whether work that has waited for some time may use room that is reserved for a start at a given time.
func (o Override) Allows(now, startAt, waited time.Duration, lasts bool, used float64) bool {
	if !lasts && used >= o.Busy || waited < o.Patience {
		return false
	}
	return startAt > now+o.Soon || waited >= 2*o.Patience
}
