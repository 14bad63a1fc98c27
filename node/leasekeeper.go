package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/lease"
	"cyclamendyke/io/member"
)

// The timing of renewals beside a control goroutine that is late.
const (
	keeperInterval   = 100 * time.Millisecond // Between two looks at whether it is late.
	lateRenewTimeout = 800 * time.Millisecond // For one call to a target.
)

// lateOrder is set in the number of an order that the lease keeper has delegated.
const lateOrder = 1 << 63

// leaseKeeper renews the leases on targets while the control goroutine is late, and stores the statements about leases that
// this needs.
//
// The control goroutine renews leases between all else that it does. If one of its passes, or one change that it applies,
// takes long, what runs on the targets must not lapse. The ledger of leases is all that the two share: a target that the
// scheduler has taken for silent gets no lease from either. Listings that come in here tell only that the target answers.
type leaseKeeper struct {
	term      *term
	ledger    *lease.Ledger
	executors atomic.Pointer[executors] // The last ones that the control goroutine has selected; only the keeper's goroutine uses what it points to.

	mu         sync.Mutex
	lastNumber uint64
	delegated  map[uint64]lateDelegation // Without an outcome, by number.
	isAvoided  map[cyclamendyke.MemberName]bool
}

// lateDelegation is a late renewal that a member carries out.
type lateDelegation struct {
	member   cyclamendyke.MemberName
	target   cyclamendyke.Target
	deadline time.Duration
}

func newLeaseKeeper(t *term, ledger *lease.Ledger) *leaseKeeper {
	return &leaseKeeper{term: t, ledger: ledger, delegated: map[uint64]lateDelegation{}, isAvoided: map[cyclamendyke.MemberName]bool{}}
}

// run looks after the leases until the term ends.
func (k *leaseKeeper) run() {
	isLate := false
	for k.term.ctx.Err() == nil {
		sleep(k.term.ctx, keeperInterval)
		k.giveUpOverdue()
		lateness := k.ledger.Lateness(bootTime())
		if wasLate := isLate; wasLate != (lateness > 0) {
			isLate = lateness > 0
			k.lateChanged(isLate, lateness)
		}
		if isLate && k.term.mayRenew() {
			k.storeStatement()
			k.renew()
		}
	}
}

// lateChanged tells that the control goroutine is late or no longer is.
func (k *leaseKeeper) lateChanged(isLate bool, lateness time.Duration) {
	if !isLate {
		k.term.node.cfg.Log.Info("the scheduler renews leases again", "epoch", k.term.epoch)
		return
	}
	k.term.node.cfg.Metrics.LatePasses.Inc()
	k.term.node.cfg.Log.Warn("the scheduler is late, leases are renewed beside it", "epoch", k.term.epoch, "since", lateness)
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.isAvoided)
}

// storeStatement stores a statement about leases, if one is due.
func (k *leaseKeeper) storeStatement() {
	if statement, isTaken := k.ledger.TakeIfDue(bootTime()); isTaken {
		k.term.storeStatement(statement, nil)
	}
}

// renew sends the renewals that are due, by the members that carry out orders if the fleet is large.
func (k *leaseKeeper) renew() {
	batches := map[memberRecord][]member.Order{}
	for _, renewal := range k.ledger.TakeLateRenewals(bootTime()) {
		if order, to, ok := k.delegate(&renewal); ok {
			batches[to] = append(batches[to], order)
			continue
		}
		k.term.wg.Go(func() { k.renewOne(renewal) })
	}
	for to, orders := range batches {
		k.term.wg.Go(func() { k.sendOrders(to, orders) })
	}
}

// renewalOf returns the request of a late renewal. It acknowledges nothing.
func (k *leaseKeeper) renewalOf(renewal *lease.LateRenewal) cyclamendyke.Renewal {
	return cyclamendyke.Renewal{Until: renewal.Until, Fence: k.term.epoch}
}

