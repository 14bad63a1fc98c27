package node

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cyclamendyke/core/dispatch"
)

// TestRunListIsReplaced begins a term with a list of runs that cannot be decoded; work must go on, and the
// store must hold a valid list then.
func TestRunListIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.put(runListKey, "no list")
	n := c.startNode("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	submitUntilAccepted(t, n, "00000000000000a1")
	eventually(t, "completion", func() bool { return isCompleted(n, "00000000000000a1") })
	eventually(t, "a valid list", func() bool {
		entry, err := c.store.As("operator").Get(context.Background(), runListKey)
		return err == nil && dispatch.New(dispatch.Config{}).AddRunList(entry.Value) == nil
	})
	is.True(!strings.HasPrefix(runListKey, oldKnownTargetsKey)) // Earlier versions read every key with that prefix.
}
