package node

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/standin/kv"
)

// queryWithKey asks for a workflow that does not exist.
func queryWithKey(n *Node, key string) cyclamendyke.IntakeResult {
	call := cyclamendyke.IntakeCall{Host: "h", Path: "/q/00000000000000ff", Key: key, Timeout: time.Second}
	return Intake{n}.Query(context.Background(), call).Result
}

// TestTurnedAwayMemberUsesWithdrawnKey withdraws a key and evacuates a zone while the store refuses one member.
func TestTurnedAwayMemberUsesWithdrawnKey(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.configure("old")
	first, second := c.startNode("first"), c.startNode("second")
	eventually(t, "two members", func() bool {
		return len(first.dir.memberNames()) == 2 && len(second.dir.memberNames()) == 2 && second.fleetConfig.Load() != nil
	})
	is.True(queryWithKey(second, "old") != cyclamendyke.IntakeBadKey)
	c.store.SetFaults(kv.Faults{Cut: []string{"second"}})
	version := c.configure("new").Version
	c.evacuate()
	eventually(t, "the new configuration", func() bool { return second.fleetConfig.Load().Version == version })
	is.Equal(queryWithKey(second, "old"), cyclamendyke.IntakeBadKey)
	eventually(t, "the evacuation", func() bool { return second.evacuations.has(testZone) })
	c.takeBack()
	eventually(t, "the end of the evacuation", func() bool { return !second.evacuations.has(testZone) })
}

// TestUnconfirmedConfigurationIsUsedForLong leaves a member alone without the store.
func TestUnconfirmedConfigurationIsUsedForLong(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.maxConfigAge = operatorsListAge
	c.configure("old")
	n := c.startNode("only")
	eventually(t, "readiness", n.Ready)
	is.True(queryWithKey(n, "old") != cyclamendyke.IntakeBadKey)
	c.store.SetFaults(kv.Faults{Down: true})
	eventually(t, "refusals", func() bool { return queryWithKey(n, "new") == cyclamendyke.IntakeUnavailable })
	is.True(!n.Ready())
	c.store.SetFaults(kv.Faults{})
	c.configure("new")
	eventually(t, "the new key", func() bool {
		result := queryWithKey(n, "new")
		return result != cyclamendyke.IntakeUnavailable && result != cyclamendyke.IntakeBadKey
	})
	eventually(t, "readiness again", n.Ready)
}

// TestPausedMemberUsesWithdrawnKey withdraws a key during a pause, after which a request comes before the watch.
func TestPausedMemberUsesWithdrawnKey(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.configure("old")
	first := c.startNode("first")
	eventually(t, "the configuration", func() bool { return first.fleetConfig.Load() != nil })
	paused := newIdleNode(c.store.As("paused")).Node
	is.NoErr(paused.listOperators(context.Background()))
	paused.dir.members = map[cyclamendyke.MemberName]memberRecord{"first": first.ownRecord()}
	version := c.configure("new").Version
	eventually(t, "the new configuration", func() bool { return first.fleetConfig.Load().Version == version })
	prefix := jsonCodec{}.OperatorsPrefix()
	paused.confirmed.newest[prefix] = confirmation{bootTime() - 5*time.Second, paused.confirmed.of(prefix).revision}
	is.Equal(queryWithKey(paused, "old"), cyclamendyke.IntakeBadKey)
}

// TestOlderCopyUndoesNothing applies listings and changes of what operators write in several orders.
func TestOlderCopyUndoesNothing(t *testing.T) {
	entry := func(key string, at cyclamendyke.Revision) cyclamendyke.Entry {
		return cyclamendyke.Entry{Key: key, Revision: at}
	}
	deletion := func(key string, at cyclamendyke.Revision) cyclamendyke.Entry {
		return cyclamendyke.Entry{Key: key, Revision: at, Deleted: true}
	}
	var c operatorsCopy
	for _, step := range []struct {
		name       string
		listedAt   cyclamendyke.Revision // Zero for changes.
		entries    []cyclamendyke.Entry
		want       []string
		wantChange cyclamendyke.Revision
	}{
		{name: "listing", listedAt: 5, entries: []cyclamendyke.Entry{entry("a", 3)}, want: []string{"a"}, wantChange: 5},
		{name: "same again", listedAt: 7, entries: []cyclamendyke.Entry{entry("a", 3)}, want: []string{"a"}, wantChange: 5},
		{name: "changes", entries: []cyclamendyke.Entry{entry("b", 8), deletion("a", 9)}, want: []string{"b"}, wantChange: 9},
		{name: "older listing", listedAt: 8, entries: []cyclamendyke.Entry{entry("a", 3), entry("b", 8)}, want: []string{"b"}, wantChange: 9},
		{name: "older change", entries: []cyclamendyke.Entry{entry("a", 3)}, want: []string{"b"}, wantChange: 9},
		{name: "listing without all", listedAt: 11, want: []string{}, wantChange: 11},
	} {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			if step.listedAt != 0 {
				c.replace(step.entries, step.listedAt)
			} else {
				c.apply(step.entries)
			}
			entries, _ := c.changedSince(0)
			keys := make([]string, 0, len(entries))
			for _, e := range entries {
				keys = append(keys, e.Key)
			}
			slices.Sort(keys)
			is.Equal(keys, step.want)
			is.Equal(c.changedAt, step.wantChange)
		})
	}
}
