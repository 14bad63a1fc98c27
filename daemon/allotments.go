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

// Rate limit of one zone's allotment writes. It is low enough to leave the journal a share of this
// process's limit on store writes.
const (
	allotmentWritesPerSecond = 8
	allotmentWriteBurst      = 64 // Allows one write per team at the start of a term.
)

// allotmentManager adjusts this zone's allotments while this process is its scheduler. Each team
// has its own planner and key in the store.
type allotmentManager struct {
	daemon          *Daemon
	writeLimiter    *rate.Limiter
	epoch           cyclamendyke.Epoch
	planners        map[cyclamendyke.TeamName]*quota.Planner         // For the current term.
	ledgerRevisions map[cyclamendyke.TeamName]cyclamendyke.Revision  // Revision of the last ledger given to each planner.
	applied         map[cyclamendyke.TeamName]cyclamendyke.Resources // What each team may use, as last given to the scheduler.
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

// update brings every planner up to date and rebalances the teams, those with waiting work first.
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
	for _, entry := range snapshot.WithPrefix(cyclamendyke.AllotmentsPrefix) {
		m.addPlanner(teamOf(entry))
	}
	for team, planner := range m.planners {
		planner.SetLimits(tables.Revision, limitOf(tables, team))
		if !snapshot.Confirmed.IsZero() {
			entry, _ := snapshot.Entry(allotmentKey(team)) // The zero entry means that no ledger has been written yet.
			m.setLedger(team, entry)
		}
		planner.SetDemand(demandOf(demand, team))
	}
}

// addPlanner creates a planner for the team in this term if there is none.
func (m *allotmentManager) addPlanner(team cyclamendyke.TeamName) {
	if _, ok := m.planners[team]; !ok {
		m.planners[team] = quota.New(quota.Config{Zone: m.daemon.member.Zone, Epoch: m.epoch})
	}
}

// teamOrder returns the teams with waiting work followed by the others, each group sorted by name.
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

// setLedger passes a ledger to the planner unless the planner already has this or a later revision.
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

// allotmentKey returns the key of a team's ledger in the store.
func allotmentKey(team cyclamendyke.TeamName) string {
	return cyclamendyke.AllotmentsPrefix + string(team)
}

func teamOf(entry cyclamendyke.Entry) cyclamendyke.TeamName {
	return cyclamendyke.TeamName(strings.TrimPrefix(entry.Key, cyclamendyke.AllotmentsPrefix))
}

// limitOf returns a map with only this team's upper limit, empty if the tables no longer contain
// the team.
func limitOf(tables *cyclamendyke.Tables, team cyclamendyke.TeamName) map[cyclamendyke.TeamName]cyclamendyke.Resources {
	limits := make(map[cyclamendyke.TeamName]cyclamendyke.Resources, 1)
	if row, ok := tables.Teams[team]; ok {
		limits[team] = row.Limit
	}
	return limits
}

// demandOf returns a map with only this team's demand.
func demandOf(demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand, team cyclamendyke.TeamName) map[cyclamendyke.TeamName]cyclamendyke.TeamDemand {
	return map[cyclamendyke.TeamName]cyclamendyke.TeamDemand{team: demand[team]}
}

// rebalance releases capacity that the zone does not need and requests what it may add. The
// scheduler stops using released capacity before the write is sent.
func (m *allotmentManager) rebalance(ctx context.Context, team cyclamendyke.TeamName, alive []cyclamendyke.ZoneName) {
	planner := m.planners[team]
	proposal, ok := planner.Propose(time.Now(), alive)
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

// applyUsable passes to the scheduler what each team may use. It does so on every update because a
// term that ends and begins again with the same epoch has a new scheduler without allotments.
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

// writeLedger writes the ledger with one compare-and-swap and reports the result to the planner.
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
		planner.OutcomeUnknown(write.Expected)
	}
}

// readLedger reads the ledger after another zone's write won, without waiting for the watch.
func (m *allotmentManager) readLedger(ctx context.Context, team cyclamendyke.TeamName) {
	if entry, err := m.daemon.platform.Store.Get(ctx, allotmentKey(team)); err == nil {
		m.setLedger(team, entry)
	}
}

// aliveZones returns the zones whose scheduler has sent a recent heartbeat.
func (m *allotmentManager) aliveZones() []cyclamendyke.ZoneName {
	schedulers := m.daemon.directory.schedulers(time.Now())
	zones := make([]cyclamendyke.ZoneName, 0, len(schedulers))
	for _, state := range schedulers {
		zones = append(zones, state.Member.Zone)
	}
	return zones
}

// Allotments returns how each team's upper limit is divided among the zones in this process's view,
// and the latest revision of those ledgers.
func (d *Daemon) Allotments(context.Context) (map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments, cyclamendyke.Revision) {
	teams := make(map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments)
	latest := cyclamendyke.Revision(0)
	for _, entry := range d.configView.Snapshot().WithPrefix(cyclamendyke.AllotmentsPrefix) {
		ledger, err := quota.Decode(entry.Value)
		if err != nil {
			continue
		}
		maps.Copy(teams, ledger.Teams)
		latest = max(latest, entry.Revision)
	}
	return teams, latest
}

// demand returns each team's reserved resources in this zone and the resources that its waiting
// work needs.
func (c *controller) demand() map[cyclamendyke.TeamName]cyclamendyke.TeamDemand {
	var demand map[cyclamendyke.TeamName]cyclamendyke.TeamDemand
	c.postAndWait(func(time.Time) {
		if c.scheduler != nil {
			demand = c.scheduler.Demand()
		}
	})
	return demand
}
