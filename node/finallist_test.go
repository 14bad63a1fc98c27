package node

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"
	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
	"cyclamendyke/io/member"
)

// vanishingTargets are two targets, of which i-1 vanishes once it has accepted a start.
type vanishingTargets struct {
	*fakeTarget             // i-1.
	other       *fakeTarget // i-2.
	hasVanished *atomic.Bool
	calls       atomic.Int64 // Calls by one member.
}

// Renew fails for a target that has vanished.
func (v *vanishingTargets) Renew(ctx context.Context, target cyclamendyke.Target, renewal cyclamendyke.Renewal) (cyclamendyke.Listing, error) {
	v.calls.Add(1)
	if target.ID != "i-1" {
		return v.other.Renew(ctx, target, renewal)
	}
	listing, err := v.fakeTarget.Renew(ctx, target, renewal)
	if v.hasVanished.Load() {
		return cyclamendyke.Listing{}, cyclamendyke.KindUnknown
	}
	return listing, err
}

// Start fails for a target that has vanished.
func (v *vanishingTargets) Start(ctx context.Context, target cyclamendyke.Target, order cyclamendyke.StartOrder) (time.Duration, error) {
	v.calls.Add(1)
	if target.ID != "i-1" {
		return v.other.Start(ctx, target, order)
	}
	if v.hasVanished.Swap(true) {
		return 0, cyclamendyke.KindUnavailable
	}
	return v.fakeTarget.Start(ctx, target, order)
}

// startsOf returns how often a workflow's only task was started on either target.
func (v *vanishingTargets) startsOf(id string) int {
	return v.fakeTarget.startsOf(id) + v.other.startsOf(id)
}

// logBuffer keeps what nodes log.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the buffer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) has(parts ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		found := 0
		for _, part := range parts {
			if strings.Contains(line, part) {
				found++
			}
		}
		if found == len(parts) {
			return true
		}
	}
	return false
}

// TestLastSchedulerWithoutStoreGivesItsFinalList cuts a scheduler off from the store while a target that runs
// its work vanishes. Its term must end with the list, and other work must start without waiting.
func TestLastSchedulerWithoutStoreGivesItsFinalList(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	lines := &logBuffer{}
	c.log = lines
	hasVanished := &atomic.Bool{}
	other := &fakeTarget{starts: map[cyclamendyke.TaskName]int{}}
	firstTargets := &vanishingTargets{fakeTarget: c.target, other: other, hasVanished: hasVanished}
	secondTargets := &vanishingTargets{fakeTarget: c.target, other: other, hasVanished: hasVanished}
	store := &cutStore{BatchStore: c.store.As("first")}
	first := c.start("first", store, firstTargets, 0)
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	second := c.startNodeWithTargets("second", secondTargets)
	submitUntilAccepted(t, second, "00000000000000a1")
	eventually(t, "a run on the target that vanishes", hasVanished.Load)
	submitUntilAccepted(t, second, "00000000000000a2")
	firstTerm := first.term.Load()
	store.cut.Store(true)
	c.put("targets/i-2", cyclamendyke.Target{ID: "i-2", Service: "s", Address: "y", Capacity: cyclamendyke.Resources{Cores: 16000}})
	eventually(t, "the second term", func() bool { return epochOf(second) == 2 })
	eventually(t, "the final list", func() bool { return lines.has("final list added", "from=first", "runs=1") })
	is.Equal(epochOf(first), uint64(0))
	is.True(!firstTerm.maySendOrders())
	calls := firstTargets.calls.Load()
	eventually(t, "the start of the other work", func() bool { return secondTargets.startsOf("00000000000000a2") == 1 })
	is.Equal(secondTargets.startsOf("00000000000000a1"), 1)
	is.Equal(firstTargets.calls.Load(), calls)
}

// TestFinalListOfEndedTerm asks a process that is leaving, as the schedulers of several epochs.
func TestFinalListOfEndedTerm(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	ctx := context.Background()
	_, err := n.FinalList(ctx, member.FinalListRequest{Epoch: 1})
	is.Equal(cyclamendyke.KindOf(err), cyclamendyke.KindNotFound)
	is.Equal(epochOf(n), uint64(1)) // No later scheduler has asked.
	n.Leave(0)
	for range 2 { // An answer may be lost.
		list, err := member.NewClient().FinalList(ctx, n.cfg.Address, member.FinalListRequest{Epoch: 2})
		is.NoErr(err)
		_, err = dispatch.New(dispatch.Config{Epoch: 2}).AddFinalList(list.Value, dispatch.FinalListTimes{})
		is.NoErr(err)
	}
	_, err = n.FinalList(ctx, member.FinalListRequest{Epoch: 3})
	is.Equal(cyclamendyke.KindOf(err), cyclamendyke.KindNotFound)
}

// TestReelectedProcessTakesItsOwnFinalList ends a term and lets the same process be elected again.
func TestReelectedProcessTakesItsOwnFinalList(t *testing.T) {
	c := newTestCluster(t)
	lines := &logBuffer{}
	c.log = lines
	n := c.startNode("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	c.servers["only"].Close()
	n.term.Load().end("test")
	eventually(t, "the next term", func() bool { return epochOf(n) == 2 })
	eventually(t, "the final list", func() bool { return lines.has("final list added", "epoch=2", "from=only") })
}

// TestLastSchedulerOfEarlierVersionHasNoFinalList asks a member that does not know the method.
func TestLastSchedulerOfEarlierVersionHasNoFinalList(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	lines := &logBuffer{}
	c.log = lines
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			jrpc2.NewServer(handler.Map{}, nil).Start(channel.Line(conn, conn))
		}
	}()
	c.put(schedulerKey, schedulerRecord{memberRecord: memberRecord{Name: "old", Address: listener.Addr().String()}, Epoch: 5})
	c.put(epochKey, 5)
	n := c.startNode("new")
	eventually(t, "the old scheduler's record", func() bool { return n.dir.view().scheduler != nil })
	operator := c.store.As("operator")
	record, err := operator.Get(context.Background(), schedulerKey)
	is.NoErr(err)
	_, _, err = operator.Commit(context.Background(), cyclamendyke.Batch{Deletes: []cyclamendyke.Guard{{Key: schedulerKey, Expected: record.Revision}}})
	is.NoErr(err)
	eventually(t, "the next term", func() bool { return epochOf(n) == 6 })
	eventually(t, "the refusal", func() bool { return lines.has("no final list", "from=old") })
	submitUntilAccepted(t, n, "00000000000000a1")
	eventually(t, "completion", func() bool { return isCompleted(n, "00000000000000a1") })
}

// TestDirectoryRemembersLastScheduler removes the scheduler's record, lists all records again and adds the next.
func TestDirectoryRemembersLastScheduler(t *testing.T) {
	is := is.New(t)
	d := directory{changed: make(chan struct{}, 1)}
	d.apply([]cyclamendyke.Entry{{Key: schedulerKey, Value: []byte(`{"name":"a","epoch":7}`), Revision: 1}})
	d.apply([]cyclamendyke.Entry{{Key: schedulerKey, Deleted: true, Revision: 2}})
	d.replace(nil)
	d.apply([]cyclamendyke.Entry{{Key: schedulerKey, Value: []byte(`{"name":"b","epoch":8}`), Revision: 3}})
	for epoch, want := range map[uint64]cyclamendyke.MemberName{0: "", 6: "", 7: "a", 8: "b", 9: ""} {
		last, isKnown := d.schedulerOf(epoch)
		is.Equal(last.Name, want)
		is.Equal(isKnown, want != "")
	}
}
