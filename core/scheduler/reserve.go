package scheduler

import "cyclamendyke"

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
