package node

import (
	"context"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
	"cyclamendyke/io/member"
)

// adviceSlack is how much longer than expected an answer of the advice service may take.
const adviceSlack = 1500 * time.Millisecond

// carryOut has a goroutine carry out a command and hand its result back.
func (t *term) carryOut(command dispatch.Command) {
	switch c := command.(type) {
	case dispatch.RenewCommand:
		t.work.Go(func() { t.renew(c) })
	case dispatch.StartCommand:
		t.work.Go(func() { t.start(c) })
	case dispatch.StopCommand:
		t.work.Go(func() {
			kind := cyclamendyke.KindOf(t.node.cfg.Targets.Stop(t.ctx, c.Target, c.Task, c.Run, t.epoch))
			t.post(func() { t.sched.Stopped(c.Target, c.Task, c.Run, kind) })
		})
	case dispatch.PaceCommand:
		t.work.Go(func() {
			if err := t.node.cfg.Targets.Pace(t.ctx, c.Target, c.Task, c.Run, c.Percent, t.epoch); err != nil {
				t.node.cfg.Log.Warn("pace", "task", c.Task, "target", c.Target.ID, "percent", c.Percent, "err", err)
			}
		})
	case dispatch.AdviseCommand:
		t.work.Go(func() { t.advise(c) })
	}
}

func (t *term) renew(c dispatch.RenewCommand) {
	sent := bootTime()
	listing, err := t.node.cfg.Targets.Renew(t.ctx, c.Target, c.Renewal)
	t.post(func() { t.renewed(c, sent, &listing, cyclamendyke.KindOf(err)) })
}

// renewed takes in what became of a renewal that was sent at a moment; kind is empty if the target answered.
func (t *term) renewed(c dispatch.RenewCommand, sent time.Duration, listing *cyclamendyke.Listing, kind cyclamendyke.Kind) {
	if kind != "" {
		t.sched.RenewFailed(c.Target, c.Look, kind)
		return
	}
	t.sched.Renewed(c.Target, c.Look, sent, *listing)
}

func (t *term) start(c dispatch.StartCommand) {
	if !t.authorized() {
		t.post(func() { t.sched.Started(c.Target, c.Order, cyclamendyke.KindUnavailable) })
		return
	}
	_, err := t.node.cfg.Targets.Start(t.ctx, c.Target, c.Order)
	kind := cyclamendyke.KindOf(err)
	t.post(func() { t.sched.Started(c.Target, c.Order, kind) })
}

// authorized checks the authority right before an order is sent, since the VM may have been suspended.
func (t *term) authorized() bool {
	_, valid := t.node.session.current()
	return t.ctx.Err() == nil && bootTime() < valid+authorityGrace
}

func (t *term) advise(c dispatch.AdviseCommand) {
	sent := bootTime()
	question := member.Question{Step: c.Step, Targets: c.Targets}
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	var answer cyclamendyke.Advice
	var err error
	if c.Member == t.node.cfg.Settings.Node {
		answer, err = t.node.Advise(ctx, question)
	} else {
		answer, err = t.node.peers.Advise(ctx, t.node.dir.address(c.Member), question)
	}
	if err != nil && t.ctx.Err() == nil {
		t.node.cfg.Requests.Info("no advice", "step", c.Step, "member", c.Member, "targets", len(c.Targets), "err", err)
	}
	t.post(func() { t.sched.Advised(c, sent, answer, err == nil) })
}

// adviceTimeout bounds a question to the advice service.
const adviceTimeout = 2*time.Second + adviceSlack
