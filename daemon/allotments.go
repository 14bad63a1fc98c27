package daemon

import (
	"context"
	"errors"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/quota"
)

// quotaKeeper moves this zone's allotments while this process is its scheduler.
type quotaKeeper struct {
	daemon  *Daemon
	epoch   cyclamendyke.Epoch
	planner *quota.Planner // Of the present term; nil while another process holds the role.
}

// keepAllotments plans and writes this zone's allotments until ctx ends.
func (d *Daemon) keepAllotments(ctx context.Context) {
	keeper := &quotaKeeper{daemon: d}
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	for {
		if keeper.follow() {
			keeper.move(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// follow brings the planner up to date, and reports whether this process is the scheduler.
func (k *quotaKeeper) follow() bool {
	epoch, here := k.daemon.control.currentEpoch()
	tables := k.daemon.tables.Load()
	if !here || tables == nil {
		k.planner = nil
		return false
	}
	if k.planner == nil || k.epoch != epoch {
		k.epoch = epoch
		k.planner = quota.New(quota.Config{Zone: k.daemon.member.Zone, Epoch: epoch})
	}
	k.planner.SetLimits(tables.Revision, limitsOf(tables))
	if snapshot := k.daemon.view.Snapshot(); !snapshot.Confirmed.IsZero() {
		entry, _ := snapshot.Entry(cyclamendyke.AllotmentsKey) // The zero entry stands for a ledger not written yet.
		k.setLedger(entry)
	}
	k.planner.SetDemand(k.daemon.control.demand())
	return true
}

func (k *quotaKeeper) setLedger(entry cyclamendyke.Entry) {
	ledger, err := quota.Decode(entry.Value)
	if err != nil {
		k.daemon.log.Error("allotments in the store cannot be read", "err", err)
		return
	}
	k.planner.SetLedger(entry.Revision, ledger)
}

// limitsOf returns the upper limit of each team.
func limitsOf(tables *cyclamendyke.Tables) map[cyclamendyke.TeamName]cyclamendyke.Resources {
	limits := make(map[cyclamendyke.TeamName]cyclamendyke.Resources, len(tables.Teams))
	for name, team := range tables.Teams {
		limits[name] = team.Limit
	}
	return limits
}

// move releases what the zone does not need and takes what it may; what it releases is out of use before the write is sent.
func (k *quotaKeeper) move(ctx context.Context) {
	proposal, ok := k.planner.Next(time.Now(), k.aliveZones())
	if !ok {
		k.putInForce(k.planner.Usable())
		return
	}
	if !k.putInForce(proposal.Usable) {
		return
	}
	write, ok := k.planner.Commit(time.Now(), k.daemon.control.demand())
	if !ok {
		return
	}
	k.write(ctx, write)
	k.putInForce(k.planner.Usable())
}

func (k *quotaKeeper) putInForce(usable map[cyclamendyke.TeamName]cyclamendyke.Resources) bool {
	return k.daemon.control.setAllotments(k.epoch, usable)
}

// write sends one compare-and-swap and tells the planner what became of it.
func (k *quotaKeeper) write(ctx context.Context, write quota.Write) {
	ctx, cancel := context.WithTimeout(ctx, quotaWriteTimeout)
	defer cancel()
	revision, err := k.daemon.platform.Store.CompareAndSwap(ctx, cyclamendyke.AllotmentsKey, write.Value, write.Expected, 0)
	switch {
	case err == nil:
		k.planner.Written(revision)
		k.daemon.metrics.quotaMoves.Inc()
		k.daemon.event(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventQuotaMoved, Epoch: k.epoch, Detail: revisionDetail("allotments", revision)})
	case errors.Is(err, cyclamendyke.KindConflict):
		k.planner.NotWritten()
		k.readLedger(ctx)
	case errors.Is(err, cyclamendyke.KindUnavailable), errors.Is(err, cyclamendyke.KindLimited), errors.Is(err, cyclamendyke.KindTooLarge):
		k.planner.NotWritten()
	default:
		k.planner.InDoubt(write.Expected)
	}
}

// readLedger reads the ledger that another zone wrote first, without waiting for the watch.
func (k *quotaKeeper) readLedger(ctx context.Context) {
	if entry, err := k.daemon.platform.Store.Get(ctx, cyclamendyke.AllotmentsKey); err == nil {
		k.setLedger(entry)
	}
}

// aliveZones returns the zones whose scheduler is heard.
func (k *quotaKeeper) aliveZones() []cyclamendyke.ZoneName {
	schedulers := k.daemon.directory.schedulers(time.Now())
	zones := make([]cyclamendyke.ZoneName, 0, len(schedulers))
	for _, state := range schedulers {
		zones = append(zones, state.Member.Zone)
	}
	return zones
}

// Allotments returns how each team's upper limit is divided, as this process last saw it.
func (d *Daemon) Allotments(context.Context) (map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments, cyclamendyke.Revision) {
	entry, ok := d.view.Snapshot().Entry(cyclamendyke.AllotmentsKey)
	if !ok {
		return map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments{}, 0
	}
	ledger, err := quota.Decode(entry.Value)
	if err != nil {
		return map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments{}, 0
	}
	return ledger.Teams, entry.Revision
}

// demand returns what each team has reserved here and would use besides.
func (c *controller) demand() map[cyclamendyke.TeamName]cyclamendyke.TeamDemand {
	var demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand
	c.ask(func(time.Time) {
		if c.scheduler != nil {
			demand = c.scheduler.Demand()
		}
	})
	return demand
}
