package scheduler

import (
	"time"

	"cyclamendyke"
)

const gangRecheck = time.Second

// placeGang starts all waiting tasks of a gang at once, or holds room for it, or blocks its queue.
func (s *Scheduler) placeGang(q *queue, j *job) {
	whole := j.need.Scale(int64(j.waiting.count))
	if !q.team.allows(whole) {
		s.blockOnTeam(q, j)
		return
	}
	for _, p := range s.gangPools(q, j) {
		if !s.fitsInSum(p, whole) {
			continue
		}
		if s.reserveGang(p, j) {
			s.startGang(q, j)
			return
		}
		s.releaseHolds(j)
	}
	if s.holdForGang(q, j) {
		return
	}
	s.blockOnPools(q, j)
	s.recheckGang(q, j)
}

// gangPools returns the pool that already holds room for the gang, or all that might.
func (s *Scheduler) gangPools(q *queue, j *job) []*pool {
	for _, p := range q.pools {
		if p.holder == j {
			return nil
		}
	}
	return q.pools
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

// holdForGang lets a gang that has waited collect room, one gang in a pool so that no two wait for each other, and reports whether it started.
func (s *Scheduler) holdForGang(q *queue, j *job) bool {
	if s.now.Sub(j.waitingSince) < s.cfg.GangHoldAfter {
		return false
	}
	p := s.poolToHold(q, j)
	if p == nil {
		return false
	}
	if p.holder == nil {
		p.holder = j
		s.after(s.cfg.GangHoldMax, func() { s.giveUpHolds(q, p, j) })
	}
	if !s.reserveGang(p, j) {
		return false
	}
	s.startGang(q, j)
	return true
}

func (s *Scheduler) poolToHold(q *queue, j *job) *pool {
	for _, p := range q.pools {
		if p.holder == j {
			return p
		}
	}
	for _, p := range q.pools {
		if p.holder == nil && s.placesIn(p, j) >= j.waiting.count {
			return p
		}
	}
	return nil
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
	s.dropHolder(j)
	for _, t := range j.tasksInOrder() {
		if t.state == taskHeld {
			s.send(t)
		}
	}
	s.ready(q)
}

// recheckGang looks at a blocked gang again after a while, since it may be time to hold room for it.
func (s *Scheduler) recheckGang(q *queue, j *job) {
	if j.gangTimer {
		return
	}
	j.gangTimer = true
	s.after(gangRecheck, func() {
		j.gangTimer = false
		if j.state == jobActive && q.head() == j && q.state != queueRunnable {
			s.ready(q)
		}
	})
}

// giveUpHolds puts a gang that could not be completed behind the others.
func (s *Scheduler) giveUpHolds(q *queue, p *pool, j *job) {
	if p.holder != j || j.state != jobActive {
		return
	}
	q.jobs.Delete(j)
	j.seq = s.seq()
	j.waitingSince = s.now
	for _, w := range s.releaseHolds(j) {
		s.wake(w)
	}
	s.enqueue(j)
	s.ready(q)
}

// releaseHolds gives back the room that a gang holds without having started and returns the workers that it was on.
func (s *Scheduler) releaseHolds(j *job) []*worker {
	if !j.policy.AllAtOnce() {
		return nil
	}
	s.dropHolder(j)
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

func (s *Scheduler) dropHolder(j *job) {
	for _, p := range s.pools {
		if p.holder == j {
			p.holder = nil
		}
	}
}

// dropHolds gives back the room that gangs hold on a worker which takes no more work.
func (s *Scheduler) dropHolds(w *worker) {
	for _, t := range w.tasksInOrder() {
		if t.state != taskHeld {
			continue
		}
		s.release(t)
		t.job.waiting.add(t.id.Index)
		s.recount(t.job)
		s.enqueue(t.job)
	}
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
