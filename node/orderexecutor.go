package node

import (
	"context"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// The timing of executing orders for the scheduler.
const (
	startTimeout  = 700 * time.Millisecond
	renewMargin   = time.Second          // Added to Renewal.Wait, for which the target may delay its answer.
	reportDelay   = 3 * time.Millisecond // Outcomes are collected this long for one message.
	reportTimeout = 500 * time.Millisecond
)

// orderExecutor executes the orders of one epoch and reports their outcomes to its scheduler.
type orderExecutor struct {
	node    *Node
	epoch   uint64
	replyTo string // Address of the scheduler that receives the outcomes.

	mu        sync.Mutex
	outcomes  []member.Outcome
	reporting bool // A goroutine is sending reports.
}

// ExecuteOrders accepts orders from the scheduler and executes them in the background.
func (n *Node) ExecuteOrders(_ context.Context, orders member.Orders) error {
	if n.ctx.Err() != nil {
		return member.NewError("carry", cyclamendyke.KindUnavailable, n.ctx.Err())
	}
	e := &orderExecutor{node: n, epoch: orders.Epoch, replyTo: orders.ReplyTo}
	if current := n.executor.Load(); current != nil && current.epoch == e.epoch && current.replyTo == e.replyTo {
		e = current
	} else {
		n.executor.Store(e)
	}
	arrivedAt := bootTime()
	for _, order := range orders.Orders {
		n.wg.Go(func() { e.report(e.execute(order, arrivedAt)) })
	}
	return nil
}

// execute sends one order, which arrived at a given time, to its target.
func (e *orderExecutor) execute(order member.Order, arrivedAt time.Duration) member.Outcome {
	target := cyclamendyke.Target{ID: order.Target, Address: order.Address}
	outcome := member.Outcome{Number: order.Number}
	targets := e.node.cfg.Targets
	switch {
	case order.Start != nil:
		if outcome.Kind = e.node.startObstacle(order.Zone, arrivedAt, order.LeaseLeft); outcome.Kind != "" {
			return outcome
		}
		ctx, cancel := context.WithTimeout(e.node.ctx, startTimeout)
		defer cancel()
		clock, err := targets.Start(ctx, target, *order.Start)
		outcome.Clock = clock
		outcome.Kind = cyclamendyke.KindOf(err)
		if err != nil {
			e.node.cfg.RequestLog.Info("start failed", "task", order.Start.Task, "target", order.Target, "run", order.Start.Run, "epoch", e.epoch, "err", err)
		}
	case order.Stop != nil:
		ctx, cancel := context.WithTimeout(e.node.ctx, startTimeout)
		defer cancel()
		outcome.Kind = cyclamendyke.KindOf(targets.Stop(ctx, target, order.Stop.Task, order.Stop.Run, order.Stop.Fence))
	case order.Renewal != nil:
		ctx, cancel := context.WithTimeout(e.node.ctx, order.Renewal.Wait+renewMargin)
		defer cancel()
		listing, err := targets.Renew(ctx, target, *order.Renewal)
		outcome.Kind = cyclamendyke.KindOf(err)
		outcome.Listing = &listing
	}
	return outcome
}

// report queues an outcome and, if no other goroutine is sending reports, sends them until none is left.
func (e *orderExecutor) report(outcome member.Outcome) {
	e.mu.Lock()
	e.outcomes = append(e.outcomes, outcome)
	startSending := !e.reporting
	e.reporting = true
	e.mu.Unlock()
	for startSending {
		sleep(e.node.ctx, reportDelay)
		outcomes := e.takeOutcomes()
		if len(outcomes) == 0 {
			return
		}
		e.send(outcomes)
	}
}

// takeOutcomes removes and returns the queued outcomes. If there are none, the sender stops, and the
// next outcome starts a new one.
func (e *orderExecutor) takeOutcomes() []member.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	outcomes := e.outcomes
	e.outcomes = nil
	e.reporting = len(outcomes) > 0
	return outcomes
}

func (e *orderExecutor) send(outcomes []member.Outcome) {
	ctx, cancel := context.WithTimeout(e.node.ctx, reportTimeout)
	defer cancel()
	if err := e.node.peers.ReportOutcomes(ctx, e.replyTo, member.Outcomes{Epoch: e.epoch, Outcomes: outcomes}); err != nil {
		e.node.cfg.RequestLog.Warn("cannot report order outcomes", "to", e.replyTo, "count", len(outcomes), "epoch", e.epoch, "err", err)
	}
}

// ReportOutcomes accepts the outcomes of orders that this process delegated as the scheduler.
func (n *Node) ReportOutcomes(_ context.Context, outcomes member.Outcomes) error {
	t := n.term.Load()
	if t == nil || t.epoch != outcomes.Epoch {
		return member.NewError("carried", member.KindNotScheduler, nil)
	}
	var late, regular []member.Outcome
	for _, outcome := range outcomes.Outcomes {
		if outcome.Number&lateOrder != 0 {
			late = append(late, outcome)
		} else {
			regular = append(regular, outcome)
		}
	}
	if keeper := t.keeper.Load(); keeper != nil {
		for _, outcome := range late {
			keeper.outcome(outcome)
		}
	}
	t.post(func() {
		for _, outcome := range regular {
			t.delegator.complete(outcome)
		}
	})
	return nil
}
