package node

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
	"cyclamendyke/io/member"
	"cyclamendyke/standin/kv"
)

func evacuationKey(zone cyclamendyke.ZoneName) string {
	return jsonCodec{}.EvacuationsPrefix() + string(zone)
}

func newEvacuations() *evacuations {
	metrics := NewMetrics(prometheus.NewRegistry(), func() float64 { return 0 })
	return &evacuations{codec: jsonCodec{}, log: log.New(io.Discard), metrics: metrics}
}

// countMetrics counts the metrics of a collector.
func countMetrics(c prometheus.Collector) int {
	metrics := make(chan prometheus.Metric, 10)
	c.Collect(metrics)
	return len(metrics)
}

// TestOlderRevisionsUndoNothing applies listings and events in several orders; the newest one must count.
func TestOlderRevisionsUndoNothing(t *testing.T) {
	put := func(zone cyclamendyke.ZoneName, at cyclamendyke.Revision) cyclamendyke.Entry {
		return cyclamendyke.Entry{Key: evacuationKey(zone), Value: []byte("{}"), Revision: at}
	}
	deletion := func(zone cyclamendyke.ZoneName, at cyclamendyke.Revision) cyclamendyke.Entry {
		return cyclamendyke.Entry{Key: evacuationKey(zone), Revision: at, Deleted: true}
	}
	type change struct {
		listedAt cyclamendyke.Revision // Zero for an event.
		entries  []cyclamendyke.Entry
	}
	event := func(entries ...cyclamendyke.Entry) change { return change{entries: entries} }
	listing := func(at cyclamendyke.Revision, entries ...cyclamendyke.Entry) change { return change{at, entries} }
	unreadable := cyclamendyke.Entry{Key: evacuationKey("a"), Value: []byte{0xff}, Revision: 5}
	for _, test := range []struct {
		name    string
		changes []change
		want    []cyclamendyke.ZoneName
	}{
		{name: "event", changes: []change{event(put("a", 5))}, want: []cyclamendyke.ZoneName{"a"}},
		{name: "two zones in turn", changes: []change{event(put("a", 5)), event(put("b", 6), deletion("a", 7))}, want: []cyclamendyke.ZoneName{"b"}},
		{name: "older listing without it", changes: []change{event(put("a", 5)), listing(4)}, want: []cyclamendyke.ZoneName{"a"}},
		{name: "newer listing without it", changes: []change{event(put("a", 5)), listing(6)}},
		{name: "older listing with it", changes: []change{event(put("a", 5), deletion("a", 6)), listing(5, put("a", 5))}},
		{name: "older event after a listing", changes: []change{listing(9), event(put("a", 5))}},
		{name: "older deletion", changes: []change{event(put("a", 7)), event(deletion("a", 6))}, want: []cyclamendyke.ZoneName{"a"}},
		{name: "requested again", changes: []change{listing(9, put("a", 5)), event(deletion("a", 10)), event(put("a", 11))}, want: []cyclamendyke.ZoneName{"a"}},
		{name: "unreadable value", changes: []change{event(unreadable)}, want: []cyclamendyke.ZoneName{"a"}},
		{name: "no zone", changes: []change{listing(9, put("", 5))}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newEvacuations()
			for _, c := range test.changes {
				if c.listedAt != 0 {
					e.replace(c.entries, c.listedAt)
				} else {
					e.apply(c.entries)
				}
			}
			is.Equal(e.all(), test.want)
			is.Equal(countMetrics(e.metrics.EvacuatedZones), len(test.want))
		})
	}
}

// complete submits workflows and waits until they are completed.
func (c *testCluster) complete(n *Node, count int) {
	c.t.Helper()
	for range count {
		c.submitted++
		id := fmt.Sprintf("%016x", c.submitted)
		submitUntilAccepted(c.t, n, id)
		eventually(c.t, "completion of "+id, func() bool { return isCompleted(n, id) })
	}
}

// TestEvacuationOutlivesTakeover evacuates the members' own zone. They go on, start nothing there through a
// takeover, and use the zone again once it is taken back during the next one; all of it with and without the
// history of the operators' keys.
func TestEvacuationOutlivesTakeover(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprint("history is gone ", compacted), func(t *testing.T) {
			is := is.New(t)
			c, targets := newZoneCluster(t)
			start := func(name cyclamendyke.MemberName) *Node {
				store := &operatorsStore{BatchStore: c.store.As(string(name))}
				store.compacted.Store(compacted)
				return c.start(name, store, targets, 0)
			}
			first := start("first")
			c.complete(first, 2)
			is.Equal(targets.startsInZone(), 2)
			c.evacuate()
			eventually(t, "the evacuation", func() bool { return first.evacuations.has(testZone) })
			c.complete(first, 2)
			second := start("second")
			eventually(t, "two members", func() bool { return len(first.dir.memberNames()) == 2 })
			first.Leave(time.Second)
			eventually(t, "the second term", func() bool { return epochOf(second) == 2 })
			c.complete(second, 2)
			is.Equal(targets.startsInZone(), 2)
			is.Equal(countMetrics(first.cfg.Metrics.StartsHeldBack)+countMetrics(second.cfg.Metrics.StartsHeldBack), 0) // Decided, not held back.

			third := start("third")
			eventually(t, "a third member", func() bool { return len(second.dir.memberNames()) >= 2 })
			c.takeBack()
			second.Leave(time.Second)
			eventually(t, "the third term", func() bool { return epochOf(third) == 3 })
			c.complete(third, 2)
			is.Equal(targets.startsInZone(), 4)
		})
	}
}

