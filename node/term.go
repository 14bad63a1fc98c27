package node

import (
	"context"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
)

// The timing of a term.
const (
	// authorityGrace is how long a scheduler that lost the store goes on with the work it had before.
	authorityGrace = 6500 * time.Millisecond
	settleMargin   = 500 * time.Millisecond
	passInterval   = 4 * time.Millisecond // Between two passes over what waits.
	tickInterval   = 100 * time.Millisecond
	inboxSize      = 4096
)

// term is the time during which this process is the scheduler.
type term struct {
	node   *Node
	epoch  uint64
	won    mandate
	ctx    context.Context
	cancel context.CancelFunc
	inbox  chan func()
	work   sync.WaitGroup
	once   sync.Once

	// The rest belongs to the control goroutine alone.
	sched      *dispatch.Scheduler
	relay      *relay
	keeping    bool // A batch of records is on its way.
	keepNext   time.Duration
	known      int // The set of targets that is kept.
	knownRev   cyclamendyke.Revision
	loaded     bool
	early      []func()
	expireNext time.Duration
	passTook   time.Duration // How long the last pass took.
}

// beginTerm starts to act as the scheduler.
func (n *Node) beginTerm(won mandate) {
	ctx, cancel := context.WithCancel(n.ctx)
	t := &term{node: n, epoch: won.epoch, won: won, ctx: ctx, cancel: cancel, inbox: make(chan func(), inboxSize)}
	bounds := n.cfg.Settings.Bounds
	grace := authorityGrace
	if won.over {
		grace = 0
	}
	t.sched = dispatch.New(dispatch.Config{
		Epoch:    won.epoch,
		Elected:  won.revision,
		Bounds:   bounds,
		Settled:  won.at + grace + dispatch.LongestLease(bounds) + settleMargin,
		Decision: t.logDecision,
	})
	t.relay = newRelay(t)
	n.term.Store(t)
	n.cfg.Metrics.Terms.Inc()
	n.done.Go(t.control)
	t.work.Go(t.load)
}

// end ends the term.
func (t *term) end(reason string) {
	t.once.Do(func() {
		t.node.term.CompareAndSwap(t, nil)
		t.node.cfg.Log.Info("term ended", "epoch", t.epoch, "reason", reason)
		t.cancel()
	})
}

// post hands a change to the control goroutine, unless the term has ended.
func (t *term) post(change func()) {
	select {
	case t.inbox <- change:
	case <-t.ctx.Done():
	}
}

// control owns the scheduler: it applies what came in and carries out what is decided.
func (t *term) control() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case change := <-t.inbox:
			t.apply(change)
			t.gather()
		case <-tick.C:
		case <-t.ctx.Done():
			return
		}
		if t.loaded {
			began := bootTime()
			t.pass()
			t.passTook = bootTime() - began
			t.node.cfg.Metrics.Passes.Observe(t.passTook.Seconds())
		}
	}
}

// apply sets the time and applies one change.
func (t *term) apply(change func()) {
	t.sched.Advance(bootTime(), time.Now())
	change()
}

// gather applies what else comes in until the next pass is due; on a slow VM passes leave as much time to the inbox as they take.
func (t *term) gather() {
	timer := time.NewTimer(max(passInterval, t.passTook))
	defer timer.Stop()
	for {
		select {
		case change := <-t.inbox:
			t.apply(change)
		case <-timer.C:
			return
		case <-t.ctx.Done():
			return
		}
	}
}

// pass has the scheduler decide, if this process still has the authority to act.
func (t *term) pass() {
	if !t.authority() || t.ctx.Err() != nil {
		return
	}
	t.sched.Advance(bootTime(), time.Now())
	t.sched.SetAdvisers(t.advisers())
	t.relay.refresh(bootTime())
	for _, command := range t.sched.Run() {
		if !t.relay.take(command) {
			t.carryOut(command)
		}
	}
	t.relay.flush()
	if t.sched.Deposed() {
		t.end("a target knows a later epoch")
		return
	}
	t.keepRecords()
	t.expire()
}

// authority reports whether this process may still act; without its lease it goes on for a while with what it had.
func (t *term) authority() bool {
	_, valid := t.node.session.current()
	now := bootTime()
	if valid == 0 {
		t.end("the session was lost")
		return false
	}
	if now < valid+authorityGrace-settleMargin {
		return true
	}
	t.end("the store has been away for too long")
	return false
}

// strict reports whether the lease in the store surely lasts.
func (t *term) strict() bool {
	_, valid := t.node.session.current()
	return bootTime() < valid
}

func (t *term) advisers() []cyclamendyke.MemberName {
	if t.node.cfg.Adviser == nil {
		return nil
	}
	return t.node.dir.names()
}

func (t *term) configure(fleet *cyclamendyke.FleetConfig) {
	t.post(func() { t.sched.Configure(fleet) })
}

// logDecision writes one line for a decision.
func (t *term) logDecision(d dispatch.Decision) {
	fields := make([]any, 0, 16)
	if d.Task != "" {
		fields = append(fields, "task", d.Task)
	} else if d.Workflow != "" {
		fields = append(fields, "workflow", d.Workflow)
	}
	if d.Target != "" {
		fields = append(fields, "target", d.Target)
	}
	if d.Run != 0 {
		fields = append(fields, "run", d.Run)
	}
	if d.Reason != "" {
		fields = append(fields, "reason", d.Reason)
	}
	if d.Count != 0 {
		fields = append(fields, "count", d.Count)
	}
	if d.Age != 0 {
		fields = append(fields, "age", d.Age.Round(time.Millisecond))
	}
	t.node.cfg.Metrics.Decisions.WithLabelValues(string(d.Event)).Inc()
	t.node.cfg.Requests.Info(string(d.Event), append(fields, "epoch", t.epoch)...)
}
