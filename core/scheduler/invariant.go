package scheduler

import (
	"fmt"

	"cyclamendyke"
	"cyclamendyke/core/invariant"
)

func (s *Scheduler) assert(condition bool, name invariant.Name, format string, args ...any) {
	if !condition {
		s.cfg.OnInvariantViolation(string(name), fmt.Sprintf(format, args...))
	}
}

func (s *Scheduler) assertPlaced(t *task) {
	w := t.worker
	s.assert(!w.reserved.IsNegative(), invariant.ReservationFloor, "%s: %+v", w.vm.Name, w.reserved)
	s.assert(w.reserved.FitsIn(w.capacity), invariant.WorkerCapacity, "%s: %+v of %+v", w.vm.Name, w.reserved, w.capacity)
	s.assert(s.ensureTeam(t.job.spec.Team).allows(cyclamendyke.Resources{}), invariant.TeamAllotment, "%s", t.job.spec.Team)
}

func (s *Scheduler) assertStart(t *task) {
	w := t.worker
	s.assert(s.authority.Valid(s.now), invariant.LapsedAuthority, "%s on %s", t.id, w.vm.Name)
	s.assert(w.vm.State == cyclamendyke.VMLive && w.absentSince.IsZero(), invariant.LeavingWorker, "%s on %s", t.id, w.vm.Name)
	s.assert(w.claimed, invariant.LapsedAuthority, "%s on %s, which is not claimed", t.id, w.vm.Name)
}

func (s *Scheduler) assertAnswer(j *job, outcome cyclamendyke.Outcome) {
	s.assert(j.state != jobEnded, invariant.OneAnswer, "%s", j.spec.Request)
	s.assert(outcome.Verdict != cyclamendyke.VerdictNotRun || j.notRun(), invariant.NotRunTrue, "%s", j.spec.Request)
}
