package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/keys"
	"cyclamendyke/io/caller"
	"cyclamendyke/io/peer"
)

// Retry-After values of refused requests.
const (
	retryAfterStopping         = time.Second
	retryAfterStoreUnavailable = 5 * time.Second
	retryAfterKeysStale        = 5 * time.Second
	retryAfterOverload         = 2 * time.Second
)

// keyNotCheckedDetail is the detail of a refusal while idempotency keys cannot be looked up in the
// store.
const keyNotCheckedDetail = "this request was not started; whether an earlier one with the same key ran can't be told while the store is away: repeat it with the same key"

// Submit checks a caller's request, forwards it to its home zone's scheduler and returns the one
// outcome.
func (d *Daemon) Submit(ctx context.Context, key string, submission cyclamendyke.Submission) cyclamendyke.Outcome {
	if !d.admit() {
		return d.countOutcome(d.refuse(cyclamendyke.Job{Route: submission.Route}, cyclamendyke.ReasonStopping, "this entry VM is stopping; send the request to another", retryAfterStopping))
	}
	defer d.inFlight.Done()
	select {
	case d.requestSlots <- struct{}{}:
		defer func() { <-d.requestSlots }()
	default:
		return d.countOutcome(d.refuse(cyclamendyke.Job{Route: submission.Route}, cyclamendyke.ReasonOverload, "this entry VM works on as many requests as it may", retryAfterOverload))
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Settings.Limits.AnswerTimeout)
	defer cancel()
	d.metrics.inFlight.Inc()
	defer d.metrics.inFlight.Dec()
	job, refused := d.checkSubmission(key, submission)
	if refused != nil {
		return d.countOutcome(*refused)
	}
	if job.IdempotencyKey != "" || job.NotRepeatable {
		return d.countOutcome(d.runOnce(ctx, job))
	}
	return d.countOutcome(d.forwarder.forward(ctx, job))
}

// admit adds a request to those in flight, unless the process is stopping.
func (d *Daemon) admit() bool {
	d.admitMu.RLock()
	defer d.admitMu.RUnlock()
	if d.stopping.Load() {
		return false
	}
	d.inFlight.Add(1)
	return true
}

// countOutcome counts an outcome in the metrics and returns it.
func (d *Daemon) countOutcome(outcome cyclamendyke.Outcome) cyclamendyke.Outcome {
	d.metrics.outcomes.WithLabelValues(string(outcome.Verdict), string(outcome.Reason)).Inc()
	return outcome
}

// refuse returns the outcome of a request refused by this process, and records it.
func (d *Daemon) refuse(job cyclamendyke.Job, reason cyclamendyke.Reason, detail string, retryAfter time.Duration) cyclamendyke.Outcome {
	if job.Request == "" {
		job.Request = newRequestID(d.member.Zone)
	}
	outcome := refusal(job.Request, reason, detail, retryAfter)
	d.recordOutcome(job, outcome)
	return outcome
}

// recordOutcome records an outcome that no scheduler produced in the accounting records and the
// timeline.
func (d *Daemon) recordOutcome(job cyclamendyke.Job, outcome cyclamendyke.Outcome) {
	d.addEvent(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventRefused, Request: job.Request, Team: job.Team, Detail: string(outcome.Reason)})
	d.records.addAccountRecord(cyclamendyke.AccountRecord{
		At:      time.Now(),
		Request: job.Request,
		Team:    job.Team,
		Route:   job.Route,
		Verdict: outcome.Verdict,
		Reason:  outcome.Reason,
		Tasks:   job.Tasks,
		Count:   1,
	})
}

// RefuseMalformed refuses a request that could not be decoded.
func (d *Daemon) RefuseMalformed(reason cyclamendyke.Reason, detail string) cyclamendyke.Outcome {
	return d.countOutcome(d.refuse(cyclamendyke.Job{}, reason, detail, 0))
}

