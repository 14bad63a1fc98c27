package scheduler

import (
	"cyclamendyke"
	"cyclamendyke/core/invariant"
	"cyclamendyke/core/policy"
)

// place makes decisions until nothing that waits has room.
func (s *Scheduler) place() {
	for range s.cfg.PlacementsPerTick {
		if !s.authority.Valid(s.now) {
			return
		}
		q := s.nextQueue()
		if q == nil {
			return
		}
		s.placeFrom(q)
	}
}

// nextQueue returns the first runnable queue of the least served team, urgent work before the rest.
func (s *Scheduler) nextQueue() *queue {
	for u := range urgencies {
		name, found := s.orders[u].First()
		if !found {
			continue
		}
		first, _ := s.teams[name].runnable[u].Min()
		return first
	}
	return nil
}

// placeFrom places one task, or one gang, of the queue's first job, or blocks the queue.
func (s *Scheduler) placeFrom(q *queue) {
	wokenBy := q.wokenBy
	q.wokenBy = nil
	j := q.head()
	switch {
	case j == nil:
		s.ready(q)
	case j.policy.AllAtOnce():
		s.placeGang(q, j)
	case !q.team.allows(j.need):
		s.blockOnTeam(q, j)
	default:
		s.placeTask(q, j)
	}
	if wokenBy != nil {
		s.wakeNext(wokenBy, q)
	}
}

func (s *Scheduler) placeTask(q *queue, j *job) {
	w := s.choose(j, q.pools)
	if w == nil {
		s.blockOnPools(q, j)
		return
	}
	if holding(q, j) != nil {
		s.dropHold(j)
	}
	t := s.assign(j, w)
	j.lastPlaced = s.now
	s.send(t)
	s.ready(q)
}

// choose returns a worker with room for one task of the job.
func (s *Scheduler) choose(j *job, pools []*pool) *worker {
	if w := j.pinnedRoom(); w != nil {
		return w
	}
	for _, p := range pools {
		if w := s.chooseIn(j, p); w != nil {
			return w
		}
	}
	return nil
}

func (s *Scheduler) chooseIn(j *job, p *pool) *worker {
	request := policy.Request{Need: j.need, Racks: j.racks, Accept: acceptAll}
	if s.canAvoid(j, p) {
		request.Accept = func(c *policy.Candidate) bool { return !j.avoids(s.workers[c.Name]) }
	}
	c := j.policy.Place(p.index, request)
	if c == nil {
		return nil
	}
	return s.workers[c.Name]
}

// canAvoid reports whether the job may leave out the workers on which it failed; a gang that has waited takes them again, since it may need all.
func (s *Scheduler) canAvoid(j *job, p *pool) bool {
	if len(j.failedOn) == 0 || p.index.Len() <= len(j.failedOn) {
		return false
	}
	return !j.policy.AllAtOnce() || s.now.Sub(j.waitingSince) < s.cfg.HoldAfter
}

func acceptAll(*policy.Candidate) bool {
	return true
}

// assign reserves room on w for the job's next waiting task.
func (s *Scheduler) assign(j *job, w *worker) *task {
	t := &task{
		id:       cyclamendyke.TaskID{Request: j.spec.Request, Index: j.waiting.pop()},
		job:      j,
		worker:   w,
		reserved: j.need,
		since:    s.now,
	}
	s.recount(j)
	s.reserve(t)
	s.assertPlaced(t)
	return t
}

// send asks for the start of a task that has its room reserved.
func (s *Scheduler) send(t *task) {
	j := t.job
	s.assertStart(t)
	if j.spec.NotRepeatable {
		s.assert(!j.mayHaveStarted && !j.sentOnce.has(t.id.Index), invariant.OnceOnly, "%s", t.id)
		j.sentOnce.add(t.id.Index)
	}
	j.startsSent++
	t.state = taskStarting
	t.sent = s.now
	t.sentTo = t.worker.incarnation
	s.taskEvent(cyclamendyke.EventPlaced, t, "")
	s.emitStart(t)
}

func (s *Scheduler) emitStart(t *task) {
	s.emit(cyclamendyke.StartCommand{
		Worker: t.worker.vm.Name,
		Start: cyclamendyke.TaskStart{
			Epoch:    s.authority.Epoch,
			Task:     t.id,
			Job:      t.job.spec,
			Reserved: t.reserved,
		},
		NotAfter: s.authority.Until,
	})
}
