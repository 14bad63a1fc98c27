package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPassesStarveCallsOfSlowVM models the processor of a VM, which passes and the handling of calls share.
// Calls keep it busy for three quarters of the time at most, and passes must leave them that.
func TestPassesStarveCallsOfSlowVM(t *testing.T) {
	const (
		interval = 4 * time.Millisecond // Between two calls.
		handling = 3 * time.Millisecond // Processor time of one call.
		duration = time.Minute
		maxDelay = 500 * time.Millisecond
	)
	for _, pass := range []time.Duration{100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(pass.String(), func(t *testing.T) {
			is := is.New(t)
			calls := time.Duration(0) // Handled so far.
			for now := time.Duration(0); now < duration; {
				now += pass
				for next := now + pauseAfterPass(pass); now < next; {
					if arrival := calls * interval; arrival > now {
						now = min(arrival, next)
						continue
					}
					now += handling
					calls++
				}
				is.True(now-calls*interval <= maxDelay) // Delay of the oldest call that waits.
			}
		})
	}
}
