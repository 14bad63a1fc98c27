package scheduler

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
