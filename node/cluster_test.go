package node

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"cyclamendyke"
	"cyclamendyke/io/member"
	"cyclamendyke/standin/kv"
)

// testCluster is a store and a target for nodes that run in the test's process.
type testCluster struct {
	t      testing.TB
	store  *kv.Service
	target *fakeTarget

	servers         map[cyclamendyke.MemberName]*member.Server
	log             io.Writer             // For the nodes' own lines.
	zone            cyclamendyke.ZoneName // Of the nodes that are started.
	evacuationDelay time.Duration         // In their settings.
	maxConfigAge    time.Duration         // In their settings.
	memoryBytes     int64                 // In their settings.
	maxLease        time.Duration         // In their settings.
	submitted       int                   // Workflows that complete has submitted.
}

func newTestCluster(t testing.TB) *testCluster {
	c := &testCluster{
		t: t, store: kv.New(kv.Config{}), target: &fakeTarget{starts: map[cyclamendyke.TaskName]int{}},
		servers: map[cyclamendyke.MemberName]*member.Server{}, log: io.Discard, maxLease: 10 * time.Second,
	}
	c.put(jsonCodec{}.ConfigKey(), testFleet())
	c.put("targets/i-1", cyclamendyke.Target{ID: "i-1", Service: "s", Address: "x", Capacity: cyclamendyke.Resources{Cores: 16000}})
	return c
}

func (c *testCluster) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.store.As("operator").CompareAndSwap(context.Background(), key, text, 0, 0); err != nil {
		c.t.Fatal(err)
	}
}

// configure stores the next version of the configuration, with one key.
func (c *testCluster) configure(key string) *cyclamendyke.FleetConfig {
	c.t.Helper()
	ctx, store := context.Background(), c.store.As("operator")
	old, err := store.Get(ctx, jsonCodec{}.ConfigKey())
	if err != nil {
		c.t.Fatal(err)
	}
	fleet, err := jsonCodec{}.Config(old.Value)
	if err != nil {
		c.t.Fatal(err)
	}
	fleet.Version++
	fleet.Queues[0].Open = false
	fleet.Teams = []cyclamendyke.TeamConfig{{Team: "t", Keys: []string{key}}}
	value, err := json.Marshal(fleet)
	if err == nil {
		_, err = store.CompareAndSwap(ctx, jsonCodec{}.ConfigKey(), value, old.Revision, 0)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return fleet
}

// startNode runs a node until the test ends.
func (c *testCluster) startNode(name cyclamendyke.MemberName) *Node {
	return c.startNodeWithTargets(name, c.target)
}

// startNodeWithTargets runs a node that calls targets through the given client.
func (c *testCluster) startNodeWithTargets(name cyclamendyke.MemberName, targets cyclamendyke.Targets) *Node {
	return c.startNodeWithCores(name, targets, 0)
}

// startNodeWithCores runs a node on a VM with the given number of cores.
func (c *testCluster) startNodeWithCores(name cyclamendyke.MemberName, targets cyclamendyke.Targets, cores float64) *Node {
	return c.start(name, c.store.As(string(name)), targets, cores)
}

// startNodeWithStore runs a node that calls the store through the given client.
func (c *testCluster) startNodeWithStore(name cyclamendyke.MemberName, store cyclamendyke.BatchStore) *Node {
	return c.start(name, store, c.target, 0)
}

func (c *testCluster) start(name cyclamendyke.MemberName, store cyclamendyke.BatchStore, targets cyclamendyke.Targets, cores float64) *Node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	n := New(Config{
		Settings: cyclamendyke.FleetSettings{Node: name, Zone: c.zone, Cores: cores, MemoryBytes: c.memoryBytes, Bounds: cyclamendyke.Bounds{MaxLease: c.maxLease, EvacuationDelay: c.evacuationDelay, MaxConfigAge: c.maxConfigAge}},
		Address:  listener.Addr().String(), Store: store, Targets: targets, Codec: jsonCodec{},
		Log: log.New(c.log), RequestLog: newDiscardRequestLog(),
		Metrics: NewMetrics(prometheus.NewRegistry(), func() float64 { return 0 }),
	})
	server := member.NewServer(member.ServerConfig{Listener: listener, Handler: n})
	c.servers[name] = server
	c.t.Cleanup(n.Close)
	c.t.Cleanup(server.Close)
	return n
}

