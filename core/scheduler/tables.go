package scheduler

import (
	"maps"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
	"cyclamendyke/core/share"
)

func (s *Scheduler) setTables(tables *cyclamendyke.Tables) {
	if tables == nil || s.tables != nil && tables.Revision <= s.tables.Revision {
		return
	}
	s.tables = tables
	s.updatePools()
	for _, t := range s.teams {
		t.weight, t.limit = 0, cyclamendyke.Resources{}
	}
	for name, row := range tables.Teams {
		t := s.ensureTeam(name)
		t.weight, t.limit = row.Share, row.Limit
	}
	s.updateQueues()
}

// updatePools applies the pool table and rebuilds the indexes of pools whose shape or headroom changed.
func (s *Scheduler) updatePools() {
	if s.tables == nil {
		return
	}
	for name, row := range s.tables.Pools {
		p := s.ensurePool(name)
		if p.config.Shape == row.Shape && p.config.Headroom == row.Headroom {
			p.config = row
			continue
		}
		p.config = row
		s.rebuildIndex(p)
	}
	for name, p := range s.pools {
		if _, found := s.tables.Pools[name]; !found {
			p.config = cyclamendyke.Pool{}
		}
	}
}

func (s *Scheduler) ensurePool(name cyclamendyke.PoolName) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, index: policy.NewIndex(cyclamendyke.Resources{}), blocked: newBlockedSet()}
		s.pools[name] = p
	}
	return p
}

func (s *Scheduler) rebuildIndex(p *pool) {
	indexedWorkers := make([]*worker, 0, p.workerCount)
	for _, w := range s.workers {
		if w.pool == p && w.indexed {
			indexedWorkers = append(indexedWorkers, w)
		}
	}
	slices.SortFunc(indexedWorkers, func(a, b *worker) int { return compareVMs(a.vm, b.vm) })
	p.index = policy.NewIndex(p.config.Shape)
	for _, w := range indexedWorkers {
		w.indexed = false
		s.reindex(w)
	}
}

// updateQueues applies new tables to waiting jobs and ends those that can no longer run.
func (s *Scheduler) updateQueues() {
	for _, j := range s.unfinishedJobs() {
		s.endIfImpossible(j)
	}
	for _, t := range s.teamsInOrder() {
		for _, q := range t.queuesInOrder() {
			q.pools = s.eligiblePools(q.key.route, q.key.kind)
			s.makeRunnable(q)
		}
	}
}

// endIfImpossible ends a job whose waiting tasks can't run under the tables in force, and reports whether it has.
func (s *Scheduler) endIfImpossible(j *job) bool {
	if s.tables == nil || j.orphan || j.waiting.count == 0 {
		return false
	}
	reason, detail := s.impossibleReason(&j.spec)
	if reason == cyclamendyke.ReasonNone {
		return false
	}
	s.endJob(j, s.interruptedOutcome(j, reason, detail))
	return true
}

// eligiblePools returns the pools in this zone that a route's jobs of one kind may use, in order of preference.
func (s *Scheduler) eligiblePools(route cyclamendyke.RouteName, kind cyclamendyke.JobKind) []*pool {
	if s.tables == nil {
		return nil
	}
	row := s.tables.Routes[route]
	pools := make([]*pool, 0, len(row.Pools))
	for _, name := range row.Pools {
		p := s.ensurePool(name)
		if p.serves(s.cfg.Zone, kind) {
			pools = append(pools, p)
		}
	}
	return pools
}

func (s *Scheduler) setAllotments(allotments map[cyclamendyke.TeamName]cyclamendyke.Resources) {
	for _, t := range s.teams {
		t.hasAllotment = false
		t.allotment = cyclamendyke.Resources{}
	}
	for name, allotment := range allotments {
		t := s.ensureTeam(name)
		t.hasAllotment = true
		t.allotment = allotment
	}
	s.updateAllotments()
}

func (s *Scheduler) poolNames() []cyclamendyke.PoolName {
	return slices.Sorted(maps.Keys(s.pools))
}

// updateTeamOrder updates a team's place in the orders after its reservations or its waiting tasks changed.
func (s *Scheduler) updateTeamOrder(t *team) {
	for u := range urgencyLevels {
		first, found := t.runnable[u].Min()
		if !found {
			s.teamOrders[u].Remove(t.name)
			continue
		}
		s.teamOrders[u].Set(t.name, s.teamOrderKey(first))
	}
	for _, p := range s.pools {
		for u := range urgencyLevels {
			p.blocked.updateTeamOrder(u, t.name, s.teamOrderKey)
		}
	}
}

// teamOrderKey returns the key that teams are ordered by: the weighted share of the queue's team,
// or without fair sharing the sequence number of the queue's first job.
func (s *Scheduler) teamOrderKey(q *queue) float64 {
	if s.cfg.Policies.FairShare {
		return share.WeightedShare(q.team.reserved, s.capacity, q.team.weight)
	}
	return float64(q.headSeq)
}

// updateAllTeamOrders reorders all teams after the zone's capacity changed, since their shares depend on it.
func (s *Scheduler) updateAllTeamOrders() {
	for _, t := range s.teams {
		s.updateTeamOrder(t)
	}
}

// after calls fire once d has passed.
func (s *Scheduler) after(d time.Duration, fire func()) {
	s.timers.set(s.now.Add(d), func(time.Time) { fire() })
}
