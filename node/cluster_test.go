package node

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"cyclamendyke"
	"cyclamendyke/io/member"
	"cyclamendyke/standin/kv"
)

// plainCodec reads targets and configuration as JSON of the root's types.
type plainCodec struct{}

// Target reads a target.
func (plainCodec) Target(entry cyclamendyke.Entry) (target cyclamendyke.Target, err error) {
	err = json.Unmarshal(entry.Value, &target)
	return target, err
}

// Config reads a configuration.
func (plainCodec) Config(value []byte) (*cyclamendyke.FleetConfig, error) {
	var fleet cyclamendyke.FleetConfig
	err := json.Unmarshal(value, &fleet)
	return &fleet, err
}

// TargetsPrefix returns the prefix of the targets' keys.
func (plainCodec) TargetsPrefix() string { return "targets/" }

// ConfigKey returns the key of the configuration.
func (plainCodec) ConfigKey() string { return "config" }

// oneTarget is a target whose runs are done at the next renewal; it checks fences.
type oneTarget struct {
	mu     sync.Mutex
	fence  uint64
	ends   []cyclamendyke.EndReport
	number int64
	starts map[cyclamendyke.TaskName]int
}

func (o *oneTarget) fenced(fence uint64) error {
	if fence < o.fence {
		return cyclamendyke.KindFenced
	}
	o.fence = fence
	return nil
}

// Renew lists the ends.
func (o *oneTarget) Renew(_ context.Context, _ cyclamendyke.Target, renewal cyclamendyke.Renewal) (cyclamendyke.Listing, error) {
	time.Sleep(5 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.ends) > 0 && o.ends[0].Sequence <= renewal.LastSeen {
		o.ends = o.ends[1:]
	}
	return cyclamendyke.Listing{Clock: bootTime(), Ended: append([]cyclamendyke.EndReport(nil), o.ends...)}, o.fenced(renewal.Fence)
}

// Start runs a task, which is done at once.
func (o *oneTarget) Start(_ context.Context, _ cyclamendyke.Target, order cyclamendyke.StartOrder) (time.Duration, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.fenced(order.Fence); err != nil {
		return 0, err
	}
	o.number++
	o.starts[order.Task]++
	o.ends = append(o.ends, cyclamendyke.EndReport{Sequence: o.number, Task: order.Task, Run: order.Run, How: cyclamendyke.EndDone})
	return bootTime(), nil
}

// Stop does nothing.
func (o *oneTarget) Stop(_ context.Context, _ cyclamendyke.Target, _ cyclamendyke.TaskName, _ int64, _ uint64) error {
	return nil
}

// Pace does nothing.
func (o *oneTarget) Pace(_ context.Context, _ cyclamendyke.Target, _ cyclamendyke.TaskName, _ int64, _ int, _ uint64) error {
	return nil
}

// cell is a store, a target and the nodes that use them, all in this process.
type cell struct {
	t       *testing.T
	service *kv.Service
	target  *oneTarget
}

func newCell(t *testing.T) *cell {
	c := &cell{t: t, service: kv.New(kv.Config{}), target: &oneTarget{starts: map[cyclamendyke.TaskName]int{}}}
	c.put("config", testFleet())
	c.put("targets/i-1", cyclamendyke.Target{ID: "i-1", Service: "s", Address: "x", Capacity: cyclamendyke.Resources{Cores: 16000}})
	return c
}

func (c *cell) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.service.As("operator").CompareAndSwap(context.Background(), key, text, 0, 0); err != nil {
		c.t.Fatal(err)
	}
}

// start runs a node until the test ends.
func (c *cell) start(name cyclamendyke.MemberName) *Node {
	return c.startWith(name, c.target)
}

// startWith runs a node that reaches the targets in a way of its own.
func (c *cell) startWith(name cyclamendyke.MemberName, targets cyclamendyke.Targets) *Node {
	return c.startOn(name, targets, 0)
}