// checkSubmission converts a submission to a job with a home zone, or returns the refusal.
func (d *Daemon) checkSubmission(key string, submission cyclamendyke.Submission) (cyclamendyke.Job, *cyclamendyke.Outcome) {
	refuse := func(reason cyclamendyke.Reason, detail string, retryAfter time.Duration) (cyclamendyke.Job, *cyclamendyke.Outcome) {
		outcome := d.refuse(cyclamendyke.Job{Route: submission.Route, Team: submission.Team, Tasks: submission.Tasks}, reason, detail, retryAfter)
		return cyclamendyke.Job{}, &outcome
	}
	tables := d.tables.Load()
	if tables == nil {
		return refuse(cyclamendyke.ReasonStoreUnavailable, "no tables are in force here yet", retryAfterStoreUnavailable)
	}
	route, ok := tables.Routes[submission.Route]
	if !ok {
		return refuse(cyclamendyke.ReasonUnknownRoute, fmt.Sprintf("the table of routes has no route %q", submission.Route), 0)
	}
	team, reason, detail := d.authorise(key, submission.Team, route)
	if reason != cyclamendyke.ReasonNone {
		return refuse(reason, detail, retryAfterOf(reason))
	}
	submission.Team = team
	job, err := newJob(submission, route, team, time.Now())
	if err != nil {
		return refuse(cyclamendyke.ReasonBadRequest, err.Error(), 0)
	}
	if !fitsAnyPool(tables, route, job.PerTask) {
		return refuse(cyclamendyke.ReasonNeverFits, "no VM of the route's pools can hold one task of this size", 0)
	}
	job.Request = newRequestID(d.homeZone(tables, route, job))
	return job, nil
}

// retryAfterOf returns the Retry-After value of an authorisation failure.
func retryAfterOf(reason cyclamendyke.Reason) time.Duration {
	if reason == cyclamendyke.ReasonKeysStale {
		return retryAfterKeysStale
	}
	return 0
}

// authorise returns the team that the request runs for, or the reason for refusing it.
func (d *Daemon) authorise(key string, claimed cyclamendyke.TeamName, route cyclamendyke.Route) (cyclamendyke.TeamName, cyclamendyke.Reason, string) {
	if key == "" && route.Open {
		return cyclamendyke.OpenTeam, cyclamendyke.ReasonNone, ""
	}
	team, err := d.keyRing.Load().Authenticate(key)
	switch {
	case err != nil:
		return "", cyclamendyke.ReasonBadKey, "the key is wrong or was withdrawn; ask an operator for a new one"
	case claimed != "" && claimed != team:
		return "", cyclamendyke.ReasonWrongTeam, fmt.Sprintf("the key is not one of team %s", claimed)
	case !route.Open && !slices.Contains(route.Teams, team):
		return "", cyclamendyke.ReasonWrongTeam, fmt.Sprintf("route %s is not open to team %s", route.Name, team)
	case route.Open:
		return team, cyclamendyke.ReasonNone, ""
	case d.keysStale():
		return "", cyclamendyke.ReasonKeysStale, "this zone can't learn at present whether the key was withdrawn"
	}
	return team, cyclamendyke.ReasonNone, ""
}

// keysStale reports whether a key may have been withdrawn without this process knowing.
func (d *Daemon) keysStale() bool {
	peers := d.peerFreshness.peerViews(d.knownMembers.list(), time.Now())
	return keys.EvaluateFreshness(d.keyRing.Load().Revision, d.storeAge(), peers) == keys.FreshnessStale
}

// fitsAnyPool reports whether an empty VM of one of the route's pools can hold a task.
func fitsAnyPool(tables *cyclamendyke.Tables, route cyclamendyke.Route, perTask cyclamendyke.Resources) bool {
	return slices.ContainsFunc(route.Pools, func(name cyclamendyke.PoolName) bool {
		return perTask.FitsIn(tables.Pools[name].Shape)
	})
}

