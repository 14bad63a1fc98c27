package scheduler

import (
	"cmp"
	"slices"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

const (
	lastResortFactor = 4  // Times PreemptAfter until gangs are stopped too.
	preemptLookAt    = 8  // Workers compared for one eviction.
	preemptAtOnce    = 64 // Evictions begun in one go for one job.
	preemptVisited   = 4 * preemptLookAt
)

// preemptFor stops other work for an urgent job that has waited, and looks again later.
func (s *Scheduler) preemptFor(q *queue, j *job) {
	waited := s.now.Sub(j.waitingSince)
	if waited >= s.cfg.PreemptAfter {
		s.evictFor(q, j)
	}
	if j.preemptTimer {
		return
	}
	j.preemptTimer = true
	s.after(max(s.cfg.PreemptAfter-waited, s.cfg.PreemptAfter/2), func() {
		j.preemptTimer = false
		if j.state == jobActive && q.head() == j && q.state != queueRunnable {
			s.ready(q)
		}
	})
}

func (s *Scheduler) evictFor(q *queue, j *job) {
	for range preemptAtOnce {
		if j.evicting >= j.waiting.count || !q.team.allows(j.need.Scale(int64(j.evicting+1))) {
			return
		}
		victims := s.cheapestVictims(q.pools, j.need)
		if len(victims) == 0 && s.now.Sub(j.waitingSince) >= lastResortFactor*s.cfg.PreemptAfter {
			victims = s.lastVictims(q.pools, j.need)
		}
		if len(victims) == 0 {
			s.yieldTo(q)
			return
		}
		s.evict(j, victims)
	}
}

// yieldTo gives back the room that is held for other work in the pools of an urgent queue.
func (s *Scheduler) yieldTo(q *queue) {
	for _, p := range q.pools {
		if p.holder != nil && !p.holder.spec.Urgent {
			s.yieldHold(p.holder)
		}
	}
}

func (s *Scheduler) evict(j *job, victims []*task) {
	j.evicting++
	e := &eviction{job: j, left: len(victims)}
	for _, t := range victims {
		t.evicted = e
		s.taskEvent(cyclamendyke.EventPreempted, t, "for "+string(j.spec.Request))
		s.stop(t, cyclamendyke.StopCheckpoint)
	}
}

func (s *Scheduler) evictionStep(e *eviction) {
	e.left--
	if e.left == 0 {
		e.job.evicting--
	}
}

// cheapestVictims returns the tasks on one worker whose stop frees room for need and loses the least work.
func (s *Scheduler) cheapestVictims(pools []*pool, need cyclamendyke.Resources) []*task {
	var best []*task
	lowest := 0.0
	for _, p := range pools {
		seen, visited := 0, 0
		p.index.Reclaim(need, func(c *policy.Candidate) bool {
			visited++
			victims, cost := s.victimsOn(s.workers[c.Name], need, ofBatch)
			if len(victims) > 0 {
				seen++
				if best == nil || cost < lowest {
					best, lowest = victims, cost
				}
			}
			return seen < preemptLookAt && visited < preemptVisited
		})
		if best != nil {
			return best
		}
	}
	return nil
}

// lastVictims also takes tasks of gangs, each of which brings down its whole gang; it looks at every worker.
func (s *Scheduler) lastVictims(pools []*pool, need cyclamendyke.Resources) []*task {
	var best []*task
	lowest := 0.0
	for _, p := range pools {
		for c := range p.index.All() {
			victims, cost := s.victimsOn(s.workers[c.Name], need, ofBatchOrGang)
			if len(victims) > 0 && (best == nil || cost < lowest) {
				best, lowest = victims, cost
			}
		}
	}
	return best
}

func ofBatch(j *job) bool {
	return j.policy.Preemptible()
}

func ofBatchOrGang(j *job) bool {
	return j.policy.Preemptible() || j.policy.AllAtOnce()
}

// victimsOn returns the cheapest tasks whose stop would make room on w; none if there is room already or never.
func (s *Scheduler) victimsOn(w *worker, need cyclamendyke.Resources, mayStop func(*job) bool) ([]*task, float64) {
	room := w.free()
	if need.FitsIn(room) {
		return nil, 0
	}
	var victims []*task
	cost := 0.0
	for _, t := range s.preemptibleByCost(w, mayStop) {
		if need.FitsIn(room) {
			break
		}
		victims = append(victims, t)
		room = room.Add(t.reserved)
		cost += s.costOf(t)
	}
	if !need.FitsIn(room) {
		return nil, 0
	}
	return s.withoutNeedless(victims, room, need), cost
}

// withoutNeedless drops the dearest victims that room suffices without.
func (s *Scheduler) withoutNeedless(victims []*task, room, need cyclamendyke.Resources) []*task {
	for i := len(victims) - 2; i >= 0; i-- {
		if less := room.Sub(victims[i].reserved); need.FitsIn(less) {
			room = less
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
		return cmp.Or(cmp.Compare(s.costOf(a), s.costOf(b)), compareTasks(a.id, b.id))
	})
	return tasks
}

// costOf is the work that a stop may lose, in seconds of the whole zone.
func (s *Scheduler) costOf(t *task) float64 {
	taken := t.reserved
	if t.job.policy.AllAtOnce() {
		taken = taken.Scale(int64(t.job.spec.Tasks))
	}
	return taken.DominantShare(s.capacity) * s.now.Sub(t.since).Seconds()
}
