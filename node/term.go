package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
	"cyclamendyke/core/lease"
	"cyclamendyke/io/member"
)

// The timing of a term.
const (
	// authorityGrace is how long after its lease expires a scheduler may go on running the workflows
	// that it already has, on targets that have a lease.
	authorityGrace = 6500 * time.Millisecond
	graceMargin    = 500 * time.Millisecond // A scheduler ends its term this long before its grace period ends.
	tickInterval   = 100 * time.Millisecond // Passes run at least this often.
	// renewalInterval is the time between two looks at which leases are to be renewed while the next pass is not due.
	renewalInterval = 100 * time.Millisecond
	inboxSize       = 4096
)

// term is a period in which this process is the scheduler.
type term struct {
	node     *Node
	epoch    uint64
	election electionResult
	ctx      context.Context
	cancel   context.CancelFunc
	inbox    chan func() // Changes for the control goroutine to apply.
	wg       sync.WaitGroup
	endOnce  sync.Once
	final    *finalList
	keeper   atomic.Pointer[leaseKeeper] // Nil until the state is loaded.

	leaseRevisions leaseRevisions // Only who has taken a statement that is not stored uses them.

	// Only the control goroutine uses the fields below.
	sched              *dispatch.Scheduler
	delegator          *delegator
	cancellations      map[cyclamendyke.WorkflowID]bool // Unfinished workflows with a cancellation in the store.
	hasOldKnownTargets bool                             // The store holds the list of known targets that earlier versions wrote.
	commitsInFlight    int                              // Batches of records being written.
	nextCommit         time.Duration                    // Earliest time of the next batch without final records.
	nextFinalCommit    time.Duration                    // Earliest time of the next batch with final records.
	loaded             bool                             // The state in the store has been loaded.
	deferred           []func()                         // Changes that wait until the state is loaded.
	heldSubmissions    []member.Submission              // Stored work that waits until the lease is certainly valid.
	heldCancellations  []cyclamendyke.Entry             // Stored cancellations of held work.
	sightings          *lease.Sightings                 // Of what the store said of leases when this term began.
	statedHeld         int64                            // What was last stored of the memory that the work takes.
	unusable           map[cyclamendyke.TargetID]bool   // Described targets whose descriptions cannot be used.
	claiming           map[cyclamendyke.WorkflowID]bool // Workflows that are reserved for a later epoch, until the store says otherwise.
	passBegan          time.Duration                    // When the last pass began, or when renewals were last sent.
	lastPassDuration   time.Duration
	confirmedTargets   time.Duration // As of when the descriptions of targets are complete once the inbox is applied.
}

// beginTerm starts acting as the scheduler.
func (n *Node) beginTerm(election electionResult) {
	ctx, cancel := context.WithCancel(n.ctx)
	t := &term{
		node: n, epoch: election.epoch, election: election, ctx: ctx, cancel: cancel, inbox: make(chan func(), inboxSize),
		cancellations: map[cyclamendyke.WorkflowID]bool{}, claiming: map[cyclamendyke.WorkflowID]bool{},
		unusable: map[cyclamendyke.TargetID]bool{}, statedHeld: n.dir.budget.Held(),
	}
	t.sightings = election.leases.clone()
	t.leaseRevisions = leaseRevisions{round: election.revision, silent: election.leases.silentRevision}
	t.final = &finalList{epoch: t.epoch, ready: make(chan struct{})}
	bounds := n.cfg.Settings.Bounds
	t.sched = dispatch.New(dispatch.Config{
		Epoch:            election.epoch,
		ElectedRevision:  election.revision,
		Bounds:           bounds,
		ClaimedAt:        election.requestedAt,
		EarlierRunsEndBy: earlierLeasesEnd(bootTime(), bounds.MaxLease, election.areLeasesBounded),
		LogDecision:      t.logDecision,
		PassTime:         func() time.Duration { return bootTime() - t.passBegan },
		RecordViolation:  t.logViolation,
	})
	t.delegator = newDelegator(t)
	n.term.Store(t)
	own := n.final.Swap(t.final)
	n.cfg.Metrics.Terms.Inc()
	t.wg.Go(t.loadAndFollow)
	t.wg.Go(func() { t.askForFinalList(own) })
	t.wg.Go(t.askForSightings)
	n.wg.Go(func() { // Last, since a term that ends at once waits for the others.
		t.runControlLoop()
		t.leaveFinalList()
		t.wg.Wait()
	})
}

// end ends the term; only the first call has an effect.
func (t *term) end(reason string) {
	t.endOnce.Do(func() {
		t.node.term.CompareAndSwap(t, nil)
		t.node.cfg.Log.Info("term ended", "epoch", t.epoch, "reason", reason)
		t.cancel()
	})
}

