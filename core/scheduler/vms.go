package scheduler

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

func (s *Scheduler) setVMs(vms []cyclamendyke.VM) {
	listed := make(map[cyclamendyke.WorkerName]bool, len(vms))
	ordered := slices.SortedFunc(slices.Values(vms), compareVMs)
	for _, vm := range ordered {
		if vm.Zone != s.cfg.Zone && s.cfg.Zone != "" {
			continue
		}
		listed[vm.Name] = true
		if w := s.workers[vm.Name]; w != nil {
			s.updateWorker(w, vm)
			continue
		}
		s.addWorker(vm)
	}
	for _, w := range s.workersInOrder() {
		if !listed[w.vm.Name] && w.absentSince.IsZero() {
			s.handleAbsentWorker(w)
		}
	}
	s.checkBarrier()
}

func (s *Scheduler) addWorker(vm cyclamendyke.VM) {
	p := s.ensurePool(vm.Pool)
	w := newWorker(vm, p)
	s.workers[vm.Name] = w
	p.workerCount++
	p.capacity = p.capacity.Add(w.capacity)
	s.capacity = s.capacity.Add(w.capacity)
	s.updateAllTeamOrders()
	if vm.State == cyclamendyke.VMLeaving {
		s.beginDrain(w)
	}
	s.emit(cyclamendyke.ClaimCommand{VM: vm})
}

func (s *Scheduler) updateWorker(w *worker, vm cyclamendyke.VM) {
	if vm.Pool != w.vm.Pool || vm.Rack != w.vm.Rack {
		vm.Pool, vm.Rack = w.vm.Pool, w.vm.Rack // A VM never changes its pool or rack.
	}
	wasLive := w.vm.State == cyclamendyke.VMLive
	w.vm = vm
	w.absentSince = time.Time{}
	if wasLive && vm.State == cyclamendyke.VMLeaving {
		s.beginDrain(w)
	}
	s.reindex(w)
}

// beginDrain stops a leaving worker's services at once and gives its other tasks a grace period to finish.
func (s *Scheduler) beginDrain(w *worker) {
	w.leavingSince = s.now
	s.releaseHoldsOn(w)
	s.reindex(w)
	for _, t := range w.tasksInOrder() {
		if t.job.policy.Restarts() && !t.job.spec.NotRepeatable {
			s.stop(t, cyclamendyke.StopCheckpoint)
		}
	}
	s.after(s.cfg.DrainGrace, func() { s.finishDrain(w) })
}

// finishDrain stops the worker's repeatable tasks; the others run until they end or the VM is removed.
func (s *Scheduler) finishDrain(w *worker) {
	if s.workers[w.vm.Name] != w || w.vm.State != cyclamendyke.VMLeaving {
		return
	}
	for _, t := range w.tasksInOrder() {
		if !t.job.spec.NotRepeatable {
			s.stop(t, cyclamendyke.StopCheckpoint)
		}
	}
}

// handleAbsentWorker stops placing tasks on a worker that is no longer in the VM list; it is
// removed once its leases have certainly lapsed.
func (s *Scheduler) handleAbsentWorker(w *worker) {
	w.absentSince = s.now
	s.releaseHoldsOn(w)
	s.reindex(w)
	s.scheduleRemoval(w)
}

// scheduleRemoval removes the worker once it has been absent and has not answered for the maximum lease lifetime.
func (s *Scheduler) scheduleRemoval(w *worker) {
	since := w.absentSince
	s.after(s.maxLeaseLifetime(), func() {
		if s.workers[w.vm.Name] != w || !w.absentSince.Equal(since) {
			return
		}
		if s.now.Sub(w.lastContact) < s.maxLeaseLifetime() {
			s.scheduleRemoval(w)
			return
		}
		s.removeWorker(w)
	})
}

func (s *Scheduler) removeWorker(w *worker) {
	s.markTasksLost(w, "the VM was removed")
	s.reindex(w)
	delete(s.workers, w.vm.Name)
	w.pool.workerCount--
	w.pool.capacity = w.pool.capacity.Sub(w.capacity)
	s.capacity = s.capacity.Sub(w.capacity)
	s.updateAllTeamOrders()
	s.emit(cyclamendyke.EndRenewalsCommand{Worker: w.vm.Name})
	s.checkBarrier()
}

func (s *Scheduler) setCapacity(w *worker, capacity cyclamendyke.Resources) {
	if capacity.IsZero() || capacity == w.capacity {
		return
	}
	change := capacity.Sub(w.capacity)
	w.capacity = capacity
	w.pool.capacity = w.pool.capacity.Add(change)
	s.capacity = s.capacity.Add(change)
	s.updateAllTeamOrders()
}

// reindex updates the worker's entry in its pool's index and wakes a blocked queue when the
// worker becomes schedulable.
func (s *Scheduler) reindex(w *worker) {
	schedulable := w.schedulable()
	free := w.free()
	reclaimable := free.Add(s.preemptibleReservations(w))
	switch {
	case schedulable && w.indexed:
		w.pool.index.Update(w.candidate, free, reclaimable)
	case schedulable:
		w.candidate.Free, w.candidate.Reclaimable = free, reclaimable
		w.pool.index.Add(w.candidate)
		w.indexed = true
		s.wake(w)
	case w.indexed:
		w.pool.index.Remove(w.candidate)
		w.indexed = false
	}
}

// preemptibleReservations returns the resources that preemption could free on the worker.
func (s *Scheduler) preemptibleReservations(w *worker) cyclamendyke.Resources {
	var sum cyclamendyke.Resources
	for _, t := range w.tasks {
		if t.preemptible(t.job.policy.Preemptible()) {
			sum = sum.Add(t.reserved)
		}
	}
	return sum
}

func (s *Scheduler) workersInOrder() []*worker {
	workers := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		workers = append(workers, w)
	}
	slices.SortFunc(workers, func(a, b *worker) int { return compareVMs(a.vm, b.vm) })
	return workers
}

func (s *Scheduler) teamsInOrder() []*team {
	teams := make([]*team, 0, len(s.teams))
	for _, t := range s.teams {
		teams = append(teams, t)
	}
	slices.SortFunc(teams, func(a, b *team) int { return cmp.Compare(a.name, b.name) })
	return teams
}

func (s *Scheduler) unfinishedJobs() []*job {
	jobs := make([]*job, 0, s.unfinishedCount)
	for _, j := range s.jobs {
		if j.state != jobEnded {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	return jobs
}

func compareVMs(a, b cyclamendyke.VM) int {
	return cmp.Compare(a.Name, b.Name)
}
