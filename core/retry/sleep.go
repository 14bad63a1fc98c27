package retry

import (
	"context"
	"time"
)

// Sleep waits and returns true, or returns false as soon as the context ends.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