// startOn runs a node on a VM of so many cores.
func (c *cell) startOn(name cyclamendyke.MemberName, targets cyclamendyke.Targets, cores float64) *Node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	n := New(Config{
		Settings: cyclamendyke.FleetSettings{Node: name, Cores: cores, Bounds: cyclamendyke.Bounds{MaxLease: 10 * time.Second}},
		Address:  listener.Addr().String(), Store: c.service.As(string(name)), Targets: targets, Codec: plainCodec{},
		Log: log.New(io.Discard), Requests: quietRequests(),
		Metrics: NewMetrics(prometheus.NewRegistry(), func() float64 { return 0 }),
	})
	server := member.NewServer(member.ServerConfig{Listener: listener, Handler: n})
	c.t.Cleanup(n.Close)
	c.t.Cleanup(server.Close)
	return n
}

// eventually polls until a state comes about.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not seen: %s", what)
}

func submit(t *testing.T, n *Node, id string) {
	t.Helper()
	eventually(t, "acceptance of "+id, func() bool {
		reply := Callers{n}.Submit(context.Background(), cyclamendyke.IntakeCall{Host: "h", Path: "/q/" + id, Deadline: time.Second}, submission)
		return reply.Result == cyclamendyke.IntakeAccepted
	})
}

func completed(n *Node, id string) bool {
	reply := Callers{n}.Look(context.Background(), cyclamendyke.IntakeCall{Host: "h", Path: "/q/" + id, Deadline: time.Second})
	return reply.State == cyclamendyke.WorkflowCompleted
}

// epochOf returns the epoch of the node's term, or zero.
func epochOf(n *Node) uint64 {
	if t := n.term.Load(); t != nil {
		return t.epoch
	}
	return 0
}

// TestHandover lets the scheduler step down; another member takes over and knows the work of before.
func TestHandover(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	first := c.start("first")
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	second := c.start("second")
	submit(t, second, "00000000000000a1")
	eventually(t, "completion at both members", func() bool {
		return completed(first, "00000000000000a1") && completed(second, "00000000000000a1")
	})
	first.Leave(time.Second)
	eventually(t, "the second term", func() bool { return epochOf(second) == 2 })
	is.True(!first.Ready())
	submit(t, first, "00000000000000a2") // Callers that are still here are served.
	eventually(t, "completion after the handover", func() bool {
		return completed(first, "00000000000000a2") && completed(second, "00000000000000a1")
	})
	is.Equal(len(c.target.starts), 2)
	for _, starts := range c.target.starts {
		is.Equal(starts, 1)
	}
}

// TestOwnTermEnds ends a term while the process keeps its session; nobody else can stand, so that it must stand again.
func TestOwnTermEnds(t *testing.T) {
	c := newCell(t)
	n := c.start("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	n.term.Load().end("test")
	eventually(t, "the next term", func() bool { return epochOf(n) == 2 })
	submit(t, n, "00000000000000a1")
	eventually(t, "completion", func() bool { return completed(n, "00000000000000a1") })
}

// TestStrongerTakesOver lets a weak member be elected alone; once a stronger one is there, the role goes to it, and stays.
func TestStrongerTakesOver(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	weak := c.startOn("weak", c.target, 0.2)
	eventually(t, "the weak member's term", func() bool { return epochOf(weak) == 1 })
	submit(t, weak, "00000000000000a1")
	strong := c.startOn("strong", c.target, 0.8)
	eventually(t, "the strong member's term", func() bool { return epochOf(strong) == 2 })
	is.Equal(epochOf(weak), uint64(0))
	submit(t, weak, "00000000000000a2")
	eventually(t, "completion", func() bool {
		return completed(strong, "00000000000000a1") && completed(strong, "00000000000000a2")
	})
	is.Equal(epochOf(strong), uint64(2))
	is.Equal(len(c.target.starts), 2)
	for _, starts := range c.target.starts {
		is.Equal(starts, 1)
	}
}