// eventually waits until a condition holds, and fails the test after about 10 seconds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func submitUntilAccepted(t testing.TB, n *Node, id string) {
	t.Helper()
	eventually(t, "acceptance of "+id, func() bool {
		reply := Intake{n}.Submit(context.Background(), cyclamendyke.IntakeCall{Host: "h", Path: "/q/" + id, Timeout: time.Second}, readTestWorkflow)
		return reply.Result == cyclamendyke.IntakeAccepted
	})
}

func isCompleted(n *Node, id string) bool {
	reply := Intake{n}.Query(context.Background(), cyclamendyke.IntakeCall{Host: "h", Path: "/q/" + id, Timeout: time.Second})
	return reply.State == cyclamendyke.WorkflowCompleted
}

// epochOf returns the epoch of the node's term, or zero.
func epochOf(n *Node) uint64 {
	if t := n.term.Load(); t != nil {
		return t.epoch
	}
	return 0
}

// TestHandover checks that another member takes over with all earlier work when the scheduler steps
// down.
func TestHandover(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	first := c.startNode("first")
	eventually(t, "the first term", func() bool { return epochOf(first) == 1 })
	second := c.startNode("second")
	submitUntilAccepted(t, second, "00000000000000a1")
	eventually(t, "completion at both members", func() bool {
		return isCompleted(first, "00000000000000a1") && isCompleted(second, "00000000000000a1")
	})
	first.Leave(time.Second)
	eventually(t, "the second term", func() bool { return epochOf(second) == 2 })
	is.True(!first.Ready())
	submitUntilAccepted(t, first, "00000000000000a2") // Callers that are still connected are served.
	eventually(t, "completion after the handover", func() bool {
		return isCompleted(first, "00000000000000a2") && isCompleted(second, "00000000000000a1")
	})
	is.Equal(len(c.target.starts), 2)
	for _, starts := range c.target.starts {
		is.Equal(starts, 1)
	}
}

// TestReelectedAfterTermEnds checks that a process whose term ended but whose session did not is
// elected again. Its scheduler record is still in the store, so no other member can be elected.
func TestReelectedAfterTermEnds(t *testing.T) {
	c := newTestCluster(t)
	n := c.startNode("only")
	eventually(t, "the first term", func() bool { return epochOf(n) == 1 })
	n.term.Load().end("test")
	eventually(t, "the next term", func() bool { return epochOf(n) == 2 })
	submitUntilAccepted(t, n, "00000000000000a1")
	eventually(t, "completion", func() bool { return isCompleted(n, "00000000000000a1") })
}

// TestStrongerMemberTakesOver checks that a weak member elected alone hands the role to a stronger
// one, which keeps it.
func TestStrongerMemberTakesOver(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	weak := c.startNodeWithCores("weak", c.target, 0.2)
	eventually(t, "the weak member's term", func() bool { return epochOf(weak) == 1 })
	submitUntilAccepted(t, weak, "00000000000000a1")
	strong := c.startNodeWithCores("strong", c.target, 0.8)
	eventually(t, "the strong member's term", func() bool { return epochOf(strong) == 2 })
	is.Equal(epochOf(weak), uint64(0))
	submitUntilAccepted(t, weak, "00000000000000a2")
	eventually(t, "completion", func() bool {
		return isCompleted(strong, "00000000000000a1") && isCompleted(strong, "00000000000000a2")
	})
	is.Equal(epochOf(strong), uint64(2))
	is.Equal(len(c.target.starts), 2)
	for _, starts := range c.target.starts {
		is.Equal(starts, 1)
	}
}
