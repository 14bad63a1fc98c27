package node

import (
	"context"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
	"cyclamendyke/io/member"
)

// adviceMargin is how much longer than expected the advice service may take to answer.
const adviceMargin = 1500 * time.Millisecond

// execute executes a command in a new goroutine, which posts the result, if any, to the control
// goroutine.
func (t *term) execute(command dispatch.Command) {
	switch c := command.(type) {
	case dispatch.RenewCommand:
		t.wg.Go(func() { t.renew(c) })
	case dispatch.StartCommand:
		decidedAt := t.passBegan
		t.wg.Go(func() { t.start(c, decidedAt) })
	case dispatch.StopCommand:
		t.wg.Go(func() {
			kind := cyclamendyke.KindOf(t.node.cfg.Targets.Stop(t.ctx, c.Target, c.Task, c.Run, t.epoch))
			t.post(func() { t.sched.Stopped(c.Target, c.Task, c.Run, kind) })
		})
	case dispatch.PaceCommand:
		t.wg.Go(func() {
			if err := t.node.cfg.Targets.Pace(t.ctx, c.Target, c.Task, c.Run, c.Percent, t.epoch); err != nil {
				t.node.cfg.Log.Warn("pace", "task", c.Task, "target", c.Target.ID, "percent", c.Percent, "err", err)
			}
		})
	case dispatch.AdviseCommand:
		t.wg.Go(func() { t.advise(c) })
	}
}

func (t *term) renew(c dispatch.RenewCommand) {
	sent := bootTime()
	listing, err := t.node.cfg.Targets.Renew(t.ctx, c.Target, c.Renewal)
	t.post(func() { t.handleRenewal(c, sent, &listing, cyclamendyke.KindOf(err)) })
}

// handleRenewal passes a renewal's result to the scheduler; kind is empty if the target answered.
func (t *term) handleRenewal(c dispatch.RenewCommand, sent time.Duration, listing *cyclamendyke.Listing, kind cyclamendyke.Kind) {
	if kind != "" {
		t.sched.RenewFailed(c.Target, c.Immediate, kind)
		return
	}
	t.sched.Renewed(c.Target, c.Immediate, sent, *listing)
}

func (t *term) start(c dispatch.StartCommand, decidedAt time.Duration) {
	obstacle := t.node.startObstacle(c.Target.Zone, decidedAt, c.LeaseLeft)
	if !t.maySendOrders() {
		obstacle = cyclamendyke.KindUnavailable
	}
	if obstacle != "" {
		t.post(func() { t.sched.Started(c.Target, c.Order, obstacle, 0) })
		return
	}
	clock, err := t.node.cfg.Targets.Start(t.ctx, c.Target, c.Order)
	kind := cyclamendyke.KindOf(err)
	t.post(func() { t.sched.Started(c.Target, c.Order, kind, clock) })
}

// maySendOrders reports whether the term is active and its grace period has not ended. It is called
// just before orders are sent, since the VM may have been suspended after the decision.
func (t *term) maySendOrders() bool {
	validUntil := t.leaseValidUntil()
	return t.ctx.Err() == nil && validUntil != 0 && bootTime() < validUntil+authorityGrace
}

func (t *term) advise(c dispatch.AdviseCommand) {
	times := dispatch.AdviceTimes{Sent: bootTime()}
	request := member.AdviceRequest{Step: c.Step, Targets: c.Targets}
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	var answer cyclamendyke.Advice
	var err error
	if c.Member == t.node.cfg.Settings.Node {
		answer, err = t.node.Advise(ctx, request)
	} else {
		answer, err = t.node.peers.Advise(ctx, t.node.dir.memberAddress(c.Member), request)
	}
	times.Answered = bootTime()
	if err != nil && t.ctx.Err() == nil {
		t.node.cfg.RequestLog.Info("advice request failed", "step", c.Step, "member", c.Member, "targets", len(c.Targets), "err", err)
	}
	t.post(func() { t.sched.Advised(c, times, answer, err == nil) })
}

// adviceTimeout limits one request for advice: the expected two seconds and adviceMargin.
const adviceTimeout = 2*time.Second + adviceMargin
