package scheduler

import "cyclamendyke"

// wake makes runnable the first of the blocked queues whose next task fits on w; others follow, one at a time, after it was tried.
func (s *Scheduler) wake(w *worker) {
	if !w.indexed {
		return
	}
	s.feedHolder(w)
	q := w.pool.blocked.first(w.free(), func(q *queue) bool { return s.mayFitOn(w, q) })
	if q == nil {
		return
	}
	s.ready(q)
	q.wokenBy = w
}

// wakeNext goes on after an attempt to place from q, which w had woken.
func (s *Scheduler) wakeNext(w *worker, q *queue) {
	if q.state == queueNoRoom {
		q.triedOn, q.triedIn = w, s.ticks
	}
	s.wake(w)
}

// mayFitOn reports whether it is worth trying a blocked queue whose next task fits on w.
func (s *Scheduler) mayFitOn(w *worker, q *queue) bool {
	if q.triedOn == w && q.triedIn == s.ticks {
		return false
	}
	j := q.head()
	if j == nil || !j.policy.AllAtOnce() || w.pool.holder == j {
		return true
	}
	return s.fitsInSum(w.pool, j.need.Scale(int64(j.waiting.count)))
}

// wakeTeam makes runnable what only the team's allotment held back.
func (s *Scheduler) wakeTeam(t *team) {
	var woken []*queue
	t.blocked.Ascend(func(q *queue) bool {
		if j := q.head(); j == nil || t.allows(wholeNeed(j)) {
			woken = append(woken, q)
		}
		return true
	})
	for _, q := range woken {
		s.ready(q)
	}
}

// wholeNeed returns what the next start of the job takes: one task, or all those of a gang.
func wholeNeed(j *job) cyclamendyke.Resources {
	if j.policy.AllAtOnce() {
		return j.need.Scale(int64(j.waiting.count))
	}
	return j.need
}