// runOnce reserves the job's idempotency key in the store before forwarding the job. If an earlier
// request with the key has finished, it returns that request's outcome.
func (d *Daemon) runOnce(ctx context.Context, job cyclamendyke.Job) cyclamendyke.Outcome {
	if job.IdempotencyKey == "" {
		job.IdempotencyKey = string(job.Request)
	}
	if d.storeUnavailable() {
		return d.refuse(job, cyclamendyke.ReasonStoreUnavailable, keyNotCheckedDetail, retryAfterStoreUnavailable)
	}
	reservation, err := d.records.idempotencyKeys.Reserve(ctx, job.Team, job.IdempotencyKey, job.Request)
	if err != nil {
		return d.refuse(job, cyclamendyke.ReasonStoreUnavailable, keyNotCheckedDetail, retryAfterStoreUnavailable)
	}
	if !reservation.MayRun && reservation.Outcome.Request != "" {
		return reservation.Outcome
	}
	if reservation.Request != job.Request {
		job.Request = reservation.Request
		job.Resubmitted = true
	}
	outcome := d.forwarder.forward(ctx, job)
	if outcome.Verdict == cyclamendyke.VerdictNotRun {
		d.records.releaseKey(ctx, job)
	}
	return outcome
}

// submit sends a job to the scheduler of the zone, which may be this process.
func (d *Daemon) submit(ctx context.Context, zone cyclamendyke.ZoneName, job cyclamendyke.Job) (cyclamendyke.Outcome, error) {
	if zone == d.member.Zone {
		if _, isScheduler := d.controller.currentEpoch(); isScheduler {
			return d.controller.submit(ctx, job)
		}
	}
	holder, ok := d.directory.scheduler(zone, time.Now())
	if !ok || holder.Member.Name == d.member.Name {
		return cyclamendyke.Outcome{}, peer.NewError("submit", peer.KindNotScheduler, fmt.Errorf("zone %s has no scheduler at present", zone))
	}
	return d.peers.Submit(ctx, holder.Member.Name, job)
}

// Status returns the status of a request of the key's team.
func (d *Daemon) Status(ctx context.Context, key string, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	return d.callForTeam(ctx, key, request, d.controller.status, d.peers.Status)
}

// Cancel cancels a job of the key's team.
func (d *Daemon) Cancel(ctx context.Context, key string, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	if _, err := d.Status(ctx, key, request); err != nil {
		return cyclamendyke.JobStatus{}, err
	}
	return d.callForTeam(ctx, key, request, d.controller.cancelJob, d.peers.Cancel)
}

// localCall and remoteCall make the same call to this process's scheduler and to a peer's.
type (
	localCall  func(ctx context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error)
	remoteCall func(ctx context.Context, to cyclamendyke.MemberName, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error)
)

// callForTeam makes a call about a request to its home zone, and reports requests of other teams as
// not found.
func (d *Daemon) callForTeam(ctx context.Context, key string, request cyclamendyke.RequestID, local localCall, remote remoteCall) (cyclamendyke.JobStatus, error) {
	team, err := d.keyRing.Load().Authenticate(key)
	if err != nil && key != "" {
		return cyclamendyke.JobStatus{}, caller.NewError("status", caller.KindDenied, errors.New("the key is wrong or was withdrawn"))
	}
	if key == "" {
		team = cyclamendyke.OpenTeam
	}
	status, err := d.callHomeScheduler(ctx, request, local, remote)
	if err != nil {
		return cyclamendyke.JobStatus{}, err
	}
	if status.Job.Team != team {
		return cyclamendyke.JobStatus{}, caller.NewError("status", cyclamendyke.KindNotFound, errors.New("the team has no such request"))
	}
	return status, nil
}

// callHomeScheduler makes a call to the scheduler of the request's home zone.
func (d *Daemon) callHomeScheduler(ctx context.Context, request cyclamendyke.RequestID, local localCall, remote remoteCall) (cyclamendyke.JobStatus, error) {
	zone := request.Zone()
	if zone == d.member.Zone {
		if _, isScheduler := d.controller.currentEpoch(); isScheduler {
			return local(ctx, request)
		}
	}
	holder, ok := d.directory.scheduler(zone, time.Now())
	if !ok {
		return cyclamendyke.JobStatus{}, caller.NewError("status", cyclamendyke.KindUnavailable, fmt.Errorf("zone %q has no scheduler at present", zone))
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Settings.Limits.PeerTimeout)
	defer cancel()
	return remote(ctx, holder.Member.Name, request)
}
