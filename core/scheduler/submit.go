package scheduler

import (
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

const (
	retryBase = time.Second
	maxTasks  = 1_000_000 // Of one job, so that its sums don't overflow.
)

func (s *Scheduler) submit(spec cyclamendyke.Job) {
	if j := s.jobs[spec.Request]; j != nil {
		s.submitAgain(j, spec)
		return
	}
	if spec.Team == "" {
		spec.Team = cyclamendyke.OpenTeam
	}
	if reason, detail, retry := s.refusal(&spec); reason != cyclamendyke.ReasonNone {
		s.refuse(&spec, reason, detail, retry)
		return
	}
	s.normalise(&spec)
	j := newJob(spec, s.policyOf(spec.Kind), s.seq())
	j.waitingSince = s.now
	j.mayHaveStarted = spec.Resubmitted
	s.accept(j)
	s.takeStray(j)
	if spec.Detach || spec.NotRepeatable {
		j.kept = true
		j.state = jobAwaitingRecord
		s.emit(cyclamendyke.PersistCommand{Record: j.record(), AwaitResult: true})
		return
	}
	s.admit(j)
}

// submitAgain answers a request that is already known.
func (s *Scheduler) submitAgain(j *job, spec cyclamendyke.Job) {
	switch {
	case j.orphan:
		j.orphan = false
		s.jobEvent(cyclamendyke.EventAccepted, &spec, "adopted")
		if j.state == jobAwaitingBarrier && !s.barrier.passed {
			s.barrier.jobs = append(s.barrier.jobs, j)
			s.recount(j)
			return
		}
		s.activate(j)
	case j.outcome.Verdict.IsFinal(), j.kept && j.state != jobAwaitingRecord && j.spec.Detach:
		s.emit(cyclamendyke.AnswerCommand{Outcome: j.outcome})
	}
}

// admit lets an accepted job wait for room, or for the barrier if an earlier term may have started it.
func (s *Scheduler) admit(j *job) {
	if j.mayHaveStarted && !s.barrier.passed {
		j.state = jobAwaitingBarrier
		s.barrier.jobs = append(s.barrier.jobs, j)
		return
	}
	s.activate(j)
}

func (s *Scheduler) accept(j *job) {
	s.jobs[j.spec.Request] = j
	s.unfinished++
	s.recount(j)
	s.jobEvent(cyclamendyke.EventAccepted, &j.spec, "")
}

// refusal returns why a new job cannot be taken, and how long to wait before it might be.
func (s *Scheduler) refusal(spec *cyclamendyke.Job) (cyclamendyke.Reason, string, time.Duration) {
	if !s.authority.Valid(s.now) || s.tables == nil {
		return cyclamendyke.ReasonNoScheduler, "This process is not the zone's scheduler now; try again.", s.jitter(retryBase)
	}
	if reason, detail := s.malformed(spec); reason != cyclamendyke.ReasonNone {
		return reason, detail, 0
	}
	if reason, detail := s.impossible(spec); reason != cyclamendyke.ReasonNone {
		return reason, detail, 0
	}
	if s.unfinished >= s.cfg.MaxJobs {
		return cyclamendyke.ReasonOverload, "The zone holds as many jobs as it can.", s.jitter(2 * retryBase)
	}
	bound := s.tables.Routes[spec.Route].MaxQueue
	if bound <= 0 {
		bound = s.cfg.MaxQueue
	}
	if s.teamOf(spec.Team).waiting[spec.Route] >= bound {
		return cyclamendyke.ReasonQueueFull, fmt.Sprintf("%d jobs of the team wait on this route.", bound), s.jitter(retryBase)
	}
	return cyclamendyke.ReasonNone, "", 0
}

func (s *Scheduler) malformed(spec *cyclamendyke.Job) (cyclamendyke.Reason, string) {
	route, found := s.tables.Routes[spec.Route]
	switch {
	case !found:
		return cyclamendyke.ReasonUnknownRoute, fmt.Sprintf("There is no route %q.", spec.Route)
	case spec.Request == "" || spec.Tasks <= 0 || spec.PerTask.IsZero() || spec.PerTask.IsNegative():
		return cyclamendyke.ReasonBadRequest, "A job needs a request identifier, tasks and a size for each."
	case spec.Tasks > maxTasks:
		return cyclamendyke.ReasonBadRequest, fmt.Sprintf("A job may have at most %d tasks.", maxTasks)
	case s.cfg.Policies.Kinds[spec.Kind] == nil:
		return cyclamendyke.ReasonBadRequest, fmt.Sprintf("There is no kind of job %q.", spec.Kind)
	case spec.Urgent && !route.Urgent:
		return cyclamendyke.ReasonBadRequest, fmt.Sprintf("Route %q takes no urgent work.", spec.Route)
	case !route.Open && !slices.Contains(route.Teams, spec.Team):
		return cyclamendyke.ReasonWrongTeam, fmt.Sprintf("Route %q is not open to team %q.", spec.Route, spec.Team)
	}
	return cyclamendyke.ReasonNone, ""
}

// impossible returns why a job can never run under the tables in force.
func (s *Scheduler) impossible(spec *cyclamendyke.Job) (cyclamendyke.Reason, string) {
	if _, found := s.tables.Routes[spec.Route]; !found {
		return cyclamendyke.ReasonUnknownRoute, fmt.Sprintf("Route %q was removed.", spec.Route)
	}
	atOnce := spec.PerTask
	if spec.Kind != cyclamendyke.KindBatch {
		atOnce = spec.PerTask.Scale(int64(spec.Tasks))
	}
	limit := s.teamOf(spec.Team).limit
	if !limited(atOnce, limit).FitsIn(limit) {
		return cyclamendyke.ReasonOverLimit, fmt.Sprintf("Team %q may run at most %+v.", spec.Team, limit)
	}
	pools := s.poolsOf(spec.Route, spec.Kind)
	for _, p := range pools {
		if s.withSlot(spec.PerTask, pools).FitsIn(p.usable(p.table.Shape)) {
			return cyclamendyke.ReasonNone, ""
		}
	}
	return cyclamendyke.ReasonNeverFits, fmt.Sprintf("No VM of route %q's %d pools in zone %q can hold a task of %+v.", spec.Route, len(pools), s.cfg.Zone, spec.PerTask)
}

// normalise gives each task a slot where VMs have slots, so that none is free of charge.
func (s *Scheduler) normalise(spec *cyclamendyke.Job) {
	spec.PerTask = s.withSlot(spec.PerTask, s.poolsOf(spec.Route, spec.Kind))
	if spec.Accepted.IsZero() {
		spec.Accepted = s.now
	}
}

func (s *Scheduler) withSlot(need cyclamendyke.Resources, pools []*pool) cyclamendyke.Resources {
	slotted := slices.ContainsFunc(pools, func(p *pool) bool { return p.table.Shape.Slots > 0 })
	if slotted {
		need.Slots = max(need.Slots, 1)
	}
	return need
}

// refuse answers a job that is not taken; one that an earlier term may have started is not called not-run.
func (s *Scheduler) refuse(spec *cyclamendyke.Job, reason cyclamendyke.Reason, detail string, retry time.Duration) {
	verdict := cyclamendyke.VerdictNotRun
	if spec.Resubmitted {
		verdict = cyclamendyke.VerdictMayHaveRun
	}
	s.emit(cyclamendyke.AnswerCommand{Outcome: cyclamendyke.Outcome{
		Request:    spec.Request,
		Verdict:    verdict,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: retry,
	}})
	s.emit(cyclamendyke.AccountCommand{Record: cyclamendyke.AccountRecord{
		At:      s.now,
		Request: spec.Request,
		Team:    spec.Team,
		Route:   spec.Route,
		Verdict: verdict,
		Reason:  reason,
		Tasks:   spec.Tasks,
		Count:   1,
	}})
	s.jobEvent(cyclamendyke.EventRefused, spec, string(reason))
}

// jitter returns between half and one and a half of d.
func (s *Scheduler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random.Int64N(int64(d)))
}

func (s *Scheduler) policyOf(kind cyclamendyke.JobKind) policy.Policy {
	if found := s.cfg.Policies.Kinds[kind]; found != nil {
		return found
	}
	return policy.Batch{}
}