func (k *leaseKeeper) renewOne(renewal lease.LateRenewal) {
	if !k.term.maySendOrders() {
		k.ledger.Unanswered(renewal.Target)
		return
	}
	ctx, cancel := context.WithTimeout(k.term.ctx, lateRenewTimeout)
	defer cancel()
	listing, err := k.term.node.cfg.Targets.Renew(ctx, renewal.Target, k.renewalOf(&renewal))
	k.complete(renewal.Target, &listing, cyclamendyke.KindOf(err))
}

// complete notes the outcome of a late renewal; kind is empty if the target answered.
func (k *leaseKeeper) complete(target cyclamendyke.Target, listing *cyclamendyke.Listing, kind cyclamendyke.Kind) {
	if kind != "" || listing == nil {
		k.ledger.Unanswered(target)
		if kind == cyclamendyke.KindFenced {
			k.term.end("a target reported a later epoch")
		}
		return
	}
	k.ledger.Answered(target, listing.Clock, listing.StartedMillis, bootTime())
}

// delegate returns the order of a late renewal and the member that carries it out, or false if this process does.
func (k *leaseKeeper) delegate(renewal *lease.LateRenewal) (member.Order, memberRecord, bool) {
	selected := k.executors.Load()
	if selected == nil {
		return member.Order{}, memberRecord{}, false
	}
	to, ok := selected.forTarget(renewal.Target)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !ok || k.isAvoided[to.Name] {
		return member.Order{}, memberRecord{}, false
	}
	k.lastNumber++
	number := k.lastNumber | lateOrder
	k.delegated[number] = lateDelegation{to.Name, renewal.Target, bootTime() + renewMargin + delegationMargin}
	request := k.renewalOf(renewal)
	return member.Order{Number: number, Target: renewal.Target.ID, Address: renewal.Target.Address, Renewal: &request}, to, true
}

// sendOrders sends late renewals to a member. If that fails, this process calls the targets itself until the control goroutine
// is no longer late.
func (k *leaseKeeper) sendOrders(to memberRecord, orders []member.Order) {
	t := k.term
	kind := cyclamendyke.KindUnavailable
	if t.maySendOrders() {
		ctx, cancel := context.WithTimeout(t.ctx, delegationTimeout)
		defer cancel()
		err := t.node.peers.ExecuteOrders(ctx, to.Address, member.Orders{Epoch: t.epoch, ReplyTo: t.node.cfg.Address, Orders: orders})
		if err == nil {
			return
		}
		kind = cyclamendyke.KindUnknown
		t.node.cfg.RequestLog.Warn("cannot delegate late renewals", "member", to.Name, "count", len(orders), "err", err)
	}
	for _, order := range orders {
		k.outcome(member.Outcome{Number: order.Number, Kind: kind})
	}
	k.avoid(to.Name)
}

func (k *leaseKeeper) avoid(name cyclamendyke.MemberName) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isAvoided[name] = true
}

// outcome notes the outcome of a delegated renewal; one that comes too late is ignored.
func (k *leaseKeeper) outcome(outcome member.Outcome) {
	k.mu.Lock()
	order, ok := k.delegated[outcome.Number]
	delete(k.delegated, outcome.Number)
	k.mu.Unlock()
	if ok {
		k.complete(order.target, outcome.Listing, outcome.Kind)
	}
}

// giveUpOverdue takes delegated renewals for unanswered whose member has not reported their outcome.
func (k *leaseKeeper) giveUpOverdue() {
	now := bootTime()
	k.mu.Lock()
	var overdue []uint64
	for number, order := range k.delegated {
		if now >= order.deadline {
			overdue = append(overdue, number)
			k.isAvoided[order.member] = true
		}
	}
	k.mu.Unlock()
	for _, number := range overdue {
		k.outcome(member.Outcome{Number: number, Kind: cyclamendyke.KindUnknown})
	}
}

// mayRenew reports whether this process may still act as the scheduler. Unlike checkAuthority it ends nothing, which the control
// goroutine does.
func (t *term) mayRenew() bool {
	validUntil := t.leaseValidUntil()
	return t.ctx.Err() == nil && validUntil != 0 && bootTime() < validUntil+authorityGrace-graceMargin
}
