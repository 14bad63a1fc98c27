package scheduler

import (
	"cyclamendyke"
	"cyclamendyke/core/invariant"
	"cyclamendyke/core/policy"
)

// placeWaiting places tasks until no queue is runnable, the authority ends or the limit for one tick is reached.
func (s *Scheduler) placeWaiting() {
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

// nextQueue returns the first runnable queue of the team with the lowest share, urgent work first.
func (s *Scheduler) nextQueue() *queue {
	for u := range urgencyLevels {
		name, found := s.teamOrders[u].First()
		if !found {
			continue
		}
		first, _ := s.teams[name].runnable[u].Min()
		return first
	}
	return nil
}

// placeFrom places one task, or a whole gang, of the queue's first job, or blocks the queue.
func (s *Scheduler) placeFrom(q *queue) {
	wokenBy := q.wokenBy
	q.wokenBy = nil
	j := q.head()
	switch {
	case j == nil:
		s.makeRunnable(q)
	case j.policy.AllOrNothing():
		s.placeGang(q, j)
	case !q.team.allows(j.need):
		s.blockOnAllotment(q, j)
	default:
		s.placeTask(q, j)
	}
	if wokenBy != nil {
		s.wakeNext(wokenBy, q)
	}
}

func (s *Scheduler) placeTask(q *queue, j *job) {
	w := s.chooseWorker(j, q.pools)
	if w == nil {
		s.blockOnCapacity(q, j)
		return
	}
	if heldPool(q, j) != nil {
		s.clearHold(j)
	}
	t := s.assign(j, w)
	j.holdWaitRestartedAt = s.now
	s.sendStart(t)
	s.makeRunnable(q)
}

// chooseWorker returns a worker on which one task of the job fits, or nil.
func (s *Scheduler) chooseWorker(j *job, pools []*pool) *worker {
	if w := j.heldWorkerWithRoom(); w != nil {
		return w
	}
	for _, p := range pools {
		if w := s.chooseWorkerIn(j, p); w != nil {
			return w
		}
	}
	return nil
}

func (s *Scheduler) chooseWorkerIn(j *job, p *pool) *worker {
	request := policy.Request{Need: j.need, TasksByRack: j.tasksPerRack, Accept: acceptAll}
	if s.canExcludeFailed(j, p) {
		request.Accept = func(c *policy.Candidate) bool { return !j.hasFailedOn(s.workers[c.Name]) }
	}
	c := j.policy.Place(p.index, request)
	if c == nil {
		return nil
	}
	return s.workers[c.Name]
}

// canExcludeFailed reports whether placement may skip the workers on which the job failed; a
// gang that has waited for HoldDelay uses them again, since it may need all workers.
func (s *Scheduler) canExcludeFailed(j *job, p *pool) bool {
	if len(j.failedOn) == 0 || p.index.Len() <= len(j.failedOn) {
		return false
	}
	return !j.policy.AllOrNothing() || s.now.Sub(j.waitingSince) < s.cfg.HoldDelay
}

func acceptAll(*policy.Candidate) bool {
	return true
}

// assign reserves resources on w for the job's next waiting task.
func (s *Scheduler) assign(j *job, w *worker) *task {
	t := &task{
		id:       cyclamendyke.TaskID{Request: j.spec.Request, Index: j.waiting.pop()},
		job:      j,
		worker:   w,
		reserved: j.need,
		placedAt: s.now,
	}
	s.updateWaitingTotals(j)
	s.reserve(t)
	s.assertPlaced(t)
	return t
}

// sendStart starts a task whose resources are reserved.
func (s *Scheduler) sendStart(t *task) {
	j := t.job
	s.assertStart(t)
	if j.spec.NotRepeatable {
		s.assert(!j.mayHaveStarted && !j.sentIndices.has(t.id.Index), invariant.OnceOnly, "%s", t.id)
		j.sentIndices.add(t.id.Index)
	}
	j.startsSent++
	t.state = taskStarting
	t.startSentAt = s.now
	t.sentIncarnation = t.worker.incarnation
	s.emitTaskEvent(cyclamendyke.EventPlaced, t, "")
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
