package scheduler

import (
	"cyclamendyke"
)

// placeGang starts all waiting tasks of a gang at once, or holds room for it, or blocks its queue.
func (s *Scheduler) placeGang(q *queue, j *job) {
	whole := j.need.Scale(int64(j.waiting.count))
	if !q.team.allows(whole) {
		s.blockOnTeam(q, j)
		return
	}
	if s.collectGang(q, j, whole) {
		s.startGang(q, j)
		return
	}
	s.blockOnPools(q, j)
}

// collectGang reserves room for all waiting tasks in one pool and reports whether it could; what it found is kept only where room is held for the gang.
func (s *Scheduler) collectGang(q *queue, j *job, whole cyclamendyke.Resources) bool {
	if p := holding(q, j); p != nil {
		return s.reserveGang(p, j)
	}
	for _, p := range q.pools {
		if !s.fitsInSum(p, whole) {
			continue
		}
		if s.reserveGang(p, j) {
			return true
		}
		s.releaseHolds(j)
	}
	return false
}

func (s *Scheduler) fitsInSum(p *pool, whole cyclamendyke.Resources) bool {
	return whole.FitsIn(p.usable(p.capacity).Sub(p.reserved))
}

// reserveGang reserves room for as many waiting tasks as the pool has room for and reports whether that is all.
func (s *Scheduler) reserveGang(p *pool, j *job) bool {
	for j.waiting.count > 0 {
		w := s.chooseIn(j, p)
		if w == nil {
			return false
		}
		s.assign(j, w)
	}
	return true
}

// placesIn returns how many tasks of the job an otherwise empty pool would hold.
func (s *Scheduler) placesIn(p *pool, j *job) int {
	places := 0
	for _, w := range s.workers {
		if w.pool == p && w.takesWork() {
			places += timesIn(j.need, p.usable(w.capacity))
		}
	}
	return places
}

// timesIn returns how often need fits into room.
func timesIn(need, room cyclamendyke.Resources) int {
	times := -1
	for _, pair := range [...][2]int64{
		{int64(need.Cores), int64(room.Cores)},
		{int64(need.Memory), int64(room.Memory)},
		{need.Accelerators, room.Accelerators},
		{need.Slots, room.Slots},
		{need.Connections, room.Connections},
	} {
		if pair[0] <= 0 {
			continue
		}
		fits := int(pair[1] / pair[0])
		if times < 0 || fits < times {
			times = fits
		}
	}
	return max(times, 0)
}

// startGang sends the starts of a gang whose every task has room.
func (s *Scheduler) startGang(q *queue, j *job) {
	s.dropHold(j)
	for _, t := range j.tasksInOrder() {
		if t.state == taskHeld {
			s.send(t)
		}
	}
	s.ready(q)
}

// releaseHolds gives back the room that a gang holds without having started and returns the workers that it was on.
func (s *Scheduler) releaseHolds(j *job) []*worker {
	if !j.policy.AllAtOnce() {
		return nil
	}
	s.dropHold(j)
	var workers []*worker
	for _, t := range j.tasksInOrder() {
		if t.state != taskHeld {
			continue
		}
		s.unreserve(t)
		j.waiting.add(t.id.Index)
		workers = append(workers, t.worker)
	}
	s.recount(j)
	return workers
}

// failGang stops the rest of a gang that lost a task; it starts again once all have ended.
func (s *Scheduler) failGang(j *job) {
	j.gangBroken = true
	for _, t := range j.tasksInOrder() {
		s.stop(t, cyclamendyke.StopKill)
	}
	s.mendGang(j)
}

func (s *Scheduler) mendGang(j *job) {
	if !j.gangBroken || len(j.tasks) > 0 || j.state != jobActive {
		return
	}
	j.gangBroken = false
	j.results = nil
	j.done, j.failed = 0, 0
	j.waiting = newSpans(j.spec.Tasks)
	j.waitingSince = s.now
	s.recount(j)
	s.enqueue(j)
}
