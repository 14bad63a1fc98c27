package proofs

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
	"cyclamendyke/daemon"
	"cyclamendyke/settings"
	"cyclamendyke/standin/kv"
	"cyclamendyke/standin/vms"
	"cyclamendyke/standin/worker"
)

// CellConfig sets the size and the tables of a cell.
type CellConfig struct {
	Zones          int
	Daemons        int // Per zone.
	Workers        int // Per zone.
	WorkerCapacity cyclamendyke.Resources
	Tables         cyclamendyke.TablesText
	Seed           uint64
}

// Cell runs stand-ins of the platform and the daemons of all zones in one process.
type Cell struct {
	Store *kv.Service
	Fleet *worker.Fleet
	VMs   *vms.List
	Nodes []*Node

	config    CellConfig
	network   *network
	workerVMs []cyclamendyke.VM
	log       lockedBuffer
}

// Node is a daemon with the fault injectors for its calls.
type Node struct {
	*daemon.Daemon
	Member       cyclamendyke.Member
	StoreFaults  *FaultInjector
	WorkerFaults *FaultInjector // Applies to the VM list too.
	PeerFaults   *FaultInjector // Applies to incoming connections too.

	generation int
}

// settingsText is the format of a daemon's settings file; its arguments are name, zone and peer address.
const settingsText = `[member]
name = %s
zone = %s
region = r
[listen]
peer = %s
http = 127.0.0.1:1
[platform]
store = 127.0.0.1:3
vm-list = 127.0.0.1:3
[operator]
key-hash = 06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23
[limits]
answer-timeout = 5m
`

// NewCell starts a cell and puts its tables in force.
func NewCell(config CellConfig) (*Cell, error) {
	c := &Cell{config: config, network: newNetwork(), Store: kv.New(kv.Config{WritesPerSecond: kv.DefaultWritesPerSecond, ReadsPerSecond: kv.DefaultReadsPerSecond})}
	for z := range config.Zones {
		for w := range config.Workers {
			c.workerVMs = append(c.workerVMs, cyclamendyke.VM{
				Name:     cyclamendyke.WorkerName(fmt.Sprintf("z%d-w%d", z, w)),
				Zone:     zoneName(z),
				Pool:     "p",
				Rack:     fmt.Sprintf("r%d", w%2),
				Capacity: config.WorkerCapacity,
				State:    cyclamendyke.VMLive,
			})
		}
	}
	c.Fleet = worker.New(worker.Config{VMs: c.workerVMs, UsageLag: 2 * time.Second})
	c.VMs = vms.New(vms.Config{VMs: c.workerVMs, Lag: 2 * time.Second})
	for i := range config.Zones * config.Daemons {
		node := &Node{Member: cyclamendyke.Member{Zone: zoneName(i / config.Daemons), Peer: fmt.Sprintf("127.0.0.1:%d", 7000+i)}}
		c.Nodes = append(c.Nodes, node)
		if err := c.Restart(node); err != nil {
			return nil, err
		}
	}
	result, err := c.Nodes[0].EditTables(context.Background(), config.Tables, 0)
	if len(result.Faults) > 0 {
		return c, fmt.Errorf("tables: %v", result.Faults)
	}
	return c, err
}

func zoneName(i int) cyclamendyke.ZoneName {
	return cyclamendyke.ZoneName(fmt.Sprintf("z%d", i))
}

// Restart stops the node's daemon as kill -9 would and starts a new one, under a new name, at its
// peer address.
func (c *Cell) Restart(node *Node) error {
	c.kill(node)
	node.generation++
	name := fmt.Sprintf("%s-%s-%d", node.Member.Zone, strings.TrimPrefix(node.Member.Peer, "127.0.0.1:"), node.generation)
	nodeSettings, faults := settings.Parse("daemon.ini", fmt.Sprintf(settingsText, name, node.Member.Zone, node.Member.Peer))
	if len(faults) > 0 {
		return fmt.Errorf("settings: %v", faults)
	}
	node.Member.Name = cyclamendyke.MemberName(name)
	node.StoreFaults, node.WorkerFaults, node.PeerFaults = NewFaultInjector(), NewFaultInjector(), NewFaultInjector()
	peerFaults := node.PeerFaults
	started, err := daemon.New(daemon.Config{
		Settings: nodeSettings,
		Platform: daemon.Platform{
			Store:   faultyStore{c.Store.As(name), node.StoreFaults},
			Workers: faultyWorkers{c.Fleet.As(name), node.WorkerFaults},
			VMs:     faultyVMLister{c.VMs.As(name), node.WorkerFaults},
		},
		Log:          log.New(&c.log),
		Seed:         c.config.Seed,
		HTTPListener: c.network.listen(name, peerFaults),
		PeerListener: c.network.listen(node.Member.Peer, peerFaults),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return c.network.dial(ctx, address, peerFaults)
		},
	})
	node.Daemon = started
	return err
}

// kill drops all requests of the node's daemon and closes it, so that it cannot shut down in an
// orderly way.
func (c *Cell) kill(node *Node) {
	if node.Daemon == nil {
		return
	}
	for _, injector := range []*FaultInjector{node.StoreFaults, node.WorkerFaults, node.PeerFaults} {
		injector.Set(FaultDropRequests)
	}
	node.Close()
	node.Daemon = nil
}

// Close stops all daemons and stand-ins.
func (c *Cell) Close() {
	c.ClearFaults()
	for _, node := range c.Nodes {
		if node.Daemon != nil {
			node.Close()
		}
	}
	c.Fleet.Close()
	c.Store.Close()
}

// ClearFaults removes all faults.
func (c *Cell) ClearFaults() {
	c.Store.SetFaults(kv.Faults{})
	c.VMs.SetFaults(vms.Faults{})
	for _, name := range c.Fleet.Names() {
		c.Fleet.SetFaults(name, worker.Faults{})
	}
	for _, node := range c.Nodes {
		for _, injector := range []*FaultInjector{node.StoreFaults, node.WorkerFaults, node.PeerFaults} {
			injector.Set(FaultNone)
		}
	}
}

// Scheduler returns the node that considers itself the scheduler of the zone, or nil.
func (c *Cell) Scheduler(zone cyclamendyke.ZoneName) *Node {
	for _, node := range c.Nodes {
		if node.Member.Zone == zone && node.isScheduler() {
			return node
		}
	}
	return nil
}

// isScheduler reports whether the node considers itself the scheduler of its zone.
func (n *Node) isScheduler() bool {
	if n.Daemon == nil {
		return false
	}
	states, _ := n.Members(context.Background())
	for _, state := range states {
		if state.Member.Name == n.Member.Name {
			return state.Scheduling
		}
	}
	return false
}

// Violations returns the log lines that report broken invariants.
func (c *Cell) Violations() []string {
	var violations []string
	for line := range strings.Lines(c.log.String()) {
		if strings.Contains(line, "invariant broken") {
			violations = append(violations, strings.TrimSpace(line))
		}
	}
	return violations
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Log returns the log lines of all daemons.
func (c *Cell) Log() string { return c.log.String() }
