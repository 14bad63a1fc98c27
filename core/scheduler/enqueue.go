package scheduler

// enqueue adds an active job with waiting tasks to the queue for its key, once any restart delay is over.
func (s *Scheduler) enqueue(j *job) {
	if j.state != jobActive || j.waiting.count == 0 || j.notBefore.After(s.now) {
		return
	}
	j.queue = s.ensureQueue(j)
	q := j.queue
	wasEmpty := q.head() == nil
	q.jobs.ReplaceOrInsert(j)
	if q.state == queueRunnable || wasEmpty || q.head() == j {
		s.makeRunnable(q)
	}
}

func (s *Scheduler) ensureQueue(j *job) *queue {
	owner := s.ensureTeam(j.spec.Team)
	key := queueKey{j.spec.Route, j.spec.Kind, j.spec.PerTask, j.spec.Urgent}
	q := owner.queues[key]
	if q == nil {
		q = newQueue(key, owner, j.policy.Rank())
		q.createdSeq = s.nextSeq()
		q.pools = s.eligiblePools(key.route, key.kind)
		owner.queues[key] = q
	}
	return q
}

// makeRunnable makes a queue runnable, ordered by its first job, or deletes it if it is empty.
func (s *Scheduler) makeRunnable(q *queue) {
	head := q.head()
	if head != nil && q.state == queueRunnable && q.headSeq == head.seq {
		s.updateTeamOrder(q.team)
		return
	}
	s.leaveState(q)
	if head == nil {
		delete(q.team.queues, q.key)
		s.updateTeamOrder(q.team)
		return
	}
	s.enterState(q, head, queueRunnable)
	q.team.runnable[urgencyOf(q.key.urgent)].ReplaceOrInsert(q)
	s.updateTeamOrder(q.team)
}

func (s *Scheduler) enterState(q *queue, head *job, state queueState) {
	q.state = state
	q.headSeq = head.seq
	q.need = head.need
}

// leaveState removes a queue from the set that belongs to its state.
func (s *Scheduler) leaveState(q *queue) {
	switch q.state {
	case queueRunnable:
		q.team.runnable[urgencyOf(q.key.urgent)].Delete(q)
	case queueBlockedOnCapacity:
		for _, p := range q.blockedIn {
			p.blocked.remove(q, s.teamOrderKey)
		}
		q.blockedIn = nil
	case queueBlockedOnAllotment:
		q.team.blocked.Delete(q)
	}
	q.state = queueIdle
}

func (s *Scheduler) blockOnAllotment(q *queue, j *job) {
	s.leaveState(q)
	s.enterState(q, j, queueBlockedOnAllotment)
	q.team.blocked.ReplaceOrInsert(q)
	s.updateTeamOrder(q.team)
}

func (s *Scheduler) blockOnCapacity(q *queue, j *job) {
	s.leaveState(q)
	s.enterState(q, j, queueBlockedOnCapacity)
	q.blockedIn = q.pools
	for _, p := range q.blockedIn {
		p.blocked.add(q, q.need, s.teamOrderKey)
	}
	s.updateTeamOrder(q.team)
	if j.spec.Urgent && s.cfg.Policies.Preempts {
		s.preemptFor(q, j)
	}
}

// updateWaitingTotals updates the team's and the pool's totals after the job's number of waiting
// tasks changed.
func (s *Scheduler) updateWaitingTotals(j *job) {
	count := j.waiting.count
	if j.state == jobEnded || j.orphan {
		count = 0
	}
	change := count - j.countedTasks
	if change == 0 {
		return
	}
	owner := s.ensureTeam(j.spec.Team)
	owner.demand = owner.demand.Add(j.spec.PerTask.Scale(int64(change)))
	if p := s.waitingTasksPool(j); p != nil {
		p.waitingTasks += change
	}
	if j.countedTasks == 0 {
		owner.waitingJobs[j.spec.Route]++
	}
	if count == 0 {
		owner.waitingJobs[j.spec.Route]--
	}
	j.countedTasks = count
}

// waitingTasksPool returns the pool in which the job's waiting tasks are counted; it stays the
// same for the job's lifetime.
func (s *Scheduler) waitingTasksPool(j *job) *pool {
	if j.countedPool == "" && s.tables != nil {
		if pools := s.eligiblePools(j.spec.Route, j.spec.Kind); len(pools) > 0 {
			j.countedPool = pools[0].name
		}
	}
	return s.pools[j.countedPool]
}
