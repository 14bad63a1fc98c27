package daemon

import (
	"context"
	"time"

	"cyclamendyke"
)

// runCommands executes the scheduler's commands in order.
func (c *controller) runCommands(commands []cyclamendyke.Command) {
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
			c.deliverOutcome(command.Outcome)
		case cyclamendyke.PersistCommand:
			c.persist(command)
		case cyclamendyke.EventCommand:
			c.cfg.OnEvent(command.Event)
		case cyclamendyke.AccountCommand:
			c.cfg.Recorder.addAccountRecord(command.Record)
		}
	}
}

// sendOrder queues a start or stop for its worker. Without a link or with a full queue, it reports
// the order to the scheduler as not sent.
func (c *controller) sendOrder(worker cyclamendyke.WorkerName, order cyclamendyke.Command) {
	link, ok := c.links[worker]
	if ok {
		select {
		case link.orders <- order:
			c.cfg.Metrics.workerOrders.Inc()
			return
		default:
		}
	}
	notSent := newError("order", cyclamendyke.KindUnavailable, nil)
	switch order := order.(type) {
	case cyclamendyke.StartCommand:
		c.runCommands(c.scheduler.StartAnswered(time.Now(), worker, order.Start.Task, notSent))
	case cyclamendyke.StopCommand:
		c.runCommands(c.scheduler.StopAnswered(time.Now(), worker, order.Task, order.Mode, notSent))
	}
}

// openLink starts to maintain a session with a worker, or requests a full listing if the link
// exists.
func (c *controller) openLink(vm cyclamendyke.VM) {
	if link, ok := c.links[vm.Name]; ok {
		link.relist.Store(true)
		link.wake()
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	link := &workerLink{
		vm:             vm,
		workers:        c.cfg.Workers,
		events:         c,
		sessionRequest: &c.sessionRequest,
		startCount:     &c.startCount,
		wakeup:         make(chan struct{}, 1),
		orders:         make(chan cyclamendyke.Command, orderQueueLength),
		cancel:         cancel,
	}
	c.links[vm.Name] = link
	c.wg.Go(func() { link.keepSession(ctx) })
	c.wg.Go(func() { link.runOrders(ctx) })
}

// closeLink closes the link to a worker that is no longer listed.
func (c *controller) closeLink(worker cyclamendyke.WorkerName) {
	if link, ok := c.links[worker]; ok {
		link.cancel()
		delete(c.links, worker)
	}
}

// deliverOutcome sends an outcome to every waiting submission of the request, and stores a final
// one under the job's idempotency key.
func (c *controller) deliverOutcome(outcome cyclamendyke.Outcome) {
	for _, waiter := range c.waiters[outcome.Request] {
		waiter <- submitAnswer{outcome: outcome}
	}
	delete(c.waiters, outcome.Request)
	if !outcome.Verdict.IsFinal() {
		return
	}
	if status, ok := c.scheduler.Status(outcome.Request); ok && status.Job.IdempotencyKey != "" {
		c.cfg.Recorder.completeKey(status.Job, outcome)
	}
}

// persist writes a journal record and reports the result to the scheduler if it waits for it.
func (c *controller) persist(command cyclamendyke.PersistCommand) {
	epoch := c.epoch
	request := command.Record.Job.Request
	if !command.AwaitResult {
		c.cfg.Recorder.persist(command.Record, nil)
		return
	}
	c.cfg.Recorder.persist(command.Record, func(result cyclamendyke.PersistResult) {
		c.postAsync(func(now time.Time) {
			if c.scheduler != nil && c.epoch == epoch {
				c.runCommands(c.scheduler.Persisted(now, request, result))
			}
		})
	})
}

func (c *controller) openLinkIfNew(vm cyclamendyke.VM) {
	if _, ok := c.links[vm.Name]; !ok {
		c.openLink(vm)
	}
}
