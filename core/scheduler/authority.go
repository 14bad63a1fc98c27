package scheduler

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/invariant"
	"cyclamendyke/core/share"
)

// barrier is the point of a term from which nothing unknown of an earlier term can be running.
type barrier struct {
	passed bool
	at     time.Time // The latest; earlier once every worker is claimed.
	jobs   []*job    // That wait for it, in order of arrival.
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

// beginTerm drops everything but finished jobs, since another scheduler may have acted in between.
func (s *Scheduler) beginTerm() {
	s.timers = newTimers()
	s.dropUnfinished()
	for u := range urgencies {
		s.orders[u] = share.NewOrder()
	}
	for _, t := range s.teams {
		fresh := newTeam(t.name)
		fresh.weight, fresh.limit, fresh.granted, fresh.known = t.weight, t.limit, t.granted, t.known
		s.teams[t.name] = fresh
	}
	clear(s.stray)
	s.strayOrder = nil
	vms := make([]cyclamendyke.VM, 0, len(s.workers))
	for _, w := range s.workers {
		vms = append(vms, w.vm)
	}
	slices.SortFunc(vms, compareVMs)
	clear(s.workers)
	clear(s.pools)
	s.capacity = cyclamendyke.Resources{}
	s.updatePools()
	s.barrier = barrier{at: s.now.Add(s.cfg.TaskTTL + s.cfg.ClockMargin)}
	s.timers.set(s.barrier.at, func(time.Time) { s.barrierDue() })
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
	s.unfinished = 0
}

// checkBarrier passes the barrier early once every listed worker is claimed.
func (s *Scheduler) checkBarrier() {
	if s.barrier.passed || len(s.workers) == 0 {
		return
	}
	for _, w := range s.workers {
		if !w.claimed {
			s.limitAllotments()
			return
		}
	}
	s.passBarrier()
}

// barrierDue passes the barrier unless a claim that was sent meanwhile may have extended the leases of an unknown task.
func (s *Scheduler) barrierDue() {
	if s.barrier.passed {
		return
	}
	for _, w := range s.workersInOrder() {
		if !w.claimed && !w.forgotten {
			w.silentSince = s.now
			s.endRenewals(w)
		}
	}
	if s.barrier.at.After(s.now) {
		s.timers.set(s.barrier.at, func(time.Time) { s.barrierDue() })
		return
	}
	s.passBarrier()
}

func (s *Scheduler) passBarrier() {
	if s.barrier.passed {
		return
	}
	s.barrier.passed = true
	s.limitAllotments()
	for _, w := range s.workersInOrder() {
		if w.forgotten && !w.claimed {
			w.forgotten = false
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

// dropOrphans forgets jobs that were adopted, run no more and that no caller has asked for.
func (s *Scheduler) dropOrphans() {
	for request, j := range s.jobs {
		if j.orphan && len(j.tasks) == 0 {
			delete(s.jobs, request)
		}
	}
}

// activate lets a job's waiting tasks start; one that may have started and must not be repeated only runs out.
func (s *Scheduler) activate(j *job) {
	j.state = jobActive
	if j.spec.NotRepeatable && j.mayHaveStarted {
		j.doubt = j.doubt || j.waiting.count > 0
		j.waiting = spans{}
	}
	s.recount(j)
	if s.complete(j) {
		return
	}
	if j.policy.AllAtOnce() && len(j.tasks) > 0 && j.waiting.count > 0 {
		s.failGang(j)
		return
	}
	if s.endImpossible(j) {
		return
	}
	s.mendGang(j)
	s.enqueue(j)
}
