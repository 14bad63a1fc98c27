package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/singleflight"

	"cyclamendyke"
	"cyclamendyke/core/backlog"
	"cyclamendyke/io/member"
)

// Config configures a Node.
type Config struct {
	Settings   cyclamendyke.FleetSettings
	Address    string // Where other members call this process.
	Store      cyclamendyke.BatchStore
	Targets    cyclamendyke.Targets
	Adviser    cyclamendyke.Adviser // Nil if there is no advice service.
	Codec      cyclamendyke.FleetCodec
	Log        *log.Logger // For the process's own state; not limited in rate.
	RequestLog *RequestLog // For requests, orders and decisions; limited in rate.
	Metrics    *Metrics
	SetLimits  func(cyclamendyke.CallerLimits) // Called with the limits of each configuration; may be nil.
}

// Node is one entry VM's process: a member of the fleet that may become its scheduler.
type Node struct {
	cfg         Config
	nonce       uint64 // Distinguishes this process from earlier ones of the same name.
	peers       *member.Client
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	session     session
	dir         directory
	operators   operatorsCopy      // Everything that operators have written.
	refreshes   singleflight.Group // Rounds of asking members for their copies of it.
	refreshedAt atomic.Int64       // When the last round ended, as bootTime.
	evacuations evacuations        // Zones in which operators want nothing started.
	confirmed   confirmations      // As of when the copies of followed prefixes are complete.
	fleetConfig atomic.Pointer[cyclamendyke.FleetConfig]
	term        atomic.Pointer[term]
	executor    atomic.Pointer[orderExecutor] // Executes orders for the current scheduler.
	final       atomic.Pointer[finalList]     // Of this process's last term.
	storePaths  *storePaths
	reach       schedulerReach     // Whether the scheduler answers.
	writes      singleflight.Group // Submissions that are being stored.
	tombstones  tombstones         // Of workflows that were cancelled here and are not stored.
	checks      singleflight.Group // Checks of the own path to the store.
	leaving     atomic.Bool        // The process is shutting down.
	lastClaim   roleClaim          // The claim of the role that had no answer; only the election goroutine uses it.
}

// New returns a running node, which watches the store and takes part in elections until Close.
func New(cfg Config) *Node {
	n := newNode(cfg)
	n.wg.Go(n.maintainSession)
	n.wg.Go(n.followDirectory)
	n.wg.Go(n.followOperators)
	n.wg.Go(n.confirmOperators)
	n.wg.Go(n.runElections)
	n.wg.Go(n.writeTombstones)
	return n
}

// newNode returns a node whose goroutines are not running.
func newNode(cfg Config) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{cfg: cfg, nonce: rand.Uint64(), peers: member.NewClient(), ctx: ctx, cancel: cancel, storePaths: newStorePaths(cfg)}
	n.cfg.Store = trackedStore{store: cfg.Store, paths: n.storePaths}
	n.dir.log, n.dir.budget = cfg.Log, backlog.NewBudget(backlog.Limit(cfg.Settings.MemoryBytes))
	n.evacuations.codec, n.evacuations.log, n.evacuations.metrics = cfg.Codec, cfg.Log, cfg.Metrics
	n.dir.changed = make(chan struct{}, 1)
	n.tombstones.wake = make(chan struct{}, 1)
	return n
}

// storeStaleAfter is the time without an answer from the store after which callers are sent elsewhere, even
// if other members store their work: keys and queues that are withdrawn are learnt from the store only.
const storeStaleAfter = 1500 * time.Millisecond

// Ready reports whether callers should be sent here: the process has the fleet's configuration,
// reaches the store and is not shutting down.
func (n *Node) Ready() bool {
	return !n.Draining() && n.fleetConfig.Load() != nil
}

// Draining reports whether callers should reconnect elsewhere, because the process is shutting
// down, can store nothing, has not reached the store for long or has an outdated configuration.
func (n *Node) Draining() bool {
	return n.leaving.Load() || n.storePaths.hasNoPath() || n.operatorsOutdated() || bootTime()-n.session.lastStoreAnswer() > storeStaleAfter
}

// Leave sends callers elsewhere, steps down as the scheduler and releases the lease. Calls are
// still answered. While the store is unreachable no other member can take over, so a scheduler
// first waits for the store, for at most maxWait.
func (n *Node) Leave(maxWait time.Duration) {
	n.leaving.Store(true)
	for end := bootTime() + maxWait; n.dir.storeFailing.Load() && n.term.Load() != nil && bootTime() < end; {
		if !n.sleep(leavePollInterval) {
			return
		}
	}
	if t := n.term.Load(); t != nil {
		t.end("leaving")
		n.stepDown()
	}
	n.session.release(n)
}

// Close stops the node and waits for its goroutines, but not for a term's pending calls to the store,
// members and targets, which are only canceled.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
	n.peers.Close()
}

// leavePollInterval is how often a leaving scheduler checks whether the store is reachable again.
const leavePollInterval = 50 * time.Millisecond

// sleep pauses for d and reports false if the node is closed first.
func (n *Node) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-n.ctx.Done():
		return false
	}
}
