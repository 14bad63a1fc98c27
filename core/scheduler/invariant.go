package scheduler

import (
	"fmt"

	"cyclamendyke"
)

// Names of the invariants that Config.Violated is called with.
const (
	InvariantWorkerCapacity = "worker-capacity"
	InvariantOnePlace       = "task-in-one-place"
	InvariantAllotment      = "team-within-allotment"
	InvariantLeaving        = "no-start-to-leaving-vm"
	InvariantAuthority      = "no-start-without-authority"
	InvariantOneAnswer      = "one-answer-per-request"
	InvariantNotRun         = "not-run-is-true"
	InvariantOnce           = "at-most-once"
	InvariantEpoch          = "epoch-never-decreases"
)

func (s *Scheduler) assert(holds bool, name, format string, args ...any) {
	if !holds {
		s.cfg.Violated(name, fmt.Sprintf(format, args...))
	}
}

func (s *Scheduler) assertPlaced(t *task) {
	w := t.worker
	s.assert(w.reserved.FitsIn(w.capacity), InvariantWorkerCapacity, "%s: %+v of %+v", w.vm.Name, w.reserved, w.capacity)
	s.assert(s.teamOf(t.job.spec.Team).allows(cyclamendyke.Resources{}), InvariantAllotment, "%s", t.job.spec.Team)
}

func (s *Scheduler) assertStart(t *task) {
	w := t.worker
	s.assert(s.authority.Valid(s.now), InvariantAuthority, "%s on %s", t.id, w.vm.Name)
	s.assert(w.vm.State == cyclamendyke.VMLive && w.goneSince.IsZero(), InvariantLeaving, "%s on %s", t.id, w.vm.Name)
	s.assert(w.claimed, InvariantAuthority, "%s on %s, which is not claimed", t.id, w.vm.Name)
}

func (s *Scheduler) assertAnswer(j *job, outcome cyclamendyke.Outcome) {
	s.assert(j.state != jobEnded, InvariantOneAnswer, "%s", j.spec.Request)
	s.assert(outcome.Verdict != cyclamendyke.VerdictNotRun || j.notRun(), InvariantNotRun, "%s", j.spec.Request)
}
