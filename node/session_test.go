package node

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestTermTakesNewLeaseForItsOwn loses the lease that holds the role while the control goroutine is busy for a moment.
func TestTermTakesNewLeaseForItsOwn(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	first := n.term.Load()
	old := n.session.current()
	release := make(chan struct{})
	first.post(func() { <-release })
	is.NoErr(c.store.As("operator").Revoke(context.Background(), old))
	eventually(t, "the next lease", func() bool {
		lease := n.session.current()
		return lease != 0 && lease != old
	})
	close(release)
	eventually(t, "the end of the term", func() bool { return first.ctx.Err() != nil })
	eventually(t, "the next term", func() bool { return epochOf(n) == 2 })
}
