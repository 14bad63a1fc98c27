package daemon

import (
	"context"
	"time"

	"cyclamendyke"
)

// run carries out what the scheduler asks for, in its order.
func (c *controller) run(commands []cyclamendyke.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case cyclamendyke.StartCommand:
			c.sendOrder(command.Worker, command)
		case cyclamendyke.StopCommand:
			c.sendOrder(command.Worker, command)
		case cyclamendyke.ClaimCommand:
			c.openLink(command.VM)
		case cyclamendyke.EndRenewalsCommand:
			c.closeLink(command.Worker)
		case cyclamendyke.AnswerCommand:
			c.deliver(command.Outcome)
		case cyclamendyke.PersistCommand:
			c.persist(command)
		case cyclamendyke.EventCommand:
			c.cfg.Event(command.Event)
		case cyclamendyke.AccountCommand:
			c.cfg.Recorder.account(command.Record)
		}
	}
}

// sendOrder queues a start or stop for its worker; a full queue counts as not sent.
func (c *controller) sendOrder(worker cyclamendyke.WorkerName, order cyclamendyke.Command) {
	link, ok := c.links[worker]
	if ok {
		select {
		case link.orders <- order:
			c.cfg.Metrics.orders.Inc()
			return
		default:
		}
	}
	notSent := newError("order", cyclamendyke.KindUnavailable, nil)
	switch order := order.(type) {
	case cyclamendyke.StartCommand:
		c.run(c.scheduler.StartAnswered(time.Now(), worker, order.Start.Task, notSent))
	case cyclamendyke.StopCommand:
		c.run(c.scheduler.StopAnswered(time.Now(), worker, order.Task, order.Mode, notSent))
	}
}

// openLink starts to keep a worker's session.
func (c *controller) openLink(vm cyclamendyke.VM) {
	if link, ok := c.links[vm.Name]; ok {
		link.relist.Store(true)
		link.kicked()
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	link := &workerLink{
		vm:      vm,
		workers: c.cfg.Workers,
		events:  c,
		order:   &c.order,
		starts:  &c.starts,
		kick:    make(chan struct{}, 1),
		orders:  make(chan cyclamendyke.Command, orderQueueLength),
		cancel:  cancel,
	}
	c.links[vm.Name] = link
	c.done.Go(func() { link.keepSession(ctx) })
	c.done.Go(func() { link.carryOutOrders(ctx) })
}

// closeLink ends the renewals of a worker that has left the list.
func (c *controller) closeLink(worker cyclamendyke.WorkerName) {
	if link, ok := c.links[worker]; ok {
		link.cancel()
		delete(c.links, worker)
	}
}

// deliver hands an outcome to everyone who waits for it.
func (c *controller) deliver(outcome cyclamendyke.Outcome) {
	for _, waiter := range c.waiters[outcome.Request] {
		waiter <- submitAnswer{outcome: outcome}
	}
	delete(c.waiters, outcome.Request)
	if !outcome.Verdict.IsFinal() {
		return
	}
	if status, ok := c.scheduler.Status(outcome.Request); ok && status.Job.IdempotencyKey != "" {
		c.cfg.Recorder.finish(status.Job, outcome)
	}
}

// persist keeps a record and reports back if the scheduler waits for it.
func (c *controller) persist(command cyclamendyke.PersistCommand) {
	epoch := c.epoch
	request := command.Record.Job.Request
	if !command.AwaitResult {
		c.cfg.Recorder.keep(command.Record, nil)
		return
	}
	c.cfg.Recorder.keep(command.Record, func(result cyclamendyke.PersistResult) {
		c.postSoon(func(now time.Time) {
			if c.scheduler != nil && c.epoch == epoch {
				c.run(c.scheduler.Persisted(now, request, result))
			}
		})
	})
}

func (c *controller) openLinkIfNew(vm cyclamendyke.VM) {
	if _, ok := c.links[vm.Name]; !ok {
		c.openLink(vm)
	}
}
