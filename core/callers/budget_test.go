package callers

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cyclamendyke"
)

// fakeTransport notes what it is told.
type fakeTransport struct {
	interrupted, aborted bool
}

func (f *fakeTransport) Interrupt() { f.interrupted = true }
func (f *fakeTransport) Abort()     { f.aborted = true }

func (f *fakeTransport) isTold() bool { return f.interrupted || f.aborted }

// caller is a connection with its transport.
type caller struct {
	*Connection
	transport *fakeTransport
}

func open(b *Budget, port *Port, now time.Duration) caller {
	transport := &fakeTransport{}
	return caller{b.Open(port, transport, now), transport}
}

const kib = 1 << 10

// smallLimits have room for 16 connections without requests.
var smallLimits = Limits{Bytes: 16 * connectionBytes, LargeBytes: 8 * connectionBytes, Connections: 12, Probes: 2}

// TestCallersHoldMoreThanBudget lets callers do what they like.
func TestCallersHoldMoreThanBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(smallLimits)
		ports := []*Port{{Max: smallLimits.Connections}, {Max: smallLimits.Probes}}
		var all []caller
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
			act(t, b, ports, &all, now)
			usage := b.Usage()
			if most := smallLimits.Bytes + smallLimits.Bytes/maxLeavingPart; usage.Bytes > most {
				t.Fatalf("%d bytes held, %d allowed", usage.Bytes, most)
			}
			for _, port := range ports {
				if port.open > withLeaving(port.Max) {
					t.Fatalf("%d connections, %d allowed", port.open, port.Max)
				}
			}
			for _, c := range all {
				if c.transport.isTold() != (c.state == leaving) {
					t.Fatalf("a connection in state %v was told to go: %v", c.state, c.transport.isTold())
				}
			}
		}
		for _, c := range all {
			c.Close()
		}
		if usage := b.Usage(); usage.Bytes != 0 || usage.Connections != 0 || b.large != 0 || b.held != 0 || ports[0].open+ports[1].open != 0 {
			t.Fatalf("after the end: %+v", usage)
		}
	})
}

// act does one thing, with a connection that has not been told to go.
func act(t *rapid.T, b *Budget, ports []*Port, all *[]caller, now time.Duration) {
	index := rapid.IntRange(0, 11).Draw(t, "connection")
	if index >= len(*all) || (*all)[index].closed {
		if c := open(b, rapid.SampledFrom(ports).Draw(t, "port"), now); c.Connection != nil {
			*all = append(*all, c)
		}
		return
	}
	c := (*all)[index]
	if c.state == leaving {
		c.Close()
		*all = append((*all)[:index], (*all)[index+1:]...)
		return
	}
	isComplete := c.state == handling
	c.act(t, rapid.IntRange(1, 100*kib).Draw(t, "bytes"), now)
	if isComplete && c.transport.isTold() {
		t.Fatal("a complete request was given up")
	}
	if rapid.IntRange(0, 9).Draw(t, "expire") == 0 {
		b.Expire(now)
	}
}

// act does one thing that fits the state.
func (c caller) act(t *rapid.T, bytes int, now time.Duration) {
	if rapid.Bool().Draw(t, "write") {
		c.BeginWrite(now)
		c.EndWrite(bytes%7 == 0)
		return
	}
	next := rapid.Bool().Draw(t, "next")
	switch {
	case c.state == readingHead && next:
		c.Begin(bytes%2 == 0)
	case c.state == waiting || c.state == readingHead:
		_ = c.Receive(bytes%(4*kib), bytes%100, now)
	case c.state == readingBody && next:
		c.CompleteBody()
	case c.state == readingBody:
		if c.Grow(int64(bytes), now) == nil && bytes%3 == 0 {
			c.Shrink(int64(bytes))
		}
	case next:
		c.End(now)
	default:
		_ = c.Reserve(int64(4*bytes), now)
	}
}

// TestNewestCallerIsTurnedAway fills the budget with unfinished requests; an ordinary caller comes last.
func TestNewestCallerIsTurnedAway(t *testing.T) {
	is := is.New(t)
	b, port := NewBudget(smallLimits), &Port{Max: smallLimits.Connections}
	crowd := make([]caller, 0, smallLimits.Connections)
	for i := range smallLimits.Connections {
		c := open(b, port, time.Duration(i)*time.Millisecond)
		is.NoErr(c.Receive(kib, 1, time.Duration(i)*time.Millisecond))
		crowd = append(crowd, c)
	}
	largest := crowd[5]
	is.True(largest.Begin(true))
	is.NoErr(largest.Grow(4*kib, time.Second))
	ordinary := open(b, port, 10*time.Second)
	is.True(ordinary.Connection != nil)
	is.True(largest.transport.interrupted) // It holds the most.
	is.NoErr(ordinary.Receive(200, 5, 10*time.Second))
	is.True(ordinary.Begin(true))
	is.NoErr(ordinary.Grow(4*kib, 10*time.Second))
	is.True(ordinary.CompleteBody())
	is.NoErr(ordinary.Reserve(8*kib, 10*time.Second))
	is.True(!ordinary.transport.isTold())
}

