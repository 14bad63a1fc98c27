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
	allotmentWritesPerSecond = 8
	allotmentWriteBurst      = 64 // At the beginning of a term every team's allotment is written once.
)

// allotmentManager moves this zone's allotments while this process is its scheduler; each team has a planner and a key of its own.
type allotmentManager struct {
	daemon          *Daemon
	writeLimiter    *rate.Limiter
	epoch           cyclamendyke.Epoch
	planners        map[cyclamendyke.TeamName]*quota.Planner        // Of the present term.
	ledgerRevisions map[cyclamendyke.TeamName]cyclamendyke.Revision // Of the ledger that the planner was given last.
	applied         map[cyclamendyke.TeamName]cyclamendyke.Resources
}

// manageAllotments plans and writes this zone's allotments until ctx ends.
func (d *Daemon) manageAllotments(ctx context.Context) {
	manager := &allotmentManager{daemon: d, writeLimiter: rate.NewLimiter(allotmentWritesPerSecond, allotmentWriteBurst)}
	ticker := time.NewTicker(allotmentInterval)
	defer ticker.Stop()
	for {
		if epoch, isScheduler := d.controller.currentEpoch(); isScheduler {
			manager.update(ctx, epoch)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// update brings every planner up to date and makes the moves that are due, those of teams with waiting work first.
func (m *allotmentManager) update(ctx context.Context, epoch cyclamendyke.Epoch) {
	tables := m.daemon.tables.Load()
	if tables == nil {
		return
	}
	if m.epoch != epoch {
		m.epoch = epoch
		m.planners = make(map[cyclamendyke.TeamName]*quota.Planner)
		m.ledgerRevisions = make(map[cyclamendyke.TeamName]cyclamendyke.Revision)
		m.applied = make(map[cyclamendyke.TeamName]cyclamendyke.Resources)
	}
	demand := m.daemon.controller.demand()
	m.updatePlanners(tables, demand)
	alive := m.aliveZones()
	for _, team := range m.teamOrder(demand) {
		m.rebalance(ctx, team, alive)
	}
	m.applyUsable()
}

// updatePlanners gives each planner its team's limit, ledger and demand.
func (m *allotmentManager) updatePlanners(tables *cyclamendyke.Tables, demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand) {
	snapshot := m.daemon.configView.Snapshot()
	for team := range tables.Teams {
		m.addPlanner(team)
	}
	for _, entry := range snapshot.Below(cyclamendyke.AllotmentsPrefix) {
		m.addPlanner(teamOf(entry))
	}
	for team, planner := range m.planners {
		planner.SetLimits(tables.Revision, limitOf(tables, team))
		if !snapshot.Confirmed.IsZero() {
			entry, _ := snapshot.Entry(allotmentKey(team)) // The zero entry stands for a ledger not written yet.
			m.setLedger(team, entry)
		}
		planner.SetDemand(demandOf(demand, team))
	}
}

// addPlanner gives the team a planner of this term if it has none.
func (m *allotmentManager) addPlanner(team cyclamendyke.TeamName) {
	if _, ok := m.planners[team]; !ok {
		m.planners[team] = quota.New(quota.Config{Zone: m.daemon.member.Zone, Epoch: m.epoch})
	}
}

// teamOrder returns the teams with waiting work, and then the others, each by name.
func (m *allotmentManager) teamOrder(demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand) []cyclamendyke.TeamName {
	idleRank := func(team cyclamendyke.TeamName) int {
		if demand[team].Waiting.IsZero() {
			return 1
		}
		return 0
	}
	return slices.SortedFunc(maps.Keys(m.planners), func(a, b cyclamendyke.TeamName) int {
		return cmp.Or(cmp.Compare(idleRank(a), idleRank(b)), cmp.Compare(a, b))
	})
}

// setLedger gives the planner a ledger that it was not given yet.
func (m *allotmentManager) setLedger(team cyclamendyke.TeamName, entry cyclamendyke.Entry) {
	if previous, ok := m.ledgerRevisions[team]; ok && entry.Revision <= previous {
		return
	}
	ledger, err := quota.Decode(entry.Value)
	if err != nil {
		m.daemon.log.Error("allotments in the store cannot be read", "team", team, "err", err)
		return
	}
	m.planners[team].SetLedger(entry.Revision, ledger)
	m.ledgerRevisions[team] = entry.Revision
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

// rebalance releases what the zone does not need and takes what it may; what it releases is out of use before the write is sent.
func (m *allotmentManager) rebalance(ctx context.Context, team cyclamendyke.TeamName, alive []cyclamendyke.ZoneName) {
	planner := m.planners[team]
	proposal, ok := planner.Next(time.Now(), alive)
	if !ok || !m.writeLimiter.Allow() {
		return
	}
	if usable := proposal.Usable[team]; usable != m.applied[team] {
		m.applied[team] = usable
		if !m.daemon.controller.setAllotments(m.epoch, maps.Clone(m.applied)) {
			return
		}
	}
	write, ok := planner.Commit(time.Now(), demandOf(m.daemon.controller.demand(), team))
	if ok {
		m.writeLedger(ctx, team, write)
	}
}

// applyUsable tells the scheduler what each team may use; it is told each turn, since authority that lapsed and came back began with nothing.
func (m *allotmentManager) applyUsable() {
	usable := make(map[cyclamendyke.TeamName]cyclamendyke.Resources, len(m.planners))
	for team, planner := range m.planners {
		if allowed, ok := planner.Usable()[team]; ok {
			usable[team] = allowed
		}
	}
	m.applied = usable
	m.daemon.controller.setAllotments(m.epoch, maps.Clone(usable))
}

// writeLedger sends one compare-and-swap and tells the planner what became of it.
func (m *allotmentManager) writeLedger(ctx context.Context, team cyclamendyke.TeamName, write quota.Write) {
	ctx, cancel := context.WithTimeout(ctx, allotmentWriteTimeout)
	defer cancel()
	planner := m.planners[team]
	revision, err := m.daemon.platform.Store.CompareAndSwap(ctx, allotmentKey(team), write.Value, write.Expected, 0)
	switch {
	case err == nil:
		planner.Written(revision)
		m.daemon.metrics.quotaMoves.Inc()
		m.daemon.addEvent(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventQuotaMoved, Team: team, Epoch: m.epoch, Detail: revisionDetail("allotments", revision)})
	case errors.Is(err, cyclamendyke.KindConflict):
		planner.NotWritten()
		m.readLedger(ctx, team)
	case errors.Is(err, cyclamendyke.KindUnavailable), errors.Is(err, cyclamendyke.KindLimited), errors.Is(err, cyclamendyke.KindTooLarge):
		planner.NotWritten()
	default:
		planner.InDoubt(write.Expected)
	}
}

// readLedger reads the ledger that another zone wrote first, without waiting for the watch.
func (m *allotmentManager) readLedger(ctx context.Context, team cyclamendyke.TeamName) {
	if entry, err := m.daemon.platform.Store.Get(ctx, allotmentKey(team)); err == nil {
		m.setLedger(team, entry)
	}
}

// aliveZones returns the zones whose scheduler is heard.
func (m *allotmentManager) aliveZones() []cyclamendyke.ZoneName {
	schedulers := m.daemon.directory.schedulers(time.Now())
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
	for _, entry := range d.configView.Snapshot().Below(cyclamendyke.AllotmentsPrefix) {
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
	c.postAndWait(func(time.Time) {
		if c.scheduler != nil {
			demand = c.scheduler.Demand()
		}
	})
	return demand
}
