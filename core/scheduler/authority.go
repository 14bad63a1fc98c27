package scheduler

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/invariant"
	"cyclamendyke/core/share"
)

// barrier delays the jobs that an earlier term may have started until this scheduler knows every
// task that can still be running.
type barrier struct {
	passed   bool
	deadline time.Time // The barrier passes at this time, or earlier once every worker is claimed; endRenewals may postpone it.
	jobs     []*job    // Jobs that wait for the barrier, in order of arrival.
}

func (s *Scheduler) setAuthority(authority cyclamendyke.Authority) {
	sameTerm := authority.Epoch == s.authority.Epoch
	if sameTerm || authority.Epoch.IsZero() {
		s.authority.Until = authority.Until
		return
	}
	if authority.Epoch.Compare(s.authority.Epoch) < 0 {
		s.assert(false, invariant.EpochForward, "%s after %s", authority.Epoch, s.authority.Epoch)
		return
	}
	s.authority = authority
	s.beginTerm()
}

// beginTerm drops the state of all unfinished jobs, tasks and workers, since another scheduler may
// have acted in between.
func (s *Scheduler) beginTerm() {
	s.timers = newTimers()
	s.dropUnfinished()
	for u := range urgencyLevels {
		s.teamOrders[u] = share.NewOrder()
	}
	for _, t := range s.teams {
		fresh := newTeam(t.name)
		fresh.weight, fresh.limit, fresh.allotment, fresh.hasAllotment = t.weight, t.limit, t.allotment, t.hasAllotment
		s.teams[t.name] = fresh
	}
	clear(s.orphanResults)
	s.orphanResultOrder = nil
	vms := make([]cyclamendyke.VM, 0, len(s.workers))
	for _, w := range s.workers {
		vms = append(vms, w.vm)
	}
	slices.SortFunc(vms, compareVMs)
	clear(s.workers)
	clear(s.pools)
	s.capacity = cyclamendyke.Resources{}
	s.updatePools()
	s.barrier = barrier{deadline: s.now.Add(s.cfg.TaskTTL + s.cfg.ClockMargin)}
	s.timers.set(s.barrier.deadline, func(time.Time) { s.handleBarrierDeadline() })
	for _, vm := range vms {
		s.addWorker(vm)
	}
}

func (s *Scheduler) dropUnfinished() {
	for request, j := range s.jobs {
		if j.state != jobEnded {
			delete(s.jobs, request)
			continue
		}
		clear(j.tasks)
	}
	s.unfinishedCount = 0
}

// checkBarrier passes the barrier once every worker is claimed; until then it updates the usable
// allotments, which depend on the workers that are not claimed yet.
func (s *Scheduler) checkBarrier() {
	if s.barrier.passed || len(s.workers) == 0 {
		return
	}
	for _, w := range s.workers {
		if !w.claimed {
			s.updateAllotments()
			return
		}
	}
	s.passBarrier()
}

// handleBarrierDeadline passes the barrier, unless it must first end the renewals of workers that
// are not claimed yet; then it runs again once their leases have certainly lapsed.
func (s *Scheduler) handleBarrierDeadline() {
	if s.barrier.passed {
		return
	}
	for _, w := range s.workersInOrder() {
		if !w.claimed && !w.renewalsEnded {
			w.unreachableSince = s.now
			s.endRenewals(w)
		}
	}
	if s.barrier.deadline.After(s.now) {
		s.timers.set(s.barrier.deadline, func(time.Time) { s.handleBarrierDeadline() })
		return
	}
	s.passBarrier()
}

// passBarrier activates the jobs that wait for the barrier and claims the workers whose renewals had ended.
func (s *Scheduler) passBarrier() {
	if s.barrier.passed {
		return
	}
	s.barrier.passed = true
	s.updateAllotments()
	for _, w := range s.workersInOrder() {
		if w.renewalsEnded && !w.claimed {
			w.renewalsEnded = false
			s.emit(cyclamendyke.ClaimCommand{VM: w.vm})
		}
	}
	waiting := s.barrier.jobs
	s.barrier.jobs = nil
	for _, j := range waiting {
		if j.state == jobAwaitingBarrier {
			s.activate(j)
		}
	}
	s.timers.set(s.now.Add(s.cfg.TaskTTL), func(time.Time) { s.dropOrphans() })
}

// dropOrphans deletes the adopted jobs that no caller has resubmitted and whose tasks have all ended.
func (s *Scheduler) dropOrphans() {
	for request, j := range s.jobs {
		if j.orphan && len(j.tasks) == 0 {
			delete(s.jobs, request)
		}
	}
}

// activate queues a job's waiting tasks; a non-repeatable job that may have started only
// finishes its running tasks.
func (s *Scheduler) activate(j *job) {
	j.state = jobActive
	if j.spec.NotRepeatable && j.mayHaveStarted {
		j.outcomeUnknown = j.outcomeUnknown || j.waiting.count > 0
		j.waiting = indexSet{}
	}
	s.updateWaitingTotals(j)
	if s.endIfComplete(j) {
		return
	}
	if j.policy.AllOrNothing() && len(j.tasks) > 0 && j.waiting.count > 0 {
		s.restartGang(j)
		return
	}
	if s.endIfImpossible(j) {
		return
	}
	s.requeueStoppedGang(j)
	s.enqueue(j)
}