// TestRequestDuringTakeoverCounts evacuates a zone right after a new term has listed the evacuations.
func TestRequestDuringTakeoverCounts(t *testing.T) {
	is := is.New(t)
	c, targets := newZoneCluster(t)
	store := &operatorsStore{BatchStore: c.store.As("only")}
	nodes := make(chan *Node, 1)
	store.afterList = func() {
		n := <-nodes
		c.evacuate()
		eventually(t, "the evacuation", func() bool { return n.evacuations.has(testZone) })
		store.afterList = nil
	}
	n := c.start("only", store, targets, 0)
	nodes <- n
	c.complete(n, 2)
	is.True(n.evacuations.has(testZone)) // The older listing has not undone it.
	is.Equal(targets.startsInZone(), 0)
}

// TestSilentWatchHidesNothing has a watch of the operators' keys that never answers.
func TestSilentWatchHidesNothing(t *testing.T) {
	c, targets := newZoneCluster(t)
	store := &operatorsStore{BatchStore: c.store.As("only")}
	store.silent.Store(true)
	n := c.start("only", store, targets, 0)
	eventually(t, "a term", func() bool { return epochOf(n) == 1 })
	c.evacuate()
	eventually(t, "the evacuation", func() bool { return n.evacuations.has(testZone) })
	c.takeBack()
	eventually(t, "the end of the evacuation", func() bool { return !n.evacuations.has(testZone) })
}

// TestStartsWaitWhileEvacuationsAreUnknown loses the watch and the listing of the evacuations while the lease can be
// renewed; after the time in which an evacuation must take effect nothing may start.
func TestStartsWaitWhileEvacuationsAreUnknown(t *testing.T) {
	is := is.New(t)
	c, targets := newZoneCluster(t)
	c.evacuationDelay = startTimeout + operatorsListAge
	store := &operatorsStore{BatchStore: c.store.As("only")}
	n := c.start("only", store, targets, 0)
	c.complete(n, 1)
	store.silent.Store(true)
	store.unlisted.Store(true)
	time.Sleep(longPollTimeout) // The last watch that hears anything ends.
	c.evacuate()
	eventually(t, "an outdated copy", func() bool {
		term := n.term.Load()
		outdated, err := query(context.Background(), term, func(answer func(bool)) { answer(term.evacuationsOutdated()) })
		return err == nil && outdated
	})
	submitUntilAccepted(t, n, "00000000000000b1")
	time.Sleep(5 * tickInterval)
	is.Equal(targets.startsInZone(), 1)
	store.unlisted.Store(false)
	eventually(t, "completion elsewhere", func() bool { return isCompleted(n, "00000000000000b1") })
	is.Equal(targets.startsInZone(), 1)
}

// TestLateStartIsNotSent has a member carry out starts, and a scheduler send or delegate them, after the
// process was suspended or while the zone is evacuated.
func TestLateStartIsNotSent(t *testing.T) {
	for _, test := range []struct {
		name     string
		zone     cyclamendyke.ZoneName
		waited   time.Duration
		unread   bool // The process has not read the evacuations yet.
		want     cyclamendyke.Kind
		wantSent int
	}{
		{name: "at once", zone: "a", wantSent: 1},
		{name: "after a pause", zone: "a", waited: 2 * time.Second, want: cyclamendyke.KindUnavailable},
		{name: "evacuated", zone: "b", want: cyclamendyke.KindEvacuated},
		{name: "evacuations are not read yet", zone: "a", unread: true, want: cyclamendyke.KindUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := newIdleNode(kv.New(kv.Config{}).As("a")).Node
			n.evacuations.apply([]cyclamendyke.Entry{{Key: evacuationKey("b"), Value: []byte("{}"), Revision: 1}})
			if !test.unread {
				n.confirmed.record(jsonCodec{}.OperatorsPrefix(), bootTime(), 1)
			}
			n.session.recordRenewal(1, bootTime())
			target := &fakeTarget{starts: map[cyclamendyke.TaskName]int{}}
			n.cfg.Targets, n.cfg.Codec = target, jsonCodec{}
			since := bootTime() - test.waited
			order := member.Order{Zone: test.zone, Start: &cyclamendyke.StartOrder{}}

			outcome := (&orderExecutor{node: n}).execute(order, since)
			is.Equal(outcome.Kind, test.want)
			is.Equal(len(target.starts), test.wantSent)

			clear(target.starts)
			scheduler := &term{node: n, ctx: n.ctx, inbox: make(chan func(), 2), election: electionResult{lease: 1}}
			scheduler.start(dispatch.StartCommand{Target: cyclamendyke.Target{Zone: test.zone}}, since)
			is.Equal(len(target.starts), test.wantSent)

			batch := &orderBatch{decidedAt: since, orders: []member.Order{order, {Zone: test.zone, Stop: &member.StopOrder{}}}}
			scheduler.holdBack(batch)
			is.Equal(len(batch.orders), 1+test.wantSent) // A stop is sent in any case.
		})
	}
}
