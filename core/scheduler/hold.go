package scheduler

import "time"

const (
	holdCheckInterval    = time.Second // Time between two checks for jobs to hold capacity for.
	singleTaskHoldFactor = 10          // A single task waits this many times HoldDelay.
)

// grantHolds lets the job that has waited longest in each pool hold capacity; a pool has one
// holder at a time, so that no two jobs wait for each other's capacity.
func (s *Scheduler) grantHolds() {
	if !s.cfg.Policies.ReservesCapacity || s.now.Before(s.nextHoldCheck) {
		return
	}
	s.nextHoldCheck = s.now.Add(holdCheckInterval)
	for _, name := range s.poolNames() {
		p := s.pools[name]
		if p.holder != nil {
			s.makeRunnable(p.holder.queue)
			continue
		}
		if q := p.blocked.longestWaiting(func(q *queue) bool { return s.eligibleForHold(p, q) }); q != nil {
			s.grantHold(p, q)
		}
	}
}

func (s *Scheduler) eligibleForHold(p *pool, q *queue) bool {
	j := q.head()
	if j == nil || heldPool(q, j) != nil {
		return false
	}
	starvedFor := s.now.Sub(j.starvedSince())
	if j.policy.AllOrNothing() {
		return starvedFor >= s.cfg.HoldDelay && s.taskCapacity(p, j) >= j.waiting.count
	}
	return starvedFor >= singleTaskHoldFactor*s.cfg.HoldDelay && j.need.FitsIn(p.usable(p.config.Shape))
}

// heldPool returns the pool in which the job holds capacity, or nil.
func heldPool(q *queue, j *job) *pool {
	for _, p := range q.pools {
		if p.holder == j {
			return p
		}
	}
	return nil
}

// grantHold holds one worker for a single task; a gang reserves all capacity that becomes free from now on.
func (s *Scheduler) grantHold(p *pool, q *queue) {
	j := q.head()
	p.holder = j
	s.after(s.cfg.MaxHoldTime, func() { s.expireHold(q, p, j) })
	if j.policy.AllOrNothing() {
		s.makeRunnable(q)
		return
	}
	c := p.index.MostFree(j.need)
	if c == nil {
		s.clearHold(j)
		return
	}
	w := s.workers[c.Name]
	w.heldFor = j
	j.heldWorker = w
	s.reindex(w)
}

// starvedSince returns the latest of the times at which the job began to wait, was last placed, or
// last had a hold expire.
func (j *job) starvedSince() time.Time {
	if j.holdWaitRestartedAt.After(j.waitingSince) {
		return j.holdWaitRestartedAt
	}
	return j.waitingSince
}

// assignToHolder reserves free capacity on w for the gang that has the hold in w's pool, unless
// urgent work waits for that capacity, and starts the gang once all its tasks have a reservation.
func (s *Scheduler) assignToHolder(w *worker) {
	j := w.pool.holder
	if j == nil || !j.policy.AllOrNothing() || !s.authority.Valid(s.now) {
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

// heldWorkerWithRoom returns the worker held for the job if its next task fits there now, or nil.
func (j *job) heldWorkerWithRoom() *worker {
	if j.heldWorker != nil && j.need.FitsIn(j.heldWorker.free()) {
		return j.heldWorker
	}
	return nil
}

// expireHold ends a hold that did not lead to a start in time; the job then has to wait for a new hold.
func (s *Scheduler) expireHold(q *queue, p *pool, j *job) {
	if p.holder != j || j.state != jobActive {
		return
	}
	j.holdWaitRestartedAt = s.now
	s.releaseHold(j)
	s.makeRunnable(q)
}

// releaseHold releases the capacity held for a job and wakes the queues that fit there.
func (s *Scheduler) releaseHold(j *job) {
	s.clearHold(j)
	for _, w := range s.unreserveGang(j) {
		s.wake(w)
	}
}

// clearHold clears the job's hold, if it has one, but keeps a gang's reservations.
func (s *Scheduler) clearHold(j *job) {
	for _, p := range s.pools {
		if p.holder == j {
			p.holder = nil
		}
	}
	if w := j.heldWorker; w != nil {
		j.heldWorker = nil
		w.heldFor = nil
		s.reindex(w)
	}
}

// releaseHoldsOn releases the capacity held on a worker that accepts no more tasks.
func (s *Scheduler) releaseHoldsOn(w *worker) {
	if w.heldFor != nil {
		s.clearHold(w.heldFor)
	}
	for _, t := range w.tasksInOrder() {
		if t.state != taskReserved {
			continue
		}
		s.release(t)
		t.job.waiting.add(t.id.Index)
		s.updateWaitingTotals(t.job)
		s.enqueue(t.job)
	}
}
