package node

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
	"cyclamendyke/io/member"
)

// The limits of delegating orders to other members.
const (
	delegationMargin  = 300 * time.Millisecond // Added to an order's timeout for the calls to and from the member.
	delegationTimeout = 800 * time.Millisecond // For sending one batch of orders to a member.
	suspensionTime    = 4 * time.Second        // For members that are unreachable or fail too many orders.
	failureWindow     = time.Second            // Period over which outcomes are counted.
	minFailures       = 3                      // Fewer failures in a window never suspend a member.
)

// delegator has other members send a large fleet's orders to the targets.
//
// Calling every target would take more processor time than one VM has. The scheduler still
// makes all decisions; members make the calls and report the outcomes in batches. An order
// whose member is lost has an unknown outcome. Only the term's control goroutine uses it.
type delegator struct {
	term            *term
	executors       executors
	lastOrderNumber uint64
	pending         map[uint64]delegatedOrder                 // Orders without an outcome, by number.
	outbox          map[cyclamendyke.MemberName]*orderBatch   // Orders of the current pass, by member.
	suspendedUntil  map[cyclamendyke.MemberName]time.Duration // End of each member's suspension.
	outcomeCounts   map[cyclamendyke.MemberName]*outcomeCount
	windowStart     time.Duration // When the counts were last reset.
	lastRefresh     time.Duration
}

// outcomeCount counts a member's outcomes, to distinguish an unreachable target from a member that
// cannot reach targets: such a member fails most of its orders.
type outcomeCount struct {
	failed, total int
}

// orderBatch holds the orders for one member that were decided in one pass.
type orderBatch struct {
	address   string // Address of the member.
	decidedAt time.Duration
	orders    []member.Order
}

// delegatedOrder is an order whose outcome a member has yet to report.
type delegatedOrder struct {
	member   cyclamendyke.MemberName
	address  string // Address of the member.
	command  dispatch.Command
	sent     time.Duration
	deadline time.Duration // When the outcome becomes unknown.
}

func newDelegator(t *term) *delegator {
	return &delegator{
		term: t, pending: map[uint64]delegatedOrder{}, outbox: map[cyclamendyke.MemberName]*orderBatch{},
		suspendedUntil: map[cyclamendyke.MemberName]time.Duration{}, outcomeCounts: map[cyclamendyke.MemberName]*outcomeCount{},
	}
}

// refresh updates the available members, and completes orders as unknown if their member is lost or
// their deadline has passed.
func (d *delegator) refresh(now time.Duration) {
	if now-d.lastRefresh < tickInterval {
		return
	}
	d.lastRefresh = now
	d.suspendFailing(now)
	d.selectExecutors(now)
	for number, order := range d.pending {
		memberLost := now >= order.sent+delegationTimeout && !d.term.node.peers.OrdersConnected(order.address)
		if memberLost || now >= order.deadline {
			d.complete(member.Outcome{Number: number, Kind: cyclamendyke.KindUnknown})
		}
	}
}

// suspendFailing suspends members that failed at least minFailures orders and at least half of all
// their orders in the last window.
func (d *delegator) suspendFailing(now time.Duration) {
	if now-d.windowStart < failureWindow {
		return
	}
	for name, counts := range d.outcomeCounts {
		if counts.failed >= minFailures && 2*counts.failed >= counts.total {
			if d.suspendUntil(name, now+suspensionTime) {
				d.term.node.cfg.Log.Warn("member suspended: too many failed orders", "member", name, "failed", counts.failed, "of", counts.total, "rest", suspensionTime)
			}
		}
	}
	clear(d.outcomeCounts)
	d.windowStart = now
}

// countOutcome adds an outcome to its member's counts.
func (d *delegator) countOutcome(name cyclamendyke.MemberName, kind cyclamendyke.Kind) {
	counts := d.outcomeCounts[name]
	if counts == nil {
		counts = &outcomeCount{}
		d.outcomeCounts[name] = counts
	}
	counts.total++
	d.term.node.cfg.Metrics.DelegatedOrders.WithLabelValues(cmp.Or(string(kind), "answered")).Inc()
	if kind == cyclamendyke.KindUnknown || kind == cyclamendyke.KindUnavailable {
		counts.failed++
	}
}

// selectExecutors selects the members that carry out orders among those that are not suspended.
func (d *delegator) selectExecutors(now time.Duration) {
	settings := d.term.node.cfg.Settings
	members := slices.DeleteFunc(d.term.node.dir.allMembers(), func(m memberRecord) bool {
		return m.Name == settings.Node || now < d.suspendedUntil[m.Name]
	})
	d.executors.assign(settings.Cores, members, d.term.sched.TargetsByZone())
	if keeper := d.term.keeper.Load(); keeper != nil {
		keeper.executors.Store(d.executors.copied())
	}
}

// suspend stops delegating to a member for suspensionTime.
func (d *delegator) suspend(name cyclamendyke.MemberName) {
	now := bootTime()
	d.suspendUntil(name, now+suspensionTime)
	d.selectExecutors(now)
}

