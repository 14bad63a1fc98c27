package node

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// updateEvacuated passes the evacuated zones to the scheduler, which starts nothing at all while they are not
// known well enough.
func (t *term) updateEvacuated() {
	t.sched.HoldStarts(t.evacuationsOutdated())
	zones := t.node.evacuations.all()
	if !t.sched.SetEvacuated(zones...) {
		return
	}
	targets := t.sched.TargetsByZone()
	for _, zone := range zones {
		if targets[zone] == 0 {
			t.node.cfg.Log.Warn("evacuated zone has no targets", "zone", zone, "epoch", t.epoch)
		}
	}
}

// evacuationsOutdated reports whether a request to evacuate a zone could have been in the store for longer
// than allowed. While the lease in the store cannot be renewed either, the term's grace period decides: the
// store takes no requests of operators then, or another scheduler is elected.
func (t *term) evacuationsOutdated() bool {
	limit := t.node.cfg.Settings.Bounds.EvacuationDelay
	if limit == 0 || !t.leaseValid() {
		return false
	}
	return bootTime()-t.node.evacuationsReadAt() > limit-startTimeout
}

// arrivalMargin is how long a lease must last beyond the time at which an order with it is sent.
const arrivalMargin = 200 * time.Millisecond

// startObstacle returns why a start that was decided, or arrived here, at a given time must not be sent any
// more, or an empty kind. It is called right before sending, since the process may have been suspended and the
// zone may have been evacuated in between; a process that has just started may not know of it yet. The lease in the order lasted for
// leaseLeft at that time, if that is not zero.
func (n *Node) startObstacle(zone cyclamendyke.ZoneName, since, leaseLeft time.Duration) cyclamendyke.Kind {
	longest := startTimeout
	if leaseLeft != 0 {
		longest = min(longest, leaseLeft-arrivalMargin)
	}
	kind, reason := cyclamendyke.Kind(""), ""
	switch {
	case n.evacuations.has(zone):
		kind, reason = cyclamendyke.KindEvacuated, "evacuated"
	case n.evacuationsReadAt() == 0:
		kind, reason = cyclamendyke.KindUnavailable, "unknown"
	case bootTime()-since > longest:
		kind, reason = cyclamendyke.KindUnavailable, "late"
	default:
		return ""
	}
	n.cfg.Metrics.StartsHeldBack.WithLabelValues(reason).Inc()
	return kind
}

// holdBack completes those orders of a batch that must not be sent any more, and removes them from it.
func (t *term) holdBack(batch *orderBatch) {
	var remaining []member.Order
	var held []member.Outcome
	for _, order := range batch.orders {
		if order.Start != nil {
			if kind := t.node.startObstacle(order.Zone, batch.decidedAt, order.LeaseLeft); kind != "" {
				held = append(held, member.Outcome{Number: order.Number, Kind: kind})
				continue
			}
			order.LeaseLeft = max(1, order.LeaseLeft-(bootTime()-batch.decidedAt))
		}
		remaining = append(remaining, order)
	}
	batch.orders = remaining
	if len(held) == 0 {
		return
	}
	t.post(func() {
		for _, outcome := range held {
			t.delegator.withdraw(outcome)
		}
	})
}
