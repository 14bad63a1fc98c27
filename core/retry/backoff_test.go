package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke/core/retry"
)

func TestBackoff(t *testing.T) {
	backoff := retry.Backoff{Initial: 100 * time.Millisecond, Max: 2 * time.Second}
	for _, c := range []struct {
		failures int
		want     time.Duration
	}{
		{0, 100 * time.Millisecond},
		{1, 100 * time.Millisecond},
		{2, 200 * time.Millisecond},
		{5, 1600 * time.Millisecond},
		{6, 2 * time.Second},
		{1000, 2 * time.Second},
	} {
		is.New(t).Equal(backoff.Delay(c.failures), c.want)
	}
}