// maxSuspendedShare is the largest part of the members that is suspended at a time.
const maxSuspendedShare = 0.5

// suspendUntil suspends a member and returns true, unless half of the members are suspended already: then the
// scheduler itself is probably slow, and needs the others to carry out its orders.
func (d *delegator) suspendUntil(name cyclamendyke.MemberName, end time.Duration) bool {
	limit := max(1, int(maxSuspendedShare*float64(len(d.term.node.dir.memberNames()))))
	now := bootTime()
	maps.DeleteFunc(d.suspendedUntil, func(_ cyclamendyke.MemberName, until time.Duration) bool { return now >= until })
	if _, isSuspended := d.suspendedUntil[name]; !isSuspended && len(d.suspendedUntil) >= limit {
		return false
	}
	d.suspendedUntil[name] = end
	return true
}

// delegate queues a command for a member, or returns false if the scheduler must execute it itself.
func (d *delegator) delegate(command dispatch.Command) bool {
	order := member.Order{}
	timeout := delegationMargin
	var target cyclamendyke.Target
	switch c := command.(type) {
	case dispatch.StartCommand:
		target, order.Start, order.Zone, order.LeaseLeft = c.Target, &c.Order, c.Target.Zone, c.LeaseLeft
		timeout += startTimeout
	case dispatch.StopCommand:
		target, order.Stop = c.Target, &member.StopOrder{Task: c.Task, Run: c.Run, Fence: d.term.epoch}
		timeout += startTimeout
	case dispatch.RenewCommand:
		target, order.Renewal = c.Target, &c.Renewal
		timeout += c.Renewal.Wait + renewMargin
	default:
		return false
	}
	to, ok := d.executors.forTarget(target)
	if !ok {
		return false
	}
	d.lastOrderNumber++
	order.Number, order.Target, order.Address = d.lastOrderNumber, target.ID, target.Address
	now := bootTime()
	d.pending[order.Number] = delegatedOrder{to.Name, to.Address, command, now, now + timeout}
	if d.outbox[to.Name] == nil {
		d.outbox[to.Name] = &orderBatch{address: to.Address, decidedAt: d.term.passBegan}
	}
	d.outbox[to.Name].orders = append(d.outbox[to.Name].orders, order)
	return true
}

// flush sends the queued orders to their members.
func (d *delegator) flush() {
	for name, batch := range d.outbox {
		delete(d.outbox, name)
		t := d.term
		t.wg.Go(func() { t.sendOrders(name, batch) })
	}
}

// sendOrders sends orders to a member. If that fails, it suspends the member and completes the
// orders: as unavailable if they were certainly not received, as unknown otherwise.
func (t *term) sendOrders(name cyclamendyke.MemberName, batch *orderBatch) {
	t.holdBack(batch)
	if len(batch.orders) == 0 {
		return
	}
	kind := cyclamendyke.KindUnavailable
	if t.maySendOrders() {
		ctx, cancel := context.WithTimeout(t.ctx, delegationTimeout)
		defer cancel()
		err := t.node.peers.ExecuteOrders(ctx, batch.address, member.Orders{Epoch: t.epoch, ReplyTo: t.node.cfg.Address, Orders: batch.orders})
		if err == nil {
			return
		}
		t.node.cfg.RequestLog.Warn("cannot delegate orders", "member", name, "count", len(batch.orders), "err", err)
		if !errors.Is(err, cyclamendyke.KindUnavailable) {
			kind = cyclamendyke.KindUnknown
		}
	}
	t.post(func() {
		t.delegator.suspend(name)
		for _, order := range batch.orders {
			t.delegator.complete(member.Outcome{Number: order.Number, Kind: kind})
		}
	})
}

// complete passes an order's outcome to the scheduler; an outcome that arrives too late is ignored.
func (d *delegator) complete(outcome member.Outcome) {
	order, ok := d.pending[outcome.Number]
	if !ok {
		return
	}
	d.countOutcome(order.member, outcome.Kind)
	d.finish(order, outcome)
}

// withdraw passes the outcome of an order that was not sent to the scheduler.
func (d *delegator) withdraw(outcome member.Outcome) {
	if order, ok := d.pending[outcome.Number]; ok {
		d.finish(order, outcome)
	}
}

// finish removes an order that is pending no more, and passes its outcome to the scheduler.
func (d *delegator) finish(order delegatedOrder, outcome member.Outcome) {
	delete(d.pending, outcome.Number)
	switch c := order.command.(type) {
	case dispatch.StartCommand:
		d.term.sched.Started(c.Target, c.Order, outcome.Kind, outcome.Clock)
	case dispatch.StopCommand:
		d.term.sched.Stopped(c.Target, c.Task, c.Run, outcome.Kind)
	case dispatch.RenewCommand:
		if outcome.Listing == nil {
			outcome.Kind = cmp.Or(outcome.Kind, cyclamendyke.KindUnknown)
		}
		d.term.handleRenewal(c, order.sent, outcome.Listing, outcome.Kind)
	}
}
