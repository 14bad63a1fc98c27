package scheduler

import (
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

const (
	retryDelay = time.Second // Refused callers are asked to retry after about this time, or twice as long.
	maxTasks   = 1_000_000   // Per job, so that sums of its resources don't overflow.
)

func (s *Scheduler) submit(spec cyclamendyke.Job) {
	if j := s.jobs[spec.Request]; j != nil {
		s.handleDuplicate(j, spec)
		return
	}
	if spec.Team == "" {
		spec.Team = cyclamendyke.OpenTeam
	}
	if reason, detail, retryAfter := s.refusal(&spec); reason != cyclamendyke.ReasonNone {
		s.refuse(&spec, reason, detail, retryAfter)
		return
	}
	s.normalize(&spec)
	j := newJob(spec, s.policyOf(spec.Kind), s.nextSeq())
	j.waitingSince = s.now
	j.mayHaveStarted = spec.Resubmitted
	s.registerJob(j)
	s.applyOrphanResults(j)
	if spec.Detach || spec.NotRepeatable {
		j.journaled = true
		j.state = jobAwaitingRecord
		s.emit(cyclamendyke.PersistCommand{Record: j.record(), AwaitResult: true})
		return
	}
	s.admit(j)
}

// handleDuplicate assigns an adopted job to its resubmitted request, or repeats the answer to a
// request that has already been answered.
func (s *Scheduler) handleDuplicate(j *job, spec cyclamendyke.Job) {
	switch {
	case j.orphan:
		j.orphan = false
		s.emitJobEvent(cyclamendyke.EventAccepted, &spec, "adopted")
		if j.state == jobAwaitingBarrier && !s.barrier.passed {
			s.barrier.jobs = append(s.barrier.jobs, j)
			s.updateWaitingTotals(j)
			return
		}
		s.activate(j)
	case j.outcome.Verdict.IsFinal(), j.journaled && j.state != jobAwaitingRecord && j.spec.Detach:
		s.emit(cyclamendyke.AnswerCommand{Outcome: j.outcome})
	}
}

// admit queues an accepted job, or makes it wait for the barrier if an earlier term may have started it.
func (s *Scheduler) admit(j *job) {
	if j.mayHaveStarted && !s.barrier.passed {
		j.state = jobAwaitingBarrier
		s.barrier.jobs = append(s.barrier.jobs, j)
		return
	}
	s.activate(j)
}

func (s *Scheduler) registerJob(j *job) {
	s.jobs[j.spec.Request] = j
	s.unfinishedCount++
	s.updateWaitingTotals(j)
	s.emitJobEvent(cyclamendyke.EventAccepted, &j.spec, "")
}

// refusal returns why a new job can't be accepted, and after what time to try again; the reason
// is ReasonNone if it can.
func (s *Scheduler) refusal(spec *cyclamendyke.Job) (cyclamendyke.Reason, string, time.Duration) {
	if !s.authority.Valid(s.now) || s.tables == nil {
		return cyclamendyke.ReasonNoScheduler, "This process is not the zone's scheduler now; try again.", s.jitter(retryDelay)
	}
	if reason, detail := s.malformedReason(spec); reason != cyclamendyke.ReasonNone {
		return reason, detail, 0
	}
	if reason, detail := s.impossibleReason(spec); reason != cyclamendyke.ReasonNone {
		return reason, detail, 0
	}
	if s.unfinishedCount >= s.cfg.MaxJobs {
		return cyclamendyke.ReasonOverload, "The zone holds as many jobs as it can.", s.jitter(2 * retryDelay)
	}
	maxQueue := s.tables.Routes[spec.Route].MaxQueue
	if maxQueue <= 0 {
		maxQueue = s.cfg.MaxQueue
	}
	if s.ensureTeam(spec.Team).waitingJobs[spec.Route] >= maxQueue {
		return cyclamendyke.ReasonQueueFull, fmt.Sprintf("%d jobs of the team wait on this route.", maxQueue), s.jitter(retryDelay)
	}
	return cyclamendyke.ReasonNone, "", 0
}

// malformedReason returns why a request is invalid, or ReasonNone.
func (s *Scheduler) malformedReason(spec *cyclamendyke.Job) (cyclamendyke.Reason, string) {
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

// impossibleReason returns why a job can never run under the tables in force, or ReasonNone.
func (s *Scheduler) impossibleReason(spec *cyclamendyke.Job) (cyclamendyke.Reason, string) {
	if _, found := s.tables.Routes[spec.Route]; !found {
		return cyclamendyke.ReasonUnknownRoute, fmt.Sprintf("Route %q was removed.", spec.Route)
	}
	concurrentNeed := spec.PerTask
	if spec.Kind != cyclamendyke.KindBatch {
		concurrentNeed = spec.PerTask.Scale(int64(spec.Tasks))
	}
	limit := s.ensureTeam(spec.Team).limit
	if !limitedComponents(concurrentNeed, limit).FitsIn(limit) {
		return cyclamendyke.ReasonOverLimit, fmt.Sprintf("Team %q may run at most %+v.", spec.Team, limit)
	}
	pools := s.eligiblePools(spec.Route, spec.Kind)
	for _, p := range pools {
		if s.withSlot(spec.PerTask, pools).FitsIn(p.usable(p.config.Shape)) {
			return cyclamendyke.ReasonNone, ""
		}
	}
	return cyclamendyke.ReasonNeverFits, fmt.Sprintf("No VM of route %q's %d pools in zone %q can hold a task of %+v.", spec.Route, len(pools), s.cfg.Zone, spec.PerTask)
}

// normalize gives each task at least one slot where VMs have slots, so that every task counts
// against them, and sets the acceptance time.
func (s *Scheduler) normalize(spec *cyclamendyke.Job) {
	spec.PerTask = s.withSlot(spec.PerTask, s.eligiblePools(spec.Route, spec.Kind))
	if spec.AcceptedAt.IsZero() {
		spec.AcceptedAt = s.now
	}
}

func (s *Scheduler) withSlot(need cyclamendyke.Resources, pools []*pool) cyclamendyke.Resources {
	vmsHaveSlots := slices.ContainsFunc(pools, func(p *pool) bool { return p.config.Shape.Slots > 0 })
	if vmsHaveSlots {
		need.Slots = max(need.Slots, 1)
	}
	return need
}

// refuse answers a refused job; the verdict is may-have-run if an earlier term may have started it.
func (s *Scheduler) refuse(spec *cyclamendyke.Job, reason cyclamendyke.Reason, detail string, retryAfter time.Duration) {
	verdict := cyclamendyke.VerdictNotRun
	if spec.Resubmitted {
		verdict = cyclamendyke.VerdictMayHaveRun
	}
	s.emit(cyclamendyke.AnswerCommand{Outcome: cyclamendyke.Outcome{
		Request:    spec.Request,
		Verdict:    verdict,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: retryAfter,
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
	s.emitJobEvent(cyclamendyke.EventRefused, spec, string(reason))
}

// jitter returns a random duration from half to one and a half times d.
func (s *Scheduler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random.Int64N(int64(d)))
}

func (s *Scheduler) policyOf(kind cyclamendyke.JobKind) policy.Policy {
	if p := s.cfg.Policies.Kinds[kind]; p != nil {
		return p
	}
	return policy.Batch{}
}
