package advice

import (
	"math"
	"time"
)

// spread is by how much the room on the targets that a call names may differ from what is expected, in
// multiples of the square root of the need: what advice allows and which room is still free then are a
// matter of chance.
const spread = 1.5

// callOverhead is what another call takes besides the service's time: the ways to and fro and the next pass.
const callOverhead = 50 * time.Millisecond

// Extent decides how many targets a call names.
//
// One more target takes its part of the service's time. Without it, a task that finds no room on the
// other targets takes another call, with its fixed part.
type Extent struct {
	base, perTarget time.Duration
	tasks           float64
	expected        float64 // Tasks that are expected to start on the targets so far.
}

// NewExtent returns the extent of a call for a number of tasks, whose fixed part and part for each target
// take the given times.
func NewExtent(base, perTarget time.Duration, tasks int) *Extent {
	return &Extent{base: base, perTarget: perTarget, tasks: float64(tasks)}
}

// Worth reports whether naming a target is worth its time; tasks is how many are expected to start there.
func (e *Extent) Worth(tasks float64) bool {
	return tasks*e.shortage()*(e.base+callOverhead).Seconds() >= e.perTarget.Seconds()
}

// shortage estimates how likely it is that a task takes another call without one more target.
func (e *Extent) shortage() float64 {
	missing := e.tasks - e.expected
	if missing >= 1 {
		return 1 / missing // One more call serves them all.
	}
	return math.Exp(min(0, missing/(spread*math.Sqrt(e.tasks))))
}

// Add names a target.
func (e *Extent) Add(tasks float64) {
	e.expected += tasks
}
