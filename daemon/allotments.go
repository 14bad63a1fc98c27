package daemon

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"cyclamendyke"
	"cyclamendyke/core/quota"
)

// The rate at which one zone moves allotments, so that the journal keeps its part of the process's writes.
const (
	quotaMovesPerSecond = 8
	quotaMovesAtOnce    = 64 // At the beginning of a term every team's allotment is written once.
)

// quotaKeeper moves this zone's allotments while this process is its scheduler; each team has a planner and a key of its own.
type quotaKeeper struct {
	daemon   *Daemon
	moves    *rate.Limiter
	epoch    cyclamendyke.Epoch
	planners map[cyclamendyke.TeamName]*quota.Planner        // Of the present term.
	taken    map[cyclamendyke.TeamName]cyclamendyke.Revision // Of the ledger that the planner was given last.
	inForce  map[cyclamendyke.TeamName]cyclamendyke.Resources
}

// keepAllotments plans and writes this zone's allotments until ctx ends.
func (d *Daemon) keepAllotments(ctx context.Context) {
	keeper := &quotaKeeper{daemon: d, moves: rate.NewLimiter(quotaMovesPerSecond, quotaMovesAtOnce)}
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	for {
		if epoch, here := d.control.currentEpoch(); here {
			keeper.turn(ctx, epoch)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// turn brings every planner up to date and makes the moves that are due, those of teams with waiting work first.
func (k *quotaKeeper) turn(ctx context.Context, epoch cyclamendyke.Epoch) {
	tables := k.daemon.tables.Load()
	if tables == nil {
		return
	}
	if k.epoch != epoch {
		k.epoch = epoch
		k.planners = make(map[cyclamendyke.TeamName]*quota.Planner)
		k.taken = make(map[cyclamendyke.TeamName]cyclamendyke.Revision)
		k.inForce = make(map[cyclamendyke.TeamName]cyclamendyke.Resources)
	}
	demand := k.daemon.control.demand()
	k.follow(tables, demand)
	alive := k.aliveZones()
	for _, team := range k.order(demand) {
		k.move(ctx, team, alive)
	}
	k.putInForce()
}

// follow gives each planner its team's limit, ledger and demand.
func (k *quotaKeeper) follow(tables *cyclamendyke.Tables, demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand) {
	snapshot := k.daemon.view.Snapshot()
	for team := range tables.Teams {
		k.addPlanner(team)
	}
	for _, entry := range snapshot.WithPrefix(cyclamendyke.AllotmentsPrefix) {
		k.addPlanner(teamOf(entry))
	}
	for team, planner := range k.planners {
		planner.SetLimits(tables.Revision, limitOf(tables, team))
		if !snapshot.Confirmed.IsZero() {
			entry, _ := snapshot.Entry(allotmentKey(team)) // The zero entry stands for a ledger not written yet.
			k.setLedger(team, entry)
		}
		planner.SetDemand(demandOf(demand, team))
	}
}

// addPlanner gives the team a planner of this term if it has none.
func (k *quotaKeeper) addPlanner(team cyclamendyke.TeamName) {
	if _, ok := k.planners[team]; !ok {
		k.planners[team] = quota.New(quota.Config{Zone: k.daemon.member.Zone, Epoch: k.epoch})
	}
}

// order returns the teams with waiting work, and then the others, each by name.
func (k *quotaKeeper) order(demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand) []cyclamendyke.TeamName {
	idle := func(team cyclamendyke.TeamName) int {
		if demand[team].Waiting.IsZero() {
			return 1
		}
		return 0
	}
	return slices.SortedFunc(maps.Keys(k.planners), func(a, b cyclamendyke.TeamName) int {
		return cmp.Or(cmp.Compare(idle(a), idle(b)), cmp.Compare(a, b))
	})
}

// setLedger gives the planner a ledger that it was not given yet.
func (k *quotaKeeper) setLedger(team cyclamendyke.TeamName, entry cyclamendyke.Entry) {
	if taken, ok := k.taken[team]; ok && entry.Revision <= taken {
		return
	}
	ledger, err := quota.Decode(entry.Value)
	if err != nil {
		k.daemon.log.Error("allotments in the store cannot be read", "team", team, "err", err)
		return
	}
	k.planners[team].SetLedger(entry.Revision, ledger)
	k.taken[team] = entry.Revision
}

// allotmentKey returns the key of a team's ledger.
func allotmentKey(team cyclamendyke.TeamName) string {
	return cyclamendyke.AllotmentsPrefix + string(team)
}

func teamOf(entry cyclamendyke.Entry) cyclamendyke.TeamName {
	return cyclamendyke.TeamName(strings.TrimPrefix(entry.Key, cyclamendyke.AllotmentsPrefix))
}

// limitOf returns the team's upper limit alone, or nothing if the tables have no such team any more.
func limitOf(tables *cyclamendyke.Tables, team cyclamendyke.TeamName) map[cyclamendyke.TeamName]cyclamendyke.Resources {
	limits := make(map[cyclamendyke.TeamName]cyclamendyke.Resources, 1)
	if row, ok := tables.Teams[team]; ok {
		limits[team] = row.Limit
	}
	return limits
}

// demandOf returns the team's demand alone.
func demandOf(demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand, team cyclamendyke.TeamName) map[cyclamendyke.TeamName]cyclamendyke.TeamDemand {
	return map[cyclamendyke.TeamName]cyclamendyke.TeamDemand{team: demand[team]}
}

// move releases what the zone does not need and takes what it may; what it releases is out of use before the write is sent.
func (k *quotaKeeper) move(ctx context.Context, team cyclamendyke.TeamName, alive []cyclamendyke.ZoneName) {
	planner := k.planners[team]
	proposal, ok := planner.Propose(time.Now(), alive)
	if !ok || !k.moves.Allow() {
		return
	}
	if usable := proposal.Usable[team]; usable != k.inForce[team] {
		k.inForce[team] = usable
		if !k.daemon.control.setAllotments(k.epoch, maps.Clone(k.inForce)) {
			return
		}
	}
	write, ok := planner.Commit(time.Now(), demandOf(k.daemon.control.demand(), team))
	if ok {
		k.write(ctx, team, write)
	}
}

// putInForce tells the scheduler what each team may use; it is told each turn, since authority that lapsed and came back began with nothing.
func (k *quotaKeeper) putInForce() {
	usable := make(map[cyclamendyke.TeamName]cyclamendyke.Resources, len(k.planners))
	for team, planner := range k.planners {
		if allowed, ok := planner.Usable()[team]; ok {
			usable[team] = allowed
		}
	}
	k.inForce = usable
	k.daemon.control.setAllotments(k.epoch, maps.Clone(usable))
}

// write sends one compare-and-swap and tells the planner what became of it.
func (k *quotaKeeper) write(ctx context.Context, team cyclamendyke.TeamName, write quota.Write) {
	ctx, cancel := context.WithTimeout(ctx, quotaWriteTimeout)
	defer cancel()
	planner := k.planners[team]
	revision, err := k.daemon.platform.Store.CompareAndSwap(ctx, allotmentKey(team), write.Value, write.Expected, 0)
	switch {
	case err == nil:
		planner.Written(revision)
		k.daemon.metrics.quotaMoves.Inc()
		k.daemon.event(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventQuotaMoved, Team: team, Epoch: k.epoch, Detail: revisionDetail("allotments", revision)})
	case errors.Is(err, cyclamendyke.KindConflict):
		planner.NotWritten()
		k.readLedger(ctx, team)
	case errors.Is(err, cyclamendyke.KindUnavailable), errors.Is(err, cyclamendyke.KindLimited), errors.Is(err, cyclamendyke.KindTooLarge):
		planner.NotWritten()
	default:
		planner.OutcomeUnknown(write.Expected)
	}
}

// readLedger reads the ledger that another zone wrote first, without waiting for the watch.
func (k *quotaKeeper) readLedger(ctx context.Context, team cyclamendyke.TeamName) {
	if entry, err := k.daemon.platform.Store.Get(ctx, allotmentKey(team)); err == nil {
		k.setLedger(team, entry)
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

// Allotments returns how each team's upper limit is divided, as this process last saw it, and the latest revision among them.
func (d *Daemon) Allotments(context.Context) (map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments, cyclamendyke.Revision) {
	teams := make(map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments)
	latest := cyclamendyke.Revision(0)
	for _, entry := range d.view.Snapshot().WithPrefix(cyclamendyke.AllotmentsPrefix) {
		ledger, err := quota.Decode(entry.Value)
		if err != nil {
			continue
		}
		maps.Copy(teams, ledger.Teams)
		latest = max(latest, entry.Revision)
	}
	return teams, latest
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
