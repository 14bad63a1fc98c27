package scheduler

import (
	"cmp"
	"slices"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

const (
	gangPreemptionFactor   = 4                      // Tasks of gangs are stopped only after this many times PreemptionDelay.
	maxWorkersCompared     = 8                      // Workers with victims that are compared in each pool, for one eviction.
	maxEvictionsPerAttempt = 64                     // Evictions started for one job in one attempt.
	maxWorkersVisited      = 4 * maxWorkersCompared // Workers searched for victims in each pool, for one eviction.
)

// preemptFor evicts other tasks for an urgent job that has waited long enough, and schedules another attempt.
func (s *Scheduler) preemptFor(q *queue, j *job) {
	waited := s.now.Sub(j.waitingSince)
	if waited >= s.cfg.PreemptionDelay {
		s.evictFor(q, j)
	}
	if j.preemptTimerSet {
		return
	}
	j.preemptTimerSet = true
	s.after(max(s.cfg.PreemptionDelay-waited, s.cfg.PreemptionDelay/2), func() {
		j.preemptTimerSet = false
		if j.state == jobActive && q.head() == j && q.state != queueRunnable {
			s.makeRunnable(q)
		}
	})
}

// evictFor starts evictions until each waiting task of the job has one, as far as the team's
// allotment and maxEvictionsPerAttempt allow.
func (s *Scheduler) evictFor(q *queue, j *job) {
	for range maxEvictionsPerAttempt {
		if j.pendingEvictions >= j.waiting.count || !q.team.allows(j.need.Scale(int64(j.pendingEvictions+1))) {
			return
		}
		victims := s.cheapestVictims(q.pools, j.need)
		if len(victims) == 0 && s.now.Sub(j.waitingSince) >= gangPreemptionFactor*s.cfg.PreemptionDelay {
			victims = s.cheapestVictimsWithGangs(q.pools, j.need)
		}
		if len(victims) == 0 {
			s.releaseHoldsFor(q)
			return
		}
		s.evict(j, victims)
	}
}

// releaseHoldsFor releases the capacity held for non-urgent jobs in the pools of an urgent queue.
func (s *Scheduler) releaseHoldsFor(q *queue) {
	for _, p := range q.pools {
		if p.holder != nil && !p.holder.spec.Urgent {
			s.releaseHold(p.holder)
		}
	}
}

func (s *Scheduler) evict(j *job, victims []*task) {
	j.pendingEvictions++
	e := &eviction{job: j, remaining: len(victims)}
	for _, t := range victims {
		t.eviction = e
		s.emitTaskEvent(cyclamendyke.EventPreempted, t, "for "+string(j.spec.Request))
		s.stop(t, cyclamendyke.StopCheckpoint)
	}
}

func (s *Scheduler) handleVictimEnded(e *eviction) {
	e.remaining--
	if e.remaining == 0 {
		e.job.pendingEvictions--
	}
}

// cheapestVictims returns the tasks on one worker whose stop frees enough for need at the lowest
// cost; it compares only some workers, all in the first pool that has such tasks.
func (s *Scheduler) cheapestVictims(pools []*pool, need cyclamendyke.Resources) []*task {
	var best []*task
	lowestCost := 0.0
	for _, p := range pools {
		compared, visited := 0, 0
		p.index.VisitReclaimable(need, func(c *policy.Candidate) bool {
			visited++
			victims, cost := s.victimsOn(s.workers[c.Name], need, isPreemptible)
			if len(victims) > 0 {
				compared++
				if best == nil || cost < lowestCost {
					best, lowestCost = victims, cost
				}
			}
			return compared < maxWorkersCompared && visited < maxWorkersVisited
		})
		if best != nil {
			return best
		}
	}
	return nil
}

// cheapestVictimsWithGangs is like cheapestVictims but includes gang tasks, each of which stops its
// whole gang, and compares all schedulable workers of all the pools.
func (s *Scheduler) cheapestVictimsWithGangs(pools []*pool, need cyclamendyke.Resources) []*task {
	var best []*task
	lowestCost := 0.0
	for _, p := range pools {
		for c := range p.index.All() {
			victims, cost := s.victimsOn(s.workers[c.Name], need, isPreemptibleOrGang)
			if len(victims) > 0 && (best == nil || cost < lowestCost) {
				best, lowestCost = victims, cost
			}
		}
	}
	return best
}

func isPreemptible(j *job) bool {
	return j.policy.Preemptible()
}

func isPreemptibleOrGang(j *job) bool {
	return j.policy.Preemptible() || j.policy.AllOrNothing()
}

// victimsOn returns the cheapest tasks to stop so that need fits on w, and an upper bound on
// their cost; it returns none if need fits already or if stopping tasks can't make it fit.
func (s *Scheduler) victimsOn(w *worker, need cyclamendyke.Resources, mayStop func(*job) bool) ([]*task, float64) {
	available := w.free()
	if need.FitsIn(available) {
		return nil, 0
	}
	var victims []*task
	cost := 0.0
	for _, t := range s.preemptibleByCost(w, mayStop) {
		if need.FitsIn(available) {
			break
		}
		victims = append(victims, t)
		available = available.Add(t.reserved)
		cost += s.preemptionCost(t)
	}
	if !need.FitsIn(available) {
		return nil, 0
	}
	return s.dropUnneededVictims(victims, available, need), cost
}

// dropUnneededVictims removes each victim, the most expensive first, whose resources are not
// required for need to fit; the last victim is always required, since need didn't fit without it.
func (s *Scheduler) dropUnneededVictims(victims []*task, available, need cyclamendyke.Resources) []*task {
	for i := len(victims) - 2; i >= 0; i-- {
		if remaining := available.Sub(victims[i].reserved); need.FitsIn(remaining) {
			available = remaining
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

func (s *Scheduler) preemptibleByCost(w *worker, mayStop func(*job) bool) []*task {
	var tasks []*task
	for _, t := range w.tasks {
		if t.preemptible(mayStop(t.job)) {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(s.preemptionCost(a), s.preemptionCost(b)), compareTaskIDs(a.id, b.id))
	})
	return tasks
}

// preemptionCost returns the work that a stop may lose: the seconds since the task was placed times
// its reserved share of the zone's capacity, or its whole gang's.
func (s *Scheduler) preemptionCost(t *task) float64 {
	lost := t.reserved
	if t.job.policy.AllOrNothing() {
		lost = lost.Scale(int64(t.job.spec.Tasks))
	}
	return lost.DominantShare(s.capacity) * s.now.Sub(t.placedAt).Seconds()
}
