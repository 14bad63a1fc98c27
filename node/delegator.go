package node

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
	"cyclamendyke/io/member"
)

// The limits of delegating orders to other members.
const (
	minDelegationTargets = 100                    // With fewer targets the scheduler calls all of them itself.
	delegationMargin     = 300 * time.Millisecond // Added to an order's timeout for the calls to and from the member.
	delegationTimeout    = 300 * time.Millisecond // For sending one batch of orders to a member.
	suspensionTime       = 4 * time.Second        // For members that are unreachable or fail too many orders.
	failureWindow        = time.Second            // Period over which outcomes are counted.
	minFailures          = 3                      // Fewer failures in a window never suspend a member.
)

// delegator distributes a large fleet's start and renewal orders among the other members of the
// scheduler's zone, which send them to the targets.
//
// Calling every target would take more processor time than one VM has. The scheduler still
// makes all decisions; members make the calls and report the outcomes in batches. An order
// whose member is lost has an unknown outcome. Only the term's control goroutine uses it.
type delegator struct {
	term            *term
	members         []memberRecord // The zone's other members that are not suspended.
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
	address string // Address of the member.
	orders  []member.Order
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
	d.selectMembers(now)
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
			d.term.node.cfg.Log.Warn("member suspended: too many failed orders", "member", name, "failed", counts.failed, "of", counts.total, "rest", suspensionTime)
			d.suspendedUntil[name] = now + suspensionTime
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

// selectMembers selects the zone's other members that are not suspended.
func (d *delegator) selectMembers(now time.Duration) {
	d.members = slices.DeleteFunc(d.term.node.dir.zonePeers(d.term.node.cfg.Settings), func(m memberRecord) bool {
		return now < d.suspendedUntil[m.Name]
	})
}

// suspend stops delegating to a member for suspensionTime.
func (d *delegator) suspend(name cyclamendyke.MemberName) {
	now := bootTime()
	d.suspendedUntil[name] = now + suspensionTime
	d.selectMembers(now)
}

// delegate queues a command for a member, or returns false if the scheduler must execute it itself.
func (d *delegator) delegate(command dispatch.Command) bool {
	if len(d.members) == 0 || d.term.sched.TargetCount() < minDelegationTargets {
		return false
	}
	order := member.Order{}
	timeout := delegationMargin
	switch c := command.(type) {
	case dispatch.StartCommand:
		order.Target, order.Address, order.Start = c.Target.ID, c.Target.Address, &c.Order
		timeout += startTimeout
	case dispatch.RenewCommand:
		order.Target, order.Address, order.Renewal = c.Target.ID, c.Target.Address, &c.Renewal
		timeout += c.Renewal.Wait + renewMargin
	default:
		return false
	}
	d.lastOrderNumber++
	order.Number = d.lastOrderNumber
	to := d.memberFor(order.Target)
	now := bootTime()
	d.pending[order.Number] = delegatedOrder{to.Name, to.Address, command, now, now + timeout}
	if d.outbox[to.Name] == nil {
		d.outbox[to.Name] = &orderBatch{address: to.Address}
	}
	d.outbox[to.Name].orders = append(d.outbox[to.Name].orders, order)
	return true
}

// memberFor returns the member that calls a target.
func (d *delegator) memberFor(id cyclamendyke.TargetID) memberRecord {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // Write never fails.
	return d.members[hash.Sum32()%uint32(len(d.members))]
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
	delete(d.pending, outcome.Number)
	d.countOutcome(order.member, outcome.Kind)
	switch c := order.command.(type) {
	case dispatch.StartCommand:
		d.term.sched.Started(c.Target, c.Order, outcome.Kind)
	case dispatch.RenewCommand:
		if outcome.Listing == nil {
			outcome.Kind = cmp.Or(outcome.Kind, cyclamendyke.KindUnknown)
		}
		d.term.handleRenewal(c, order.sent, outcome.Listing, outcome.Kind)
	}
}

// zonePeers returns the other members of this process's zone, sorted by name.
func (d *directory) zonePeers(self cyclamendyke.FleetSettings) []memberRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []memberRecord
	for name, m := range d.members {
		if name != self.Node && m.Zone == self.Zone {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b memberRecord) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
