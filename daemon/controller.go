package daemon

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/peer"
)

// inboxLength bounds the results and requests that wait for the control goroutine.
const inboxLength = 4096

// recorder keeps what the scheduler wants kept; its calls return at once and answer through the callbacks.
type recorder interface {
	// open takes over the zone's journal for an epoch and hands over its live records.
	open(epoch cyclamendyke.Epoch, loaded func([]cyclamendyke.JournalRecord))
	// keep writes a record and reports its fate.
	keep(record cyclamendyke.JournalRecord, kept func(cyclamendyke.PersistResult))
	// account adds a line to the account.
	account(record cyclamendyke.AccountRecord)
	// finish notes the final outcome under the job's idempotency key.
	finish(job cyclamendyke.Job, outcome cyclamendyke.Outcome)
}

// controllerConfig configures a controller.
type controllerConfig struct {
	Member    cyclamendyke.Member
	Scheduler func() cyclamendyke.Scheduler // Makes an empty scheduler for each term.
	Role      cyclamendyke.Role
	Workers   cyclamendyke.Workers
	Election  *election
	Recorder  recorder
	Event     func(cyclamendyke.TimelineEvent)
	Metrics   *metrics
	RoleMoved func(authority cyclamendyke.Authority)    // Called on the control goroutine.
	Holder    func() (cyclamendyke.ZoneScheduler, bool) // The role's holder, if the store has confirmed it lately.
}

// controller runs the zone's role and scheduler on one goroutine.
type controller struct {
	cfg    controllerConfig
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	inbox  chan func(now time.Time)

	// Owned by the control goroutine.
	scheduler  cyclamendyke.Scheduler
	epoch      cyclamendyke.Epoch
	tables     *cyclamendyke.Tables
	vms        []cyclamendyke.VM
	links      map[cyclamendyke.WorkerName]*workerLink
	waiters    map[cyclamendyke.RequestID][]chan<- submitAnswer
	roleTicked time.Time
	roleMoved  bool // The role has changed since it was last driven.
	journaled  bool // The journal's records were handed to this term's scheduler.

	order      atomic.Pointer[sessionOrder]
	starts     atomic.Uint64
	scheduling atomic.Pointer[cyclamendyke.Epoch] // Nil while another process holds the role.
}

// submitAnswer is what a waiting submission gets.
type submitAnswer struct {
	outcome cyclamendyke.Outcome
	err     error
}

func newController(cfg controllerConfig) *controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &controller{
		cfg:     cfg,
		ctx:     ctx,
		cancel:  cancel,
		inbox:   make(chan func(time.Time), inboxLength),
		links:   make(map[cyclamendyke.WorkerName]*workerLink),
		waiters: make(map[cyclamendyke.RequestID][]chan<- submitAnswer),
	}
	c.order.Store(&sessionOrder{})
	c.done.Go(func() {
		ticker := time.NewTicker(cyclamendyke.TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case next := <-c.inbox:
				next(time.Now())
				c.drainInbox()
			case <-ticker.C:
			}
			c.tick(time.Now())
		}
	})
	return c
}

// drainInbox takes in what already waits, so that one tick serves a whole batch.
func (c *controller) drainInbox() {
	for range inboxLength {
		select {
		case next := <-c.inbox:
			next(time.Now())
		default:
			return
		}
	}
}

// close ends the control goroutine and every worker link.
func (c *controller) close() {
	c.cancel()
	c.done.Wait()
}

// post hands f to the control goroutine; it reports false once the controller is closed.
func (c *controller) post(f func(now time.Time)) bool {
	select {
	case c.inbox <- f:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// postSoon is post for callers that may be the control goroutine itself and so must not wait.
func (c *controller) postSoon(f func(now time.Time)) {
	select {
	case c.inbox <- f:
	default:
		go c.post(f)
	}
}

// ask runs f on the control goroutine and waits until it has run.
func (c *controller) ask(f func(now time.Time)) bool {
	ran := make(chan struct{})
	if !c.post(func(now time.Time) { f(now); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.ctx.Done():
		return false
	}
}

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
		c.cfg.Election.release()
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
	moved := &peer.Error{Op: "submit", Kind: cyclamendyke.KindUnknown, Err: errors.New("the scheduler role has moved")}
	for request, waiting := range c.waiters {
		for _, waiter := range waiting {
			waiter <- submitAnswer{err: moved}
		}
		delete(c.waiters, request)
	}
}

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
		case cyclamendyke.ForgetCommand:
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
	notSent := &Error{Op: "order", Kind: cyclamendyke.KindUnavailable}
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

// setVMs takes in the platform's list of this zone's VMs.
func (c *controller) setVMs(vms []cyclamendyke.VM) {
	c.post(func(now time.Time) {
		c.vms = vms
		c.withRole(c.cfg.Role.SetVMs(now, vms))
		c.followVMs()
		if c.scheduler != nil {
			c.run(c.scheduler.SetVMs(now, vms))
		}
	})
}

// followVMs opens links to listed workers, which a candidate needs before it has a scheduler.
func (c *controller) followVMs() {
	listed := make(map[cyclamendyke.WorkerName]bool, len(c.vms))
	for _, vm := range c.vms {
		listed[vm.Name] = true
		c.openLinkIfNew(vm)
	}
	if c.scheduler != nil {
		return // The scheduler says when a worker that left the list may be forgotten.
	}
	for name := range c.links {
		if !listed[name] {
			c.closeLink(name)
		}
	}
}

func (c *controller) openLinkIfNew(vm cyclamendyke.VM) {
	if _, ok := c.links[vm.Name]; !ok {
		c.openLink(vm)
	}
}

// setTables puts a revision of the tables in force.
func (c *controller) setTables(tables *cyclamendyke.Tables) {
	c.post(func(now time.Time) {
		c.tables = tables
		if c.scheduler != nil {
			c.run(c.scheduler.SetTables(now, tables))
		}
	})
}

// setAllotments sets what each team may use in this zone; it reports false once the term is over.
func (c *controller) setAllotments(epoch cyclamendyke.Epoch, held map[cyclamendyke.TeamName]cyclamendyke.Resources) bool {
	current := false
	c.ask(func(now time.Time) {
		if c.scheduler == nil || c.epoch != epoch {
			return
		}
		current = true
		c.run(c.scheduler.SetAllotments(now, held))
	})
	return current
}

// setRecord takes in the holder of this zone's role as the store's watch gave it.
func (c *controller) setRecord(records []cyclamendyke.ZoneScheduler, zone cyclamendyke.ZoneName) {
	for _, record := range records {
		if record.Member.Zone == zone {
			c.post(func(now time.Time) { c.withRole(c.cfg.Role.SetRecord(now, record)) })
		}
	}
}

// summary returns the load of each pool if this process is the scheduler.
func (c *controller) summary() map[cyclamendyke.PoolName]cyclamendyke.PoolState {
	var pools map[cyclamendyke.PoolName]cyclamendyke.PoolState
	c.ask(func(time.Time) {
		if c.scheduler != nil {
			pools = c.scheduler.Summary()
		}
	})
	return pools
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
