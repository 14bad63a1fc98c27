package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// Config configures a Node.
type Config struct {
	Settings cyclamendyke.FleetSettings
	Address  string // Of this process's own protocol.
	Store    cyclamendyke.BatchStore
	Targets  cyclamendyke.Targets
	Adviser  cyclamendyke.Adviser // Nil if there is none.
	Codec    cyclamendyke.FleetCodec
	Log      *log.Logger // For what changes the process's state.
	Requests *RequestLog // For what touches one request; its volume is bounded.
	Metrics  *Metrics
}

// Node is one process of a fleet's scheduler.
type Node struct {
	cfg     Config
	nonce   uint64 // Tells this incarnation from earlier ones of the same name.
	peers   *member.Client
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	session session
	dir     directory
	fleet   atomic.Pointer[cyclamendyke.FleetConfig]
	term    atomic.Pointer[term]
	carrier atomic.Pointer[carrier] // For the scheduler whose orders came last.
	leaving atomic.Bool             // Callers are sent elsewhere.
}

// New returns a node that follows the store and takes part in elections until it is closed.
func New(cfg Config) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{cfg: cfg, nonce: rand.Uint64(), peers: member.NewClient(), ctx: ctx, cancel: cancel}
	n.dir.log = cfg.Log
	n.dir.changed = make(chan struct{}, 1)
	n.done.Go(n.keepSession)
	n.done.Go(n.followSystem)
	n.done.Go(n.followConfig)
	n.done.Go(n.runElections)
	return n
}

// storeFresh is how long after the store's last answer callers are still sent here.
const storeFresh = 1500 * time.Millisecond

// Ready reports whether callers should be sent here: only a process that reaches the store can accept work.
func (n *Node) Ready() bool {
	return !n.Leaving() && n.fleet.Load() != nil
}

// Leaving reports whether callers should come back on another connection.
func (n *Node) Leaving() bool {
	return n.leaving.Load() || bootTime()-n.session.reached() > storeFresh
}

// Leave makes this process send its callers elsewhere, while it goes on to answer, and step down; while the store does not answer nobody could take over, so that it acts on for at most patience.
func (n *Node) Leave(patience time.Duration) {
	n.leaving.Store(true)
	for end := bootTime() + patience; n.dir.storeLost.Load() && n.term.Load() != nil && bootTime() < end; {
		if !n.pause(leavePoll) {
			return
		}
	}
	if t := n.term.Load(); t != nil {
		t.end("leaving")
		n.stepDown(t.epoch)
	}
	n.session.release(n)
}

// Close ends the node.
func (n *Node) Close() {
	n.cancel()
	n.done.Wait()
	n.peers.Close()
}

// leavePoll is how often a process that leaves looks whether the store is back.
const leavePoll = 50 * time.Millisecond

// pause waits, and reports false if the node is closed meanwhile.
func (n *Node) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-n.ctx.Done():
		return false
	}
}
