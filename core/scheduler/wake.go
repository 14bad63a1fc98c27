package scheduler

import "cyclamendyke"

// wake reserves free capacity on w for the gang that has the hold in its pool, then makes runnable
// the first blocked queue whose next task fits on w. After that queue was tried, wakeNext wakes the next.
func (s *Scheduler) wake(w *worker) {
	if !w.indexed {
		return
	}
	s.assignToHolder(w)
	q := w.pool.blocked.firstFitting(w.free(), func(q *queue) bool { return s.shouldTry(w, q) })
	if q == nil {
		return
	}
	s.makeRunnable(q)
	q.wokenBy = w
}

// wakeNext wakes the next queue for w after an attempt to place a task or gang from q, which was woken for w.
func (s *Scheduler) wakeNext(w *worker, q *queue) {
	if q.state == queueBlockedOnCapacity {
		q.lastTriedOn, q.lastTriedTick = w, s.ticks
	}
	s.wake(w)
}

// shouldTry reports whether to make runnable a blocked queue whose next task fits on w; it is false
// if the queue was tried for w without success in this tick, or if its gang exceeds the pool's free capacity.
func (s *Scheduler) shouldTry(w *worker, q *queue) bool {
	if q.lastTriedOn == w && q.lastTriedTick == s.ticks {
		return false
	}
	j := q.head()
	if j == nil || !j.policy.AllOrNothing() || w.pool.holder == j {
		return true
	}
	return s.fitsInTotal(w.pool, j.need.Scale(int64(j.waiting.count)))
}

// wakeTeam makes runnable the queues that only the team's allotment blocked.
func (s *Scheduler) wakeTeam(t *team) {
	var woken []*queue
	t.blocked.Ascend(func(q *queue) bool {
		if j := q.head(); j == nil || t.allows(nextStartNeed(j)) {
			woken = append(woken, q)
		}
		return true
	})
	for _, q := range woken {
		s.makeRunnable(q)
	}
}

// nextStartNeed returns what the next start of the job reserves: one task, or all waiting tasks of a gang.
func nextStartNeed(j *job) cyclamendyke.Resources {
	if j.policy.AllOrNothing() {
		return j.need.Scale(int64(j.waiting.count))
	}
	return j.need
}
