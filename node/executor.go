package node

import (
	"context"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// The timing of orders that are carried out for the scheduler.
const (
	startPatience  = 700 * time.Millisecond // How long a start may take,
	renewPatience  = time.Second            // and a renewal beyond what the target may wait.
	gatherOutcomes = 3 * time.Millisecond   // In which outcomes come together for one message.
	reportTimeout  = 500 * time.Millisecond
)

// carrier collects the outcomes of the orders of one epoch.
type carrier struct {
	node    *Node
	epoch   uint64
	replyTo string

	mu        sync.Mutex
	outcomes  []member.Outcome
	reporting bool
}

// Carry takes in orders to targets and has them carried out.
func (n *Node) Carry(_ context.Context, orders member.Orders) error {
	if n.ctx.Err() != nil {
		return member.NewError("carry", cyclamendyke.KindUnavailable, n.ctx.Err())
	}
	c := &carrier{node: n, epoch: orders.Epoch, replyTo: orders.ReplyTo}
	if kept := n.carrier.Load(); kept != nil && kept.epoch == c.epoch && kept.replyTo == c.replyTo {
		c = kept
	} else {
		n.carrier.Store(c)
	}
	for _, order := range orders.Orders {
		n.done.Go(func() { c.report(c.carryOut(order)) })
	}
	return nil
}

// carryOut makes the call.
func (c *carrier) carryOut(order member.Order) member.Outcome {
	target := cyclamendyke.Target{ID: order.Target, Address: order.Address}
	outcome := member.Outcome{Number: order.Number}
	targets := c.node.cfg.Targets
	switch {
	case order.Start != nil:
		ctx, cancel := context.WithTimeout(c.node.ctx, startPatience)
		defer cancel()
		_, err := targets.Start(ctx, target, *order.Start)
		outcome.Kind = cyclamendyke.KindOf(err)
		if err != nil {
			c.node.cfg.Requests.Info("start failed", "task", order.Start.Task, "target", order.Target, "run", order.Start.Run, "epoch", c.epoch, "err", err)
		}
	case order.Renewal != nil:
		ctx, cancel := context.WithTimeout(c.node.ctx, order.Renewal.Wait+renewPatience)
		defer cancel()
		listing, err := targets.Renew(ctx, target, *order.Renewal)
		outcome.Kind = cyclamendyke.KindOf(err)
		outcome.Listing = &listing
	}
	return outcome
}

// report adds an outcome to the next message, of which one is under way at a time.
func (c *carrier) report(outcome member.Outcome) {
	c.mu.Lock()
	c.outcomes = append(c.outcomes, outcome)
	begin := !c.reporting
	c.reporting = true
	c.mu.Unlock()
	for begin {
		wait(c.node.ctx, gatherOutcomes)
		outcomes := c.take()
		if len(outcomes) == 0 {
			return
		}
		c.send(outcomes)
	}
}

// take returns what is to be reported; if that is nothing, the next outcome begins a message of its own.
func (c *carrier) take() []member.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcomes := c.outcomes
	c.outcomes = nil
	c.reporting = len(outcomes) > 0
	return outcomes
}

func (c *carrier) send(outcomes []member.Outcome) {
	ctx, cancel := context.WithTimeout(c.node.ctx, reportTimeout)
	defer cancel()
	if err := c.node.peers.Carried(ctx, c.replyTo, member.Outcomes{Epoch: c.epoch, Outcomes: outcomes}); err != nil {
		c.node.cfg.Requests.Warn("outcomes not reported", "to", c.replyTo, "count", len(outcomes), "epoch", c.epoch, "err", err)
	}
}

// Carried takes in the outcomes of orders that this process gave as the scheduler.
func (n *Node) Carried(_ context.Context, outcomes member.Outcomes) error {
	t := n.term.Load()
	if t == nil || t.epoch != outcomes.Epoch {
		return member.NewError("carried", member.KindNotScheduler, nil)
	}
	t.post(func() {
		for _, outcome := range outcomes.Outcomes {
			t.relay.finish(outcome)
		}
	})
	return nil
}
