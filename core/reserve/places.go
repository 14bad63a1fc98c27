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
	Patience time.Duration // How long room that is reserved may idle before others may use it.
	Soon     time.Duration // Room for a start within that time is left to the holder, unless it has been about to start for as long as Patience.
	Busy     float64       // Part of a service's capacity in use from which on only work that lasts may use reserved room.
}

// Idle describes room that is reserved and free.
type Idle struct {
	For     time.Duration // How long it has idled while the work that asks has waited.
	StartIn time.Duration // When the holder is expected to start.
	SoonFor time.Duration // For how long it has been expected to start soon.
}

// Allows reports whether work may use room that is reserved; lasts says that the work does not end by itself, and used what part of the
// service's capacity is in use.
func (o Override) Allows(idle Idle, lasts bool, used float64) bool {
	if !lasts && used >= o.Busy || idle.For < o.Patience {
		return false
	}
	return idle.StartIn > o.Soon || idle.SoonFor >= o.Patience
}
