package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cyclamendyke"
)

// inboxLength limits the functions queued for the control goroutine.
const inboxLength = 4096

// recorder stores the scheduler's jobs, outcomes and accounting records; its methods return at once
// and report results through callbacks.
type recorder interface {
	// open opens the zone's journal for an epoch and passes its live records to onLoaded.
	open(epoch cyclamendyke.Epoch, onLoaded func([]cyclamendyke.JournalRecord))
	// persist queues a record for the journal and passes the result to onResult, if that is not nil.
	persist(record cyclamendyke.JournalRecord, onResult func(cyclamendyke.PersistResult))
	// addAccountRecord adds a record to the accounting records.
	addAccountRecord(record cyclamendyke.AccountRecord)
	// completeKey stores the final outcome under the job's idempotency key.
	completeKey(job cyclamendyke.Job, outcome cyclamendyke.Outcome)
}

// controllerConfig configures a controller.
type controllerConfig struct {
	Member       cyclamendyke.Member
	NewScheduler func() cyclamendyke.Scheduler // Creates an empty scheduler for each term.
	Role         cyclamendyke.Role
	Workers      cyclamendyke.Workers
	Election     *election
	Recorder     recorder
	OnEvent      func(cyclamendyke.TimelineEvent)
	Metrics      *metrics
	OnRoleChange func(authority cyclamendyke.Authority)    // Called on the control goroutine.
	RoleHolder   func() (cyclamendyke.ZoneScheduler, bool) // Returns the role's holder if the store confirmed it recently.
}

// controller runs the zone's role and scheduler on one goroutine, the control goroutine.
type controller struct {
	cfg    controllerConfig
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	inbox  chan func(now time.Time)

	// Owned by the control goroutine.
	scheduler     cyclamendyke.Scheduler
	epoch         cyclamendyke.Epoch // Epoch of the scheduler's term, zero without a scheduler.
	tables        *cyclamendyke.Tables
	vms           []cyclamendyke.VM
	links         map[cyclamendyke.WorkerName]*workerLink
	waiters       map[cyclamendyke.RequestID][]chan<- submitAnswer
	lastRoleTick  time.Time
	roleTickDue   bool // The role's state has changed since its last tick.
	journalLoaded bool // The journal's records were passed to this term's scheduler.

	sessionRequest  atomic.Pointer[sessionRequest]
	startCount      atomic.Uint64
	schedulingEpoch atomic.Pointer[cyclamendyke.Epoch] // Nil unless this process holds the role with authority.
}

// submitAnswer is the result sent to a waiting submission.
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

// drainInbox runs the functions already queued, so that one tick covers the whole batch.
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

// post queues f for the control goroutine; it reports false if the controller is closed.
func (c *controller) post(f func(now time.Time)) bool {
	select {
	case c.inbox <- f:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// postAsync queues f without blocking, for callers that may run on the control goroutine.
func (c *controller) postAsync(f func(now time.Time)) {
	select {
	case c.inbox <- f:
	default:
		go c.post(f)
	}
}

// postAndWait runs f on the control goroutine and reports whether it ran; it reports false if the
// controller is closed.
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
