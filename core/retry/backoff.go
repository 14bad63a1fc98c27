package retry

import "time"

// maxDoublings limits the shift in Backoff.Delay, so that no delay overflows.
const maxDoublings = 15

// Backoff is a delay that doubles with each failure, up to a limit.
type Backoff struct {
	Initial time.Duration // After the first failure.
	Max     time.Duration
}

// Delay returns the delay after a number of consecutive failures, which counts as one if it is lower.
func (b Backoff) Delay(failures int) time.Duration {
	doublings := max(failures-1, 0)
	if doublings > maxDoublings {
		return b.Max
	}
	return min(b.Max, b.Initial<<doublings)
}
