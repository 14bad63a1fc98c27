package scheduler

import "time"

const (
	holdInterval     = time.Second // Between two offers of room to hold.
	singleHoldFactor = 10          // A single task waits this many times as long as a gang.
)

// offerHolds lets in each pool the job that has waited longest hold room, one at a time so that no two wait for each other.
func (s *Scheduler) offerHolds() {
	if !s.cfg.Policies.Holds || s.now.Before(s.nextHold) {
		return
	}
	s.nextHold = s.now.Add(holdInterval)
	for _, name := range s.poolNames() {
		p := s.pools[name]
		if p.holder != nil {
			s.ready(p.holder.queue)
			continue
		}
		if q := p.blocked.oldest(func(q *queue) bool { return s.mayHold(p, q) }); q != nil {
			s.holdFor(p, q)
		}
	}
}

func (s *Scheduler) mayHold(p *pool, q *queue) bool {
	j := q.head()
	if j == nil || holding(q, j) != nil {
		return false
	}
	passed := s.now.Sub(j.passedSince())
	if j.policy.AllAtOnce() {
		return passed >= s.cfg.HoldAfter && s.placesIn(p, j) >= j.waiting.count
	}
	return passed >= singleHoldFactor*s.cfg.HoldAfter && j.need.FitsIn(p.usable(p.table.Shape))
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

// feedHolder gives room freed on w to the gang that room is held for, unless urgent work waits for it, and starts the gang when that was the last it needed.
func (s *Scheduler) feedHolder(w *worker) {
	j := w.pool.holder
	if j == nil || !j.policy.AllAtOnce() || !s.authority.Valid(s.now) {
		return
	}
	if len(w.pool.blocked.teams[urgent]) > 0 && !j.spec.Urgent {
		return
	}
	for j.waiting.count > 0 && j.need.FitsIn(w.free()) && j.queue.team.allows(j.need) {
		s.assign(j, w)
	}
	if j.waiting.count == 0 {
		s.startGang(j.queue, j)
	}
}

// pinnedRoom returns the worker kept for the job if it has room by now.
func (j *job) pinnedRoom() *worker {
	if j.pinned != nil && j.need.FitsIn(j.pinned.free()) {
		return j.pinned
	}
	return nil
}

// giveUpHold ends a hold that came to nothing; the job waits for another from now on.
func (s *Scheduler) giveUpHold(q *queue, p *pool, j *job) {
	if p.holder != j || j.state != jobActive {
		return
	}
	j.lastPlaced = s.now
	s.yieldHold(j)
	s.ready(q)
}

// yieldHold gives back the room that is held for a job.
func (s *Scheduler) yieldHold(j *job) {
	s.dropHold(j)
	for _, w := range s.releaseHolds(j) {
		s.wake(w)
	}
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
