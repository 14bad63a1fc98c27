package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// silentConfigWatch is a store whose watches of what operators write report nothing.
type silentConfigWatch struct{ cyclamendyke.BatchStore }

// Watch reports no changes of what operators write.
func (s silentConfigWatch) Watch(ctx context.Context, prefix string, after cyclamendyke.Revision, hold time.Duration) ([]cyclamendyke.Entry, cyclamendyke.Revision, error) {
	if prefix != (jsonCodec{}).OperatorsPrefix() {
		return s.BatchStore.Watch(ctx, prefix, after, hold)
	}
	select {
	case <-ctx.Done():
	case <-time.After(hold):
	}
	return nil, after, nil
}

// TestTermBeginsWithStoredConfiguration changes the configuration behind the back of a process that becomes
// the scheduler.
func TestTermBeginsWithStoredConfiguration(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.start("only", silentConfigWatch{c.store.As("only")}, c.target, 0)
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	fleet := testFleet()
	fleet.Version++
	value, err := json.Marshal(fleet)
	is.NoErr(err)
	operator := c.store.As("operator")
	old, err := operator.Get(context.Background(), jsonCodec{}.ConfigKey())
	is.NoErr(err)
	_, err = operator.CompareAndSwap(context.Background(), jsonCodec{}.ConfigKey(), value, old.Revision, 0)
	is.NoErr(err)
	n.term.Load().end("test")
	eventually(t, "the next term", func() bool { return epochOf(n) == 2 })
	eventually(t, "the new configuration", func() bool { return n.fleetConfig.Load().Version == fleet.Version })
}
