package node

import "time"

// The time between two passes.
const (
	minPassPause  = 4 * time.Millisecond
	passTimeShare = 0.25 // Largest part of the time that passes take.
)

// pauseAfterPass returns how long the next pass waits after one that took the given time. The calls to
// members, the store and callers share the processor with the passes, and on a slow VM a pass that comes
// earlier only delays the answers that it waits for.
func pauseAfterPass(took time.Duration) time.Duration {
	return max(minPassPause, time.Duration(float64(took)*(1/passTimeShare-1)))
}
