package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cyclamendyke"
)

// inboxLength bounds the results and requests that wait for the control goroutine.
const inboxLength = 4096

// recorder keeps what the scheduler wants kept; its calls return at once and answer through the callbacks.
type recorder interface {
	// open takes over the zone's journal for an epoch and hands over its live records.
	open(epoch cyclamendyke.Epoch, onLoaded func([]cyclamendyke.JournalRecord))
	// persist writes a record and reports its fate.
	persist(record cyclamendyke.JournalRecord, onResult func(cyclamendyke.PersistResult))
	// addAccountRecord adds a line to the addAccountRecord.
	addAccountRecord(record cyclamendyke.AccountRecord)
	// completeKey notes the final outcome under the job's idempotency key.
	completeKey(job cyclamendyke.Job, outcome cyclamendyke.Outcome)
}

// controllerConfig configures a controller.
type controllerConfig struct {
	Member       cyclamendyke.Member
	NewScheduler func() cyclamendyke.Scheduler // Makes an empty scheduler for each term.
	Role         cyclamendyke.Role
	Workers      cyclamendyke.Workers
	Election     *election
	Recorder     recorder
	OnEvent      func(cyclamendyke.TimelineEvent)
	Metrics      *metrics
	OnRoleChange func(authority cyclamendyke.Authority)    // Called on the control goroutine.
	RoleHolder   func() (cyclamendyke.ZoneScheduler, bool) // The role's holder, if the store has confirmed it lately.
}

// controller runs the zone's role and scheduler on one goroutine.
type controller struct {
	cfg    controllerConfig
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	inbox  chan func(now time.Time)

	// Owned by the control goroutine.
	scheduler     cyclamendyke.Scheduler
	epoch         cyclamendyke.Epoch
	tables        *cyclamendyke.Tables
	vms           []cyclamendyke.VM
	links         map[cyclamendyke.WorkerName]*workerLink
	waiters       map[cyclamendyke.RequestID][]chan<- submitAnswer
	lastRoleTick  time.Time
	roleTickDue   bool // The role has changed since it was last driven.
	journalLoaded bool // The journal's records were handed to this term's scheduler.

	sessionRequest  atomic.Pointer[sessionRequest]
	startCount      atomic.Uint64
	schedulingEpoch atomic.Pointer[cyclamendyke.Epoch] // Nil while another process holds the role.
}

// submitAnswer is what a waiting submission gets.
type submitAnswer struct {
	outcome cyclamendyke.Outcome
	err     error
}

func newController(cfg controllerConfig) *controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &controller{
		cfg:     cfg,
		ctx:     ctx,
		cancel:  cancel,
		inbox:   make(chan func(time.Time), inboxLength),
		links:   make(map[cyclamendyke.WorkerName]*workerLink),
		waiters: make(map[cyclamendyke.RequestID][]chan<- submitAnswer),
	}
	c.sessionRequest.Store(&sessionRequest{})
	c.wg.Go(func() {
		ticker := time.NewTicker(cyclamendyke.TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case next := <-c.inbox:
				next(time.Now())
				c.drainInbox()
			case <-ticker.C:
			}
			c.tick(time.Now())
		}
	})
	return c
}

// drainInbox takes in what already waits, so that one tick serves a whole batch.
func (c *controller) drainInbox() {
	for range inboxLength {
		select {
		case next := <-c.inbox:
			next(time.Now())
		default:
			return
		}
	}
}

// close ends the control goroutine and every worker link.
func (c *controller) close() {
	c.cancel()
	c.wg.Wait()
}

// post hands f to the control goroutine; it reports false once the controller is closed.
func (c *controller) post(f func(now time.Time)) bool {
	select {
	case c.inbox <- f:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// postAsync is post for callers that may be the control goroutine itself and so must not wait.
func (c *controller) postAsync(f func(now time.Time)) {
	select {
	case c.inbox <- f:
	default:
		go c.post(f)
	}
}

// postAndWait runs f on the control goroutine and waits until it has run.
func (c *controller) postAndWait(f func(now time.Time)) bool {
	ran := make(chan struct{})
	if !c.post(func(now time.Time) { f(now); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.ctx.Done():
		return false
	}
}
