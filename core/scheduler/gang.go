package scheduler

import (
	"cyclamendyke"
)

// placeGang starts all waiting tasks of a gang if all of them fit, or else blocks its queue.
func (s *Scheduler) placeGang(q *queue, j *job) {
	totalNeed := j.need.Scale(int64(j.waiting.count))
	if !q.team.allows(totalNeed) {
		s.blockOnAllotment(q, j)
		return
	}
	if s.reserveWholeGang(q, j, totalNeed) {
		s.startGang(q, j)
		return
	}
	s.blockOnCapacity(q, j)
}

// reserveWholeGang reserves capacity for all waiting tasks in one pool and reports whether it
// could; a partial reservation is kept only in the pool in which the gang has a hold.
func (s *Scheduler) reserveWholeGang(q *queue, j *job, totalNeed cyclamendyke.Resources) bool {
	if p := heldPool(q, j); p != nil {
		return s.reserveGangIn(p, j)
	}
	for _, p := range q.pools {
		if !s.fitsInTotal(p, totalNeed) {
			continue
		}
		if s.reserveGangIn(p, j) {
			return true
		}
		s.unreserveGang(j)
	}
	return false
}

// fitsInTotal reports whether totalNeed fits in the pool's free capacity, however that is split
// among workers.
func (s *Scheduler) fitsInTotal(p *pool, totalNeed cyclamendyke.Resources) bool {
	return totalNeed.FitsIn(p.usable(p.capacity).Sub(p.reserved))
}

// reserveGangIn reserves capacity for as many waiting tasks as fit in the pool and reports whether all do.
func (s *Scheduler) reserveGangIn(p *pool, j *job) bool {
	for j.waiting.count > 0 {
		w := s.chooseWorkerIn(j, p)
		if w == nil {
			return false
		}
		s.assign(j, w)
	}
	return true
}

// taskCapacity returns how many tasks of the job would fit on the pool's schedulable workers if those were empty.
func (s *Scheduler) taskCapacity(p *pool, j *job) int {
	count := 0
	for _, w := range s.workers {
		if w.pool == p && w.schedulable() {
			count += countFits(j.need, p.usable(w.capacity))
		}
	}
	return count
}

// countFits returns how many times need fits into available.
func countFits(need, available cyclamendyke.Resources) int {
	times := -1
	for _, pair := range [...][2]int64{
		{int64(need.Cores), int64(available.Cores)},
		{int64(need.Memory), int64(available.Memory)},
		{need.Accelerators, available.Accelerators},
		{need.Slots, available.Slots},
		{need.Connections, available.Connections},
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

// startGang sends the starts of a gang that has reservations for all its tasks.
func (s *Scheduler) startGang(q *queue, j *job) {
	s.clearHold(j)
	for _, t := range j.tasksInOrder() {
		if t.state == taskReserved {
			s.sendStart(t)
		}
	}
	s.makeRunnable(q)
}

// unreserveGang clears a gang's hold, releases the reservations of its tasks that have not been
// started, and returns the workers of those tasks; it does nothing for other jobs.
func (s *Scheduler) unreserveGang(j *job) []*worker {
	if !j.policy.AllOrNothing() {
		return nil
	}
	s.clearHold(j)
	var workers []*worker
	for _, t := range j.tasksInOrder() {
		if t.state != taskReserved {
			continue
		}
		s.unreserve(t)
		j.waiting.add(t.id.Index)
		workers = append(workers, t.worker)
	}
	s.updateWaitingTotals(j)
	return workers
}

// restartGang stops the remaining tasks of a gang after one was lost or failed; the gang is
// queued again once all have ended.
func (s *Scheduler) restartGang(j *job) {
	j.gangStopping = true
	for _, t := range j.tasksInOrder() {
		s.stop(t, cyclamendyke.StopKill)
	}
	s.requeueStoppedGang(j)
}

// requeueStoppedGang queues all tasks of a stopping gang again once those that were placed have ended.
func (s *Scheduler) requeueStoppedGang(j *job) {
	if !j.gangStopping || len(j.tasks) > 0 || j.state != jobActive {
		return
	}
	j.gangStopping = false
	j.results = nil
	j.done, j.failed = 0, 0
	j.waiting = newIndexSet(j.spec.Tasks)
	j.waitingSince = s.now
	s.updateWaitingTotals(j)
	s.enqueue(j)
}
