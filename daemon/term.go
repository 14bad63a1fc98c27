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
	if c.roleTickDue || now.Sub(c.lastRoleTick) >= cyclamendyke.TickInterval {
		c.tickRole(now)
	}
	if c.scheduler != nil {
		c.runCommands(c.scheduler.Tick(now))
	}
}

// tickRole drives the role and tells the links and the scheduler what it allows; between two calls the authority known can only be too short.
func (c *controller) tickRole(now time.Time) {
	c.lastRoleTick = now
	c.roleTickDue = false
	c.runRoleCommands(c.cfg.Role.Tick(now))
	c.publishSessionRequest(now)
	if c.scheduler == nil {
		return
	}
	if request := c.sessionRequest.Load(); !request.active || request.claim.Epoch != c.epoch {
		c.endTerm()
		return
	}
	c.runCommands(c.scheduler.SetAuthority(now, c.cfg.Role.Authority(now)))
}

// applyRoleUpdate carries out what the role asks for after an event that may have cost it the authority.
func (c *controller) applyRoleUpdate(commands []cyclamendyke.RoleCommand) {
	c.roleTickDue = true
	c.runRoleCommands(commands)
}

// publishSessionRequest tells the worker links what to send if that has changed.
func (c *controller) publishSessionRequest(now time.Time) {
	claim, active := c.cfg.Role.Claim(now)
	request := sessionRequest{claim: claim, active: active, mayRenew: c.cfg.Role.Authority(now).Valid(now)}
	if *c.sessionRequest.Load() == request {
		return
	}
	c.sessionRequest.Store(&request)
	for _, link := range c.links {
		link.wake()
	}
}

// runRoleCommands carries out what the role asks for.
func (c *controller) runRoleCommands(commands []cyclamendyke.RoleCommand) {
	for _, command := range commands {
		switch command := command.(type) {
		case cyclamendyke.ElectCommand:
			c.elect(command)
		case cyclamendyke.RenewElectionCommand:
			c.renewElection(command)
		case cyclamendyke.EstablishCommand:
			c.wg.Go(func() { c.cfg.Election.establish(c.ctx, command.Epoch) })
		case cyclamendyke.ClaimAllCommand:
			c.publishSessionRequest(time.Now())
			c.allowClaims(command.Workers)
		case cyclamendyke.ReleaseCommand:
			c.release(command)
		case cyclamendyke.RoleChangedCommand:
			c.roleChanged(command)
		}
	}
}

// allowClaims lets the links of the workers claim, though there is no authority yet.
func (c *controller) allowClaims(workers []cyclamendyke.WorkerName) {
	for _, worker := range workers {
		if link, ok := c.links[worker]; ok {
			link.allowClaim()
		}
	}
}

// elect asks the store for the role, unless the watch shows that another process holds it.
func (c *controller) elect(command cyclamendyke.ElectCommand) {
	if holder, held := c.cfg.RoleHolder(); held && holder.Member.Name != c.cfg.Member.Name {
		now := time.Now()
		c.applyRoleUpdate(c.cfg.Role.StoreElected(now, now, cyclamendyke.ElectionLost, holder))
		return
	}
	c.wg.Go(func() {
		sent := time.Now()
		result, found := c.cfg.Election.elect(c.ctx, command)
		c.post(func(now time.Time) {
			c.applyRoleUpdate(c.cfg.Role.StoreElected(now, sent, result, found))
		})
	})
}

// renewElection keeps the store's lease alive.
func (c *controller) renewElection(command cyclamendyke.RenewElectionCommand) {
	c.wg.Go(func() {
		sent := time.Now()
		result, found := c.cfg.Election.renew(c.ctx, command)
		c.post(func(now time.Time) {
			c.applyRoleUpdate(c.cfg.Role.StoreElected(now, sent, result, found))
		})
	})
}

// release gives up the sessions and the store's lease.
func (c *controller) release(command cyclamendyke.ReleaseCommand) {
	names := make([]cyclamendyke.WorkerName, 0, len(c.links))
	for name := range c.links {
		names = append(names, name)
	}
	c.sessionRequest.Store(&sessionRequest{})
	for _, link := range c.links {
		link.wake()
	}
	c.wg.Go(func() {
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
		c.schedulingEpoch.Store(&authority.Epoch)
		c.addRoleEvent(cyclamendyke.EventRoleTaken, authority.Epoch, command.Detail)
	case c.schedulingEpoch.Load() != nil:
		c.schedulingEpoch.Store(nil)
		c.addRoleEvent(cyclamendyke.EventRoleLost, c.epoch, command.Detail)
	}
	c.cfg.OnRoleChange(authority)
}

func (c *controller) addRoleEvent(kind cyclamendyke.EventKind, epoch cyclamendyke.Epoch, detail string) {
	c.cfg.OnEvent(cyclamendyke.TimelineEvent{Kind: kind, Epoch: epoch, Detail: detail})
}

// beginTerm starts an empty scheduler, which learns what runs from the workers and what waits from the journal.
func (c *controller) beginTerm(now time.Time, authority cyclamendyke.Authority) {
	c.endTerm()
	c.epoch = authority.Epoch
	c.scheduler = c.cfg.NewScheduler()
	if c.tables != nil {
		c.runCommands(c.scheduler.SetTables(now, c.tables))
	}
	c.runCommands(c.scheduler.SetAuthority(now, authority))
	c.runCommands(c.scheduler.SetVMs(now, c.vms))
	epoch := c.epoch
	c.cfg.Recorder.open(epoch, func(records []cyclamendyke.JournalRecord) {
		c.post(func(now time.Time) {
			if c.scheduler != nil && c.epoch == epoch {
				c.journalLoaded = true
				c.runCommands(c.scheduler.Recover(now, records))
			}
		})
	})
	for _, link := range c.links {
		link.relist.Store(true) // Listings given to the candidate came before there was a scheduler.
		link.wake()
	}
}

// endTerm drops the scheduler; submissions that wait are to be sent to its successor.
func (c *controller) endTerm() {
	c.scheduler = nil
	c.journalLoaded = false
	c.schedulingEpoch.Store(nil)
	c.epoch = cyclamendyke.Epoch{}
	roleMovedErr := peer.NewError("submit", cyclamendyke.KindUnknown, errors.New("the scheduler role has moved"))
	for request, waiting := range c.waiters {
		for _, waiter := range waiting {
			waiter <- submitAnswer{err: roleMovedErr}
		}
		delete(c.waiters, request)
	}
}

// resign gives up the role for a planned stop.
func (c *controller) resign() {
	c.postAndWait(func(now time.Time) { c.applyRoleUpdate(c.cfg.Role.Resign(now)) })
}

// currentEpoch returns the epoch of the term that this process holds.
func (c *controller) currentEpoch() (cyclamendyke.Epoch, bool) {
	epoch := c.schedulingEpoch.Load()
	if epoch == nil {
		return cyclamendyke.Epoch{}, false
	}
	return *epoch, true
}
