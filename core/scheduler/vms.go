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
		if !listed[w.vm.Name] && w.goneSince.IsZero() {
			s.workerGone(w)
		}
	}
	s.checkBarrier()
}

func (s *Scheduler) addWorker(vm cyclamendyke.VM) {
	p := s.poolOf(vm.Pool)
	w := newWorker(vm, p)
	s.workers[vm.Name] = w
	p.workers++
	p.capacity = p.capacity.Add(w.capacity)
	s.capacity = s.capacity.Add(w.capacity)
	s.capacityChanged()
	if vm.State == cyclamendyke.VMLeaving {
		s.workerLeaving(w)
	}
	s.emit(cyclamendyke.ClaimCommand{VM: vm})
}

func (s *Scheduler) updateWorker(w *worker, vm cyclamendyke.VM) {
	if vm.Pool != w.vm.Pool || vm.Rack != w.vm.Rack {
		vm.Pool, vm.Rack = w.vm.Pool, w.vm.Rack // A VM keeps its place for life.
	}
	wasLive := w.vm.State == cyclamendyke.VMLive
	w.vm = vm
	w.goneSince = time.Time{}
	if wasLive && vm.State == cyclamendyke.VMLeaving {
		s.workerLeaving(w)
	}
	s.reindex(w)
}

// workerLeaving moves services away and gives batch work a grace to finish.
func (s *Scheduler) workerLeaving(w *worker) {
	w.leavingFrom = s.now
	s.dropHolds(w)
	s.reindex(w)
	for _, t := range w.tasksInOrder() {
		if t.job.policy.Restarts() && !t.job.spec.NotRepeatable {
			s.stop(t, cyclamendyke.StopCheckpoint)
		}
	}
	s.after(s.cfg.LeavingGrace, func() { s.drain(w) })
}

// drain stops what may be repeated elsewhere; the rest runs until it ends or the VM does.
func (s *Scheduler) drain(w *worker) {
	if s.workers[w.vm.Name] != w || w.vm.State != cyclamendyke.VMLeaving {
		return
	}
	for _, t := range w.tasksInOrder() {
		if !t.job.spec.NotRepeatable {
			s.stop(t, cyclamendyke.StopCheckpoint)
		}
	}
}

// workerGone takes a worker that is no longer listed out of use; its tasks are over once it was absent and silent for long enough.
func (s *Scheduler) workerGone(w *worker) {
	w.goneSince = s.now
	s.dropHolds(w)
	s.reindex(w)
	s.awaitRemoval(w)
}

func (s *Scheduler) awaitRemoval(w *worker) {
	gone := w.goneSince
	s.after(s.proofTime(), func() {
		if s.workers[w.vm.Name] != w || !w.goneSince.Equal(gone) {
			return
		}
		if s.now.Sub(w.answered) < s.proofTime() {
			s.awaitRemoval(w)
			return
		}
		s.removeWorker(w)
	})
}

func (s *Scheduler) removeWorker(w *worker) {
	s.loseTasks(w, "the VM was removed")
	s.reindex(w)
	delete(s.workers, w.vm.Name)
	w.pool.workers--
	w.pool.capacity = w.pool.capacity.Sub(w.capacity)
	s.capacity = s.capacity.Sub(w.capacity)
	s.capacityChanged()
	s.emit(cyclamendyke.ForgetCommand{Worker: w.vm.Name})
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
	s.capacityChanged()
}

// reindex brings the pool's index in line with the worker's state and wakes what now fits.
func (s *Scheduler) reindex(w *worker) {
	takes := w.takesWork()
	free := w.free()
	reclaimable := free.Add(s.reclaimable(w))
	switch {
	case takes && w.indexed:
		w.pool.index.Update(w.candidate, free, reclaimable)
	case takes:
		w.candidate.Free, w.candidate.Reclaimable = free, reclaimable
		w.pool.index.Add(w.candidate)
		w.indexed = true
		s.wake(w)
	case w.indexed:
		w.pool.index.Remove(w.candidate)
		w.indexed = false
	}
}

// reclaimable sums what urgent work could free on the worker.
func (s *Scheduler) reclaimable(w *worker) cyclamendyke.Resources {
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
	jobs := make([]*job, 0, s.unfinished)
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
