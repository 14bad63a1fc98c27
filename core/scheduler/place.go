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

func (s *Scheduler) reserve(t *task) {
	j, w := t.job, t.worker
	j.tasks[t.id.Index] = t
	j.racks[w.vm.Rack]++
	w.tasks[t.id] = t
	s.changeReserved(t, t.reserved)
}

// release gives back a task's room and wakes what now fits; it is called only on proof that the task is over or never started.
func (s *Scheduler) release(t *task) {
	s.unreserve(t)
	if j := t.worker.pinnedFor; j != nil && j.pinnedRoom() != nil {
		s.ready(j.queue)
	}
	s.wake(t.worker)
	s.wakeTeam(s.teamOf(t.job.spec.Team))
}

func (s *Scheduler) unreserve(t *task) {
	j, w := t.job, t.worker
	delete(j.tasks, t.id.Index)
	delete(w.tasks, t.id)
	j.racks[w.vm.Rack]--
	if j.racks[w.vm.Rack] == 0 {
		delete(j.racks, w.vm.Rack)
	}
	s.changeReserved(t, t.reserved.Scale(-1))
	if t.evicted != nil {
		s.evictionStep(t.evicted)
	}
}

func (s *Scheduler) changeReserved(t *task, change cyclamendyke.Resources) {
	w := t.worker
	owner := s.teamOf(t.job.spec.Team)
	w.reserved = w.reserved.Add(change)
	w.pool.reserved = w.pool.reserved.Add(change)
	owner.reserved = owner.reserved.Add(change)
	s.reindex(w)
	s.reorder(owner)
}

// enqueue puts a job with waiting tasks into its team's queue.
func (s *Scheduler) enqueue(j *job) {
	if j.state != jobActive || j.waiting.count == 0 || j.notBefore.After(s.now) {
		return
	}
	j.queue = s.queueOf(j)
	q := j.queue
	wasEmpty := q.head() == nil
	q.jobs.ReplaceOrInsert(j)
	if q.state == queueRunnable || wasEmpty || q.head() == j {
		s.ready(q)
	}
}

func (s *Scheduler) queueOf(j *job) *queue {
	owner := s.teamOf(j.spec.Team)
	key := queueKey{j.spec.Route, j.spec.Kind, j.spec.PerTask, j.spec.Urgent}
	q := owner.queues[key]
	if q == nil {
		q = newQueue(key, owner, j.policy.Rank())
		q.created = s.seq()
		q.pools = s.poolsOf(key.route, key.kind)
		owner.queues[key] = q
	}
	return q
}

// ready makes a queue runnable at the place of its first job, or removes it when it is empty.
func (s *Scheduler) ready(q *queue) {
	head := q.head()
	if head != nil && q.state == queueRunnable && q.headSeq == head.seq {
		s.reorder(q.team)
		return
	}
	s.leaveState(q)
	if head == nil {
		delete(q.team.queues, q.key)
		s.reorder(q.team)
		return
	}
	s.enterState(q, head, queueRunnable)
	q.team.runnable[urgencyOf(q.key.urgent)].ReplaceOrInsert(q)
	s.reorder(q.team)
}

func (s *Scheduler) enterState(q *queue, head *job, state queueState) {
	q.state = state
	q.headSeq = head.seq
	q.need = head.need
}

// leaveState takes a queue out of wherever its state has put it.
func (s *Scheduler) leaveState(q *queue) {
	switch q.state {
	case queueRunnable:
		q.team.runnable[urgencyOf(q.key.urgent)].Delete(q)
	case queueNoRoom:
		for _, p := range q.blockedIn {
			p.blocked.remove(q, s.valueOf)
		}
		q.blockedIn = nil
	case queueOverAllotment:
		q.team.blocked.Delete(q)
	}
	q.state = queueIdle
}

func (s *Scheduler) blockOnTeam(q *queue, j *job) {
	s.leaveState(q)
	s.enterState(q, j, queueOverAllotment)
	q.team.blocked.ReplaceOrInsert(q)
	s.reorder(q.team)
}

func (s *Scheduler) blockOnPools(q *queue, j *job) {
	s.leaveState(q)
	s.enterState(q, j, queueNoRoom)
	q.blockedIn = q.pools
	for _, p := range q.blockedIn {
		p.blocked.add(q, q.need, s.valueOf)
	}
	s.reorder(q.team)
	if j.spec.Urgent && s.cfg.Policies.Preempts {
		s.preemptFor(q, j)
	}
}

// recount brings the sums of waiting work in line with the job.
func (s *Scheduler) recount(j *job) {
	count := j.waiting.count
	if j.state == jobEnded || j.orphan {
		count = 0
	}
	change := count - j.counted
	if change == 0 {
		return
	}
	owner := s.teamOf(j.spec.Team)
	owner.wanted = owner.wanted.Add(j.spec.PerTask.Scale(int64(change)))
	if p := s.firstPool(j); p != nil {
		p.waiting += change
	}
	if j.counted == 0 {
		owner.waiting[j.spec.Route]++
	}
	if count == 0 {
		owner.waiting[j.spec.Route]--
	}
	j.counted = count
}

// firstPool returns the pool that the job's waiting tasks are counted in, the same for the whole of its life.
func (s *Scheduler) firstPool(j *job) *pool {
	if j.countedIn == "" && s.tables != nil {
		if pools := s.poolsOf(j.spec.Route, j.spec.Kind); len(pools) > 0 {
			j.countedIn = pools[0].name
		}
	}
	return s.pools[j.countedIn]
}
