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
		t := s.teamOf(name)
		t.weight, t.limit = row.Share, row.Limit
	}
	s.updateQueues()
}

// updatePools brings pools in line with the table and rebuilds the index of those that changed.
func (s *Scheduler) updatePools() {
	if s.tables == nil {
		return
	}
	for name, row := range s.tables.Pools {
		p := s.poolOf(name)
		if p.table.Shape == row.Shape && p.table.Headroom == row.Headroom {
			p.table = row
			continue
		}
		p.table = row
		s.rebuildIndex(p)
	}
	for name, p := range s.pools {
		if _, found := s.tables.Pools[name]; !found {
			p.table = cyclamendyke.Pool{}
		}
	}
}

func (s *Scheduler) poolOf(name cyclamendyke.PoolName) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, index: policy.NewIndex(cyclamendyke.Resources{}), blocked: newBlockedSet()}
		s.pools[name] = p
	}
	return p
}

func (s *Scheduler) rebuildIndex(p *pool) {
	members := make([]*worker, 0, p.workers)
	for _, w := range s.workers {
		if w.pool == p && w.indexed {
			members = append(members, w)
		}
	}
	slices.SortFunc(members, func(a, b *worker) int { return compareVMs(a.vm, b.vm) })
	p.index = policy.NewIndex(p.table.Shape)
	for _, w := range members {
		w.indexed = false
		s.reindex(w)
	}
}

// updateQueues applies new tables to what waits; jobs whose route is gone or whose size no longer fits end.
func (s *Scheduler) updateQueues() {
	for _, j := range s.unfinishedJobs() {
		s.endImpossible(j)
	}
	for _, t := range s.teamsInOrder() {
		for _, q := range t.queuesInOrder() {
			q.pools = s.poolsOf(q.key.route, q.key.kind)
			s.ready(q)
		}
	}
}

// endImpossible ends a job whose waiting tasks cannot run under the tables in force, and reports whether it has.
func (s *Scheduler) endImpossible(j *job) bool {
	if s.tables == nil || j.orphan || j.waiting.count == 0 {
		return false
	}
	reason, detail := s.impossible(&j.spec)
	if reason == cyclamendyke.ReasonNone {
		return false
	}
	s.end(j, s.interrupted(j, reason, detail))
	return true
}

// poolsOf returns the pools that a route's work of one kind may use in this zone, in order of preference.
func (s *Scheduler) poolsOf(route cyclamendyke.RouteName, kind cyclamendyke.JobKind) []*pool {
	if s.tables == nil {
		return nil
	}
	row := s.tables.Routes[route]
	pools := make([]*pool, 0, len(row.Pools))
	for _, name := range row.Pools {
		p := s.poolOf(name)
		if p.serves(s.cfg.Zone, kind) {
			pools = append(pools, p)
		}
	}
	return pools
}

func (s *Scheduler) setAllotments(held map[cyclamendyke.TeamName]cyclamendyke.Resources) {
	for _, t := range s.teams {
		t.known = false
		t.granted = cyclamendyke.Resources{}
	}
	for name, allotment := range held {
		t := s.teamOf(name)
		t.known = true
		t.granted = allotment
	}
	s.limitAllotments()
}

func (s *Scheduler) poolNames() []cyclamendyke.PoolName {
	return slices.Sorted(maps.Keys(s.pools))
}

// reorder moves a team to its place in the orders after its use or its waiting work changed.
func (s *Scheduler) reorder(t *team) {
	for u := range urgencies {
		first, found := t.runnable[u].Min()
		if !found {
			s.orders[u].Remove(t.name)
			continue
		}
		s.orders[u].Set(t.name, s.valueOf(first))
	}
	for _, p := range s.pools {
		for u := range urgencies {
			p.blocked.reorder(u, t.name, s.valueOf)
		}
	}
}

// valueOf returns what the order of teams goes by: the share of the queue's team, or the arrival of the queue's first job.
func (s *Scheduler) valueOf(q *queue) float64 {
	if s.cfg.Policies.FairShare {
		return share.Value(q.team.reserved, s.capacity, q.team.weight)
	}
	return float64(q.headSeq)
}

// capacityChanged applies a change of the zone's capacity to the order of the teams.
func (s *Scheduler) capacityChanged() {
	for _, t := range s.teams {
		s.reorder(t)
	}
}

func (s *Scheduler) after(d time.Duration, fire func()) {
	s.timers.set(s.now.Add(d), func(time.Time) { fire() })
}
