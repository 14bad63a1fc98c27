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

// The bounds of handing orders to other members.
const (
	relayTargets = 100                    // On smaller fleets the scheduler calls all targets itself.
	relaySlack   = 300 * time.Millisecond // For the way to the member and back.
	carryTimeout = 300 * time.Millisecond
	relayRest    = 4 * time.Second // How long a member is left alone that could not be reached or reaches too few targets.
	tallyWindow  = time.Second     // Over which a member's outcomes are counted.
	tallyLeast   = 3               // Failures in it that count, if they are at least half of all outcomes.
)

// relay has the members of the scheduler's zone call the targets of a large fleet in its place.
//
// It answers fleets whose targets take more calls than one VM has processor time
// for. Decisions stay with the scheduler; members make the calls and report the
// outcomes, several in one message. An order whose member is lost counts as one
// without an answer. It belongs to the term's control goroutine.
type relay struct {
	term    *term
	members []memberRecord
	next    uint64
	pending map[uint64]relayed
	outbox  map[cyclamendyke.MemberName]*orderBatch
	resting map[cyclamendyke.MemberName]time.Duration // Until when each is left alone.
	tallies map[cyclamendyke.MemberName]*tally
	tallied time.Duration // When the tallies began.
	checked time.Duration
}

// tally counts a member's outcomes: one whose own connections are cut fails most of its orders, while a cut target fails a little with each member.
type tally struct {
	failed, all int
}

// orderBatch is what one member is to do after a pass.
type orderBatch struct {
	address string // The member's.
	orders  []member.Order
}

// relayed is an order that a member has.
type relayed struct {
	member  cyclamendyke.MemberName
	address string // The member's.
	command dispatch.Command
	sent    time.Duration
	until   time.Duration // When it counts as one without an answer.
}

func newRelay(t *term) *relay {
	return &relay{
		term: t, pending: map[uint64]relayed{}, outbox: map[cyclamendyke.MemberName]*orderBatch{},
		resting: map[cyclamendyke.MemberName]time.Duration{}, tallies: map[cyclamendyke.MemberName]*tally{},
	}
}

// refresh takes in which members can be called, and gives up orders that were not answered in time or whose member is lost.
func (r *relay) refresh(now time.Duration) {
	if now-r.checked < tickInterval {
		return
	}
	r.checked = now
	r.judge(now)
	r.choose(now)
	for number, order := range r.pending {
		lost := now >= order.sent+carryTimeout && !r.term.node.peers.Carries(order.address)
		if lost || now >= order.until {
			r.finish(member.Outcome{Number: number, Kind: cyclamendyke.KindUnknown})
		}
	}
}

// judge leaves members alone that failed most of what they were given.
func (r *relay) judge(now time.Duration) {
	if now-r.tallied < tallyWindow {
		return
	}
	for name, t := range r.tallies {
		if t.failed >= tallyLeast && 2*t.failed >= t.all {
			r.term.node.cfg.Log.Warn("a member reaches too few targets", "member", name, "failed", t.failed, "of", t.all, "rest", relayRest)
			r.resting[name] = now + relayRest
		}
	}
	clear(r.tallies)
	r.tallied = now
}

// count adds an outcome to its member's tally.
func (r *relay) count(name cyclamendyke.MemberName, kind cyclamendyke.Kind) {
	t := r.tallies[name]
	if t == nil {
		t = &tally{}
		r.tallies[name] = t
	}
	t.all++
	r.term.node.cfg.Metrics.Handed.WithLabelValues(cmp.Or(string(kind), "answered")).Inc()
	if kind == cyclamendyke.KindUnknown || kind == cyclamendyke.KindUnavailable {
		t.failed++
	}
}

// choose takes the members of the zone that are not left alone.
func (r *relay) choose(now time.Duration) {
	r.members = slices.DeleteFunc(r.term.node.dir.neighbours(r.term.node.cfg.Settings), func(m memberRecord) bool {
		return now < r.resting[m.Name]
	})
}

// rest leaves a member alone for a while.
func (r *relay) rest(name cyclamendyke.MemberName) {
	now := bootTime()
	r.resting[name] = now + relayRest
	r.choose(now)
}

// take hands a command to a member, or returns false if the scheduler has to carry it out itself.
func (r *relay) take(command dispatch.Command) bool {
	if len(r.members) == 0 || r.term.sched.Targets() < relayTargets {
		return false
	}
	order := member.Order{}
	patience := relaySlack
	switch c := command.(type) {
	case dispatch.StartCommand:
		order.Target, order.Address, order.Start = c.Target.ID, c.Target.Address, &c.Order
		patience += startPatience
	case dispatch.RenewCommand:
		order.Target, order.Address, order.Renewal = c.Target.ID, c.Target.Address, &c.Renewal
		patience += c.Renewal.Wait + renewPatience
	default:
		return false
	}
	r.next++
	order.Number = r.next
	to := r.member(order.Target)
	now := bootTime()
	r.pending[order.Number] = relayed{to.Name, to.Address, command, now, now + patience}
	if r.outbox[to.Name] == nil {
		r.outbox[to.Name] = &orderBatch{address: to.Address}
	}
	r.outbox[to.Name].orders = append(r.outbox[to.Name].orders, order)
	return true
}

// member returns the member that calls a target.
func (r *relay) member(id cyclamendyke.TargetID) memberRecord {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // It never fails.
	return r.members[hash.Sum32()%uint32(len(r.members))]
}

// flush sends what the members are to do.
func (r *relay) flush() {
	for name, batch := range r.outbox {
		delete(r.outbox, name)
		t := r.term
		t.work.Go(func() { t.carry(name, batch) })
	}
}

// carry sends orders to a member; those that it certainly did not get are taken back.
func (t *term) carry(name cyclamendyke.MemberName, batch *orderBatch) {
	kind := cyclamendyke.KindUnavailable
	if t.authorized() {
		ctx, cancel := context.WithTimeout(t.ctx, carryTimeout)
		defer cancel()
		err := t.node.peers.Carry(ctx, batch.address, member.Orders{Epoch: t.epoch, ReplyTo: t.node.cfg.Address, Orders: batch.orders})
		if err == nil {
			return
		}
		t.node.cfg.Requests.Warn("orders not handed over", "member", name, "count", len(batch.orders), "err", err)
		if !errors.Is(err, cyclamendyke.KindUnavailable) {
			kind = cyclamendyke.KindUnknown
		}
	}
	t.post(func() {
		t.relay.rest(name)
		for _, order := range batch.orders {
			t.relay.finish(member.Outcome{Number: order.Number, Kind: kind})
		}
	})
}

// finish takes in an outcome, unless it came too late.
func (r *relay) finish(outcome member.Outcome) {
	order, ok := r.pending[outcome.Number]
	if !ok {
		return
	}
	delete(r.pending, outcome.Number)
	r.count(order.member, outcome.Kind)
	switch c := order.command.(type) {
	case dispatch.StartCommand:
		r.term.sched.Started(c.Target, c.Order, outcome.Kind)
	case dispatch.RenewCommand:
		if outcome.Listing == nil {
			outcome.Kind = cmp.Or(outcome.Kind, cyclamendyke.KindUnknown)
		}
		r.term.renewed(c, order.sent, outcome.Listing, outcome.Kind)
	}
}

// neighbours returns the other members of a zone, in order.
func (d *directory) neighbours(self cyclamendyke.FleetSettings) []memberRecord {
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
