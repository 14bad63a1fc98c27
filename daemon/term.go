package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/peer"
)

// tick drives the scheduler after each batch, and the role when its time has come or its state has changed.
func (c *controller) tick(now time.Time) {
	if c.roleMoved || now.Sub(c.roleTicked) >= cyclamendyke.TickInterval {
		c.tickRole(now)
	}
	if c.scheduler != nil {
		c.run(c.scheduler.Tick(now))
	}
}

// tickRole drives the role and tells the links and the scheduler what it allows; between two calls the authority known can only be too short.
func (c *controller) tickRole(now time.Time) {
	c.roleTicked = now
	c.roleMoved = false
	c.runRole(c.cfg.Role.Tick(now))
	c.publishOrder(now)
	if c.scheduler == nil {
		return
	}
	if order := c.order.Load(); !order.send || order.claim.Epoch != c.epoch {
		c.endTerm()
		return
	}
	c.run(c.scheduler.SetAuthority(now, c.cfg.Role.Authority(now)))
}

// withRole carries out what the role asks for after an event that may have cost it the authority.
func (c *controller) withRole(commands []cyclamendyke.RoleCommand) {
	c.roleMoved = true
	c.runRole(commands)
}

// publishOrder tells the worker links what to send if that has changed.
func (c *controller) publishOrder(now time.Time) {
	claim, send := c.cfg.Role.Claim(now)
	order := sessionOrder{claim: claim, send: send, renew: c.cfg.Role.Authority(now).Valid(now)}
	if *c.order.Load() == order {
		return
	}
	c.order.Store(&order)
	for _, link := range c.links {
		link.kicked()
	}
}

// runRole carries out what the role asks for.
func (c *controller) runRole(commands []cyclamendyke.RoleCommand) {
	for _, command := range commands {
		switch command := command.(type) {
		case cyclamendyke.ElectCommand:
			c.elect(command)
		case cyclamendyke.RenewElectionCommand:
			c.renewElection(command)
		case cyclamendyke.EstablishCommand:
			c.done.Go(func() { c.cfg.Election.establish(c.ctx, command.Epoch) })
		case cyclamendyke.ClaimAllCommand:
			c.publishOrder(time.Now())
			c.invite(command.Workers)
		case cyclamendyke.ReleaseCommand:
			c.release(command)
		case cyclamendyke.RoleChangedCommand:
			c.roleChanged(command)
		}
	}
}

// invite lets the links of the workers claim, though there is no authority yet.
func (c *controller) invite(workers []cyclamendyke.WorkerName) {
	for _, worker := range workers {
		if link, ok := c.links[worker]; ok {
			link.invite()
		}
	}
}

// elect asks the store for the role, unless the watch shows that another process holds it.
func (c *controller) elect(command cyclamendyke.ElectCommand) {
	if holder, held := c.cfg.Holder(); held && holder.Member.Name != c.cfg.Member.Name {
		now := time.Now()
		c.withRole(c.cfg.Role.StoreElected(now, now, cyclamendyke.ElectionLost, holder))
		return
	}
	c.done.Go(func() {
		sent := time.Now()
		result, found := c.cfg.Election.elect(c.ctx, command)
		c.post(func(now time.Time) {
			c.withRole(c.cfg.Role.StoreElected(now, sent, result, found))
		})
	})
}

// renewElection keeps the store's lease alive.
func (c *controller) renewElection(command cyclamendyke.RenewElectionCommand) {
	c.done.Go(func() {
		sent := time.Now()
		result, found := c.cfg.Election.renew(c.ctx, command)
		c.post(func(now time.Time) {
			c.withRole(c.cfg.Role.StoreElected(now, sent, result, found))
		})
	})
}

// release gives up the sessions and the store's lease.
func (c *controller) release(command cyclamendyke.ReleaseCommand) {
	names := make([]cyclamendyke.WorkerName, 0, len(c.links))
	for name := range c.links {
		names = append(names, name)
	}
	c.order.Store(&sessionOrder{})
	for _, link := range c.links {
		link.kicked()
	}
	c.done.Go(func() {
		var released sync.WaitGroup
		for _, name := range names {
			released.Go(func() {
				ctx, cancel := context.WithTimeout(c.ctx, startCallTimeout)
				defer cancel()
				_ = c.cfg.Workers.Release(ctx, name, command.Epoch)
			})
		}
		released.Wait()
		c.cfg.Election.release(command.Epoch)
	})
}

// roleChanged begins a term, or notes that its authority has lapsed or is back.
//
// A scheduler keeps its state while its authority has lapsed: the same epoch
// can gain a majority again only if no later one has.
func (c *controller) roleChanged(command cyclamendyke.RoleChangedCommand) {
	now := time.Now()
	authority := command.Authority
	switch {
	case authority.Valid(now):
		if authority.Epoch != c.epoch {
			c.beginTerm(now, authority)
		}
		c.scheduling.Store(&authority.Epoch)
		c.roleEvent(cyclamendyke.EventRoleTaken, authority.Epoch, command.Detail)
	case c.scheduling.Load() != nil:
		c.scheduling.Store(nil)
		c.roleEvent(cyclamendyke.EventRoleLost, c.epoch, command.Detail)
	}
	c.cfg.RoleMoved(authority)
}

func (c *controller) roleEvent(kind cyclamendyke.EventKind, epoch cyclamendyke.Epoch, detail string) {
	c.cfg.Event(cyclamendyke.TimelineEvent{Kind: kind, Epoch: epoch, Detail: detail})
}

// beginTerm starts an empty scheduler, which learns what runs from the workers and what waits from the journal.
func (c *controller) beginTerm(now time.Time, authority cyclamendyke.Authority) {
	c.endTerm()
	c.epoch = authority.Epoch
	c.scheduler = c.cfg.Scheduler()
	if c.tables != nil {
		c.run(c.scheduler.SetTables(now, c.tables))
	}
	c.run(c.scheduler.SetAuthority(now, authority))
	c.run(c.scheduler.SetVMs(now, c.vms))
	epoch := c.epoch
	c.cfg.Recorder.open(epoch, func(records []cyclamendyke.JournalRecord) {
		c.post(func(now time.Time) {
			if c.scheduler != nil && c.epoch == epoch {
				c.journaled = true
				c.run(c.scheduler.Recover(now, records))
			}
		})
	})
	for _, link := range c.links {
		link.relist.Store(true) // Listings given to the candidate came before there was a scheduler.
		link.kicked()
	}
}

// endTerm drops the scheduler; submissions that wait are to be sent to its successor.
func (c *controller) endTerm() {
	c.scheduler = nil
	c.journaled = false
	c.scheduling.Store(nil)
	c.epoch = cyclamendyke.Epoch{}
	moved := peer.NewError("submit", cyclamendyke.KindUnknown, errors.New("the scheduler role has moved"))
	for request, waiting := range c.waiters {
		for _, waiter := range waiting {
			waiter <- submitAnswer{err: moved}
		}
		delete(c.waiters, request)
	}
}

// resign gives up the role for a planned stop.
func (c *controller) resign() {
	c.ask(func(now time.Time) { c.withRole(c.cfg.Role.Resign(now)) })
}

// currentEpoch returns the epoch of the term that this process holds.
func (c *controller) currentEpoch() (cyclamendyke.Epoch, bool) {
	epoch := c.scheduling.Load()
	if epoch == nil {
		return cyclamendyke.Epoch{}, false
	}
	return *epoch, true
}
