package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/peer"
)

// tick advances the scheduler after each batch, and the role when its interval has passed or its
// state has changed.
func (c *controller) tick(now time.Time) {
	if c.roleTickDue || now.Sub(c.lastRoleTick) >= cyclamendyke.TickInterval {
		c.tickRole(now)
	}
	if c.scheduler != nil {
		c.runCommands(c.scheduler.Tick(now))
	}
}

// tickRole advances the role and passes its authority to the worker links and the scheduler.
// Between two calls the scheduler's copy of the authority can only end too early, never too late.
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

// applyRoleUpdate executes the role's commands after an event that may have ended its authority,
// and makes the next tick include the role.
func (c *controller) applyRoleUpdate(commands []cyclamendyke.RoleCommand) {
	c.roleTickDue = true
	c.runRoleCommands(commands)
}

// publishSessionRequest wakes the worker links if the session request has changed.
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

// runRoleCommands executes the role's commands in order.
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

// allowClaims lets the links of the workers send one claim each before this process has authority.
func (c *controller) allowClaims(workers []cyclamendyke.WorkerName) {
	for _, worker := range workers {
		if link, ok := c.links[worker]; ok {
			link.allowClaim()
		}
	}
}

// elect starts an election in the store, unless the watch shows that another process holds the
// role.
func (c *controller) elect(command cyclamendyke.ElectCommand) {
	if holder, held := c.cfg.RoleHolder(); held && holder.Member.Name != c.cfg.Member.Name {
		now := time.Now()
		c.applyRoleUpdate(c.cfg.Role.StoreElected(now, now, cyclamendyke.ElectionLost, holder))
		return
	}
	c.callElection(func() (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler) {
		return c.cfg.Election.elect(c.ctx, command)
	})
}

// renewElection extends the role's lease in the store.
func (c *controller) renewElection(command cyclamendyke.RenewElectionCommand) {
	c.callElection(func() (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler) {
		return c.cfg.Election.renew(c.ctx, command)
	})
}

// callElection makes a call in the background and passes its result to the role.
func (c *controller) callElection(call func() (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler)) {
	c.wg.Go(func() {
		sent := time.Now()
		result, found := call()
		c.post(func(now time.Time) {
			c.applyRoleUpdate(c.cfg.Role.StoreElected(now, sent, result, found))
		})
	})
}

// release releases the worker sessions and then the role's lease in the store.
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
				ctx, cancel := context.WithTimeout(c.ctx, orderCallTimeout)
				defer cancel()
				_ = c.cfg.Workers.Release(ctx, name, command.Epoch)
			})
		}
		released.Wait()
		c.cfg.Election.release(command.Epoch)
	})
}

// roleChanged begins a term, or handles the loss or return of the current term's authority.
//
// The scheduler keeps its state while its authority has lapsed, because the same epoch can regain a
// majority only if there is no later epoch.
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

// beginTerm starts an empty scheduler, which learns the running tasks from the workers and the
// waiting jobs from the journal.
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
		link.relist.Store(true) // The scheduler did not exist when the candidate received the earlier listings.
		link.wake()
	}
}

// endTerm drops the scheduler and fails waiting submissions, which their forwarders then send to the
// zone's next scheduler.
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

// resign gives up the role before a planned stop.
func (c *controller) resign() {
	c.postAndWait(func(now time.Time) { c.applyRoleUpdate(c.cfg.Role.Resign(now)) })
}

// currentEpoch returns the epoch of this process's term, and false if this process is not the
// scheduler.
func (c *controller) currentEpoch() (cyclamendyke.Epoch, bool) {
	epoch := c.schedulingEpoch.Load()
	if epoch == nil {
		return cyclamendyke.Epoch{}, false
	}
	return *epoch, true
}