// TestServedCallerGoesBeforeSilentOne compares a connection that was used with one on which nothing was ever sent.
func TestServedCallerGoesBeforeSilentOne(t *testing.T) {
	is := is.New(t)
	b, port := NewBudget(smallLimits), &Port{Max: 2}
	served := open(b, port, 0)
	is.NoErr(served.Receive(200, 5, 0))
	is.True(served.Begin(false))
	served.End(0)
	silent := open(b, port, time.Second)
	open(b, port, 2*time.Second)
	is.True(silent.transport.interrupted)
	is.True(!served.transport.isTold())
}

// TestCallerThatDoesNotReadKeepsItsConnection fills a port with connections that are being written to.
func TestCallerThatDoesNotReadKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	b, port := NewBudget(smallLimits), &Port{Max: 1}
	deaf := open(b, port, 0)
	is.NoErr(deaf.Receive(200, 5, 0))
	is.True(deaf.Begin(false))
	is.True(open(b, port, time.Second).Connection == nil) // A request that is handled is not given up.
	deaf.BeginWrite(time.Second)
	is.True(open(b, port, time.Second+writeGrace-1).Connection == nil) // Its response is only being written.
	is.True(open(b, port, 2*time.Second).Connection != nil)
	is.True(deaf.transport.aborted)
}

// TestLargeRequestsTakeAllRoom lets large requests be decoded until they are refused.
func TestLargeRequestsTakeAllRoom(t *testing.T) {
	is := is.New(t)
	b, port := NewBudget(smallLimits), &Port{Max: smallLimits.Connections}
	complete := func() caller {
		c := open(b, port, 0)
		is.NoErr(c.Receive(200, 5, 0))
		is.True(c.Begin(false))
		return c
	}
	is.True(errors.Is(complete().Reserve(smallLimits.LargeBytes+1, 0), cyclamendyke.KindTooLarge))
	large := complete()
	is.NoErr(large.Reserve(smallLimits.LargeBytes, 0))
	is.True(errors.Is(complete().Reserve(largeRequest+1, 0), cyclamendyke.KindLimited))
	is.NoErr(complete().Reserve(largeRequest, 0))
	large.End(0)
	is.NoErr(complete().Reserve(smallLimits.LargeBytes, 0))
}

// TestSlowCallersKeepTheirConnections lets the time of heads and of idle connections pass, and then that for leaving.
func TestSlowCallersKeepTheirConnections(t *testing.T) {
	is := is.New(t)
	b, port := NewBudget(smallLimits), &Port{Max: smallLimits.Connections}
	b.SetTimeouts(cyclamendyke.CallerLimits{HeaderBytes: kib, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
	slow, silent, large := open(b, port, 0), open(b, port, 0), open(b, port, 0)
	is.NoErr(slow.Receive(1, 0, time.Second))
	is.NoErr(large.Receive(kib+headSlack, 0, time.Second))
	is.True(errors.Is(large.Receive(1, 0, time.Second), cyclamendyke.KindTooLarge))
	b.Expire(4 * time.Second)
	is.True(!slow.transport.isTold())
	b.Expire(4*time.Second + 1)
	is.True(slow.transport.interrupted)
	is.True(!silent.transport.isTold())
	b.Expire(15*time.Second + 1)
	is.True(silent.transport.interrupted)
	is.True(slow.transport.aborted)
	is.Equal(b.Usage().TurnedAway, map[Reason]int64{ReasonLargeHead: 1, ReasonSlowHead: 1, ReasonIdle: 1})
}

// TestLimitsLeaveNoRoomForOthers checks the limits for VMs of several sizes.
func TestLimitsLeaveNoRoomForOthers(t *testing.T) {
	for _, vm := range []struct {
		memoryMB    int64
		descriptors int
	}{{96, 700}, {184, 4100}, {284, 4100}, {536, 8192}, {64, 300}, {32, 100}, {0, 0}} {
		is := is.New(t)
		l := LimitsFor(cyclamendyke.FleetSettings{MemoryBytes: vm.memoryMB << 20, Descriptors: vm.descriptors})
		t.Logf("%d MB, %d descriptors: %+v", vm.memoryMB, vm.descriptors, l)
		is.True(l.Connections > 0)
		is.True(int64(l.Connections)*connectionBytes <= l.Bytes/2)
		if vm.memoryMB > 0 {
			is.True(l.Bytes <= vm.memoryMB<<20/3)
			is.True(l.Connections+2*l.Probes <= vm.descriptors/2)
		}
	}
}
