package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke/standin/kv"
)

// TestWeakMemberYieldsLongerWhileStoreIsSlow renews the lease with calls of different length.
func TestWeakMemberYieldsLongerWhileStoreIsSlow(t *testing.T) {
	for _, test := range []struct {
		name     string
		took     time.Duration
		min, max time.Duration
	}{
		{name: "quick store", max: 300 * time.Millisecond},
		{name: "slow store", took: 300 * time.Millisecond, min: 800 * time.Millisecond, max: 900 * time.Millisecond},
		{name: "very slow store", took: 5 * time.Second, min: maxYieldDelay, max: maxYieldDelay},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := newIdleNode(kv.New(kv.Config{}).As("a")).Node
			n.session.recordRenewal(1, bootTime()-test.took)
			is.True(n.yieldTime() >= test.min)
			is.True(n.yieldTime() <= test.max)
		})
	}
}
