package scheduler

import "cyclamendyke"

func (s *Scheduler) reserve(t *task) {
	j, w := t.job, t.worker
	j.tasks[t.id.Index] = t
	j.tasksPerRack[w.vm.Rack]++
	w.tasks[t.id] = t
	s.changeReserved(t, t.reserved)
}

// release frees a task's resources and wakes the queues that now fit; it is called only once
// the task has certainly ended or never started.
func (s *Scheduler) release(t *task) {
	s.unreserve(t)
	if j := t.worker.heldFor; j != nil && j.heldWorkerWithRoom() != nil {
		s.makeRunnable(j.queue)
	}
	s.wake(t.worker)
	s.wakeTeam(s.ensureTeam(t.job.spec.Team))
}

func (s *Scheduler) unreserve(t *task) {
	j, w := t.job, t.worker
	delete(j.tasks, t.id.Index)
	delete(w.tasks, t.id)
	j.tasksPerRack[w.vm.Rack]--
	if j.tasksPerRack[w.vm.Rack] == 0 {
		delete(j.tasksPerRack, w.vm.Rack)
	}
	s.changeReserved(t, t.reserved.Scale(-1))
	if t.eviction != nil {
		s.handleVictimEnded(t.eviction)
	}
}

func (s *Scheduler) changeReserved(t *task, change cyclamendyke.Resources) {
	w := t.worker
	owner := s.ensureTeam(t.job.spec.Team)
	w.reserved = w.reserved.Add(change)
	w.pool.reserved = w.pool.reserved.Add(change)
	owner.reserved = owner.reserved.Add(change)
	s.reindex(w)
	s.updateTeamOrder(owner)
}