// post sends a change to the control goroutine, or drops it if the term has ended.
func (t *term) post(change func()) {
	select {
	case t.inbox <- change:
	case <-t.ctx.Done():
	}
}

// runControlLoop applies posted changes to the scheduler and runs passes until the term ends.
func (t *term) runControlLoop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer t.node.cfg.Metrics.UnstoredEnds.Set(0)
	defer t.node.cfg.Metrics.RunListBytes.Set(0)
	defer t.node.cfg.Metrics.SilentTargets.Set(0)
	defer t.node.cfg.Metrics.UnusableTargets.Set(0)
	defer t.node.cfg.Metrics.AdviceBacklog.Set(0)
	for {
		select {
		case change := <-t.inbox:
			t.apply(change)
			t.applyUntilNextPass()
		case <-tick.C:
		case <-t.ctx.Done():
			return
		}
		if t.loaded {
			start := bootTime()
			t.runPass()
			t.lastPassDuration = bootTime() - start
			t.node.cfg.Metrics.PassSeconds.Observe(t.lastPassDuration.Seconds())
			t.node.cfg.Metrics.UnstoredEnds.Set(float64(t.sched.UnstoredEnds()))
			t.node.cfg.Metrics.countAdvice(t.sched.TakeAdviceUse(), t.sched.AdviceBacklog())
		}
	}
}

// apply advances the scheduler's clock and applies one change.
func (t *term) apply(change func()) {
	t.sched.Advance(bootTime(), time.Now())
	change()
}

// applyUntilNextPass applies further changes, and renews leases, until the next pass is due.
func (t *term) applyUntilNextPass() {
	timer := time.NewTimer(pauseAfterPass(t.lastPassDuration))
	defer timer.Stop()
	renewals := time.NewTicker(renewalInterval)
	defer renewals.Stop()
	for {
		select {
		case change := <-t.inbox:
			t.apply(change)
		case <-renewals.C:
			t.renewLeases()
		case <-timer.C:
			return
		case <-t.ctx.Done():
			return
		}
	}
}

// runPass runs a scheduling pass and executes or delegates its commands, if this process may
// still act as the scheduler.
func (t *term) runPass() {
	if !t.checkAuthority() || t.ctx.Err() != nil {
		return
	}
	t.passBegan = bootTime()
	t.sched.Advance(t.passBegan, time.Now())
	t.submitHeld()
	t.sched.SetSuccessorPossible(!t.leaseValid())
	t.sched.SetAdvisers(t.advisers())
	t.updateEvacuated()
	t.confirmTargets()
	t.delegator.refresh(bootTime())
	t.carryOut(t.sched.Renew()) // They do not wait for the pass.
	t.carryOut(t.sched.Run())
	if t.sched.Superseded() {
		t.end("a target reported a later epoch")
		return
	}
	t.storeLeaseStatement()
	t.commitRecords()
}

// carryOut delegates commands or executes them.
func (t *term) carryOut(commands []dispatch.Command) {
	for _, command := range commands {
		if !t.delegator.delegate(command) {
			t.execute(command)
		}
	}
	t.delegator.flush()
}

// renewLeases sends the renewals that are due between two passes, if this process may still act as the scheduler.
func (t *term) renewLeases() {
	if !t.loaded || !t.checkAuthority() || t.ctx.Err() != nil {
		return
	}
	t.passBegan = bootTime()
	t.sched.Advance(t.passBegan, time.Now())
	t.sched.SetSuccessorPossible(!t.leaseValid())
	t.carryOut(t.sched.Renew())
	t.storeLeaseStatement()
}

// checkAuthority reports whether this process may still act as the scheduler, and ends the term if
// not. For a grace period after the lease expires, it may go on with the workflows that it already has.
func (t *term) checkAuthority() bool {
	validUntil := t.leaseValidUntil()
	now := bootTime()
	if validUntil == 0 {
		t.end("the session was lost")
		return false
	}
	if now < validUntil+authorityGrace-graceMargin {
		return true
	}
	t.end("the store was unreachable for too long")
	return false
}

// leaseValidUntil returns until when the lease that holds the role is certainly valid, or zero if it was lost.
// A lease that the process has obtained since does not hold the role.
func (t *term) leaseValidUntil() time.Duration {
	return t.node.session.validUntilOf(t.election.lease)
}

// leaseValid reports whether the lease in the store has certainly not expired.
func (t *term) leaseValid() bool {
	return bootTime() < t.leaseValidUntil()
}

// advisers returns the members that can request advice.
func (t *term) advisers() []cyclamendyke.MemberName {
	if t.node.cfg.Adviser == nil {
		return nil
	}
	return t.node.dir.memberNames()
}

func (t *term) applyConfig(fleet *cyclamendyke.FleetConfig) {
	t.post(func() { t.sched.Configure(fleet) })
}
