package scheduler

import "time"

const holdInterval = time.Second // Between two offers of room to hold.

// offerHolds lets in each pool the job that has waited longest hold room, one at a time so that no two wait for each other.
func (s *Scheduler) offerHolds() {
	if !s.cfg.Policies.Holds || s.now.Before(s.nextHold) {
		return
	}
	s.nextHold = s.now.Add(holdInterval)
	for _, name := range s.poolNames() {
		p := s.pools[name]
		if p.holder != nil {
			continue
		}
		if q := p.blocked.oldest(func(q *queue) bool { return s.mayHold(p, q) }); q != nil {
			s.holdFor(p, q)
		}
	}
}

func (s *Scheduler) mayHold(p *pool, q *queue) bool {
	j := q.head()
	if j == nil || s.now.Sub(j.passedSince()) < s.cfg.HoldAfter || holding(q, j) != nil {
		return false
	}
	if j.policy.AllAtOnce() {
		return s.placesIn(p, j) >= j.waiting.count
	}
	return j.need.FitsIn(p.usable(p.table.Shape))
}

// holding returns the pool that holds room for the job, or nil.
func holding(q *queue, j *job) *pool {
	for _, p := range q.pools {
		if p.holder == j {
			return p
		}
	}
	return nil
}

// holdFor keeps one worker for a single task, or for a gang whatever room there is from now on.
func (s *Scheduler) holdFor(p *pool, q *queue) {
	j := q.head()
	p.holder = j
	s.after(s.cfg.HoldMax, func() { s.giveUpHold(q, p, j) })
	if j.policy.AllAtOnce() {
		s.ready(q)
		return
	}
	c := p.index.Roomiest(j.need)
	if c == nil {
		s.dropHold(j)
		return
	}
	w := s.workers[c.Name]
	w.pinnedFor = j
	j.pinned = w
	s.reindex(w)
}

// passedSince returns from when on the job has waited without getting a place.
func (j *job) passedSince() time.Time {
	if j.lastPlaced.After(j.waitingSince) {
		return j.lastPlaced
	}
	return j.waitingSince
}

// pinnedRoom returns the worker kept for the job if it has room by now.
func (j *job) pinnedRoom() *worker {
	if j.pinned != nil && j.need.FitsIn(j.pinned.free()) {
		return j.pinned
	}
	return nil
}

// giveUpHold ends a hold that came to nothing; a gang goes behind the others.
func (s *Scheduler) giveUpHold(q *queue, p *pool, j *job) {
	if p.holder != j || j.state != jobActive {
		return
	}
	j.waitingSince = s.now
	if !j.policy.AllAtOnce() {
		s.dropHold(j)
		return
	}
	s.leaveState(q)
	q.jobs.Delete(j)
	j.seq = s.seq()
	for _, w := range s.releaseHolds(j) {
		s.wake(w)
	}
	q.jobs.ReplaceOrInsert(j)
	s.ready(q)
}

// dropHold ends the job's hold, if it has one.
func (s *Scheduler) dropHold(j *job) {
	for _, p := range s.pools {
		if p.holder == j {
			p.holder = nil
		}
	}
	if w := j.pinned; w != nil {
		j.pinned = nil
		w.pinnedFor = nil
		s.reindex(w)
	}
}

// dropHolds gives back what is held on a worker that takes no more work.
func (s *Scheduler) dropHolds(w *worker) {
	if w.pinnedFor != nil {
		s.dropHold(w.pinnedFor)
	}
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
