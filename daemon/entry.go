package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/time/rate"

	"cyclamendyke"
	"cyclamendyke/core/retry"
	"cyclamendyke/io/peer"
)

// Limits on a caller's request and on forwarding it.
const (
	schedulerWaitTimeout   = 30 * time.Second // Limits the wait for a zone without a scheduler; a takeover without the store takes less.
	forwardBackoffMin      = 150 * time.Millisecond
	forwardBackoffMax      = 2 * time.Second
	retryBudgetRate        = 50  // Maximum retries per second of this process.
	retryBudgetBurst       = 200 // Maximum retries at once after a quiet period.
	maxTasks               = 10_000
	maxIdempotencyKeyBytes = 256
)

// submitter submits a job to a zone's scheduler, local or remote.
type submitter interface {
	submit(ctx context.Context, zone cyclamendyke.ZoneName, job cyclamendyke.Job) (cyclamendyke.Outcome, error)
}

// forwarder submits jobs to their home zone's scheduler and retries until there is one outcome.
type forwarder struct {
	zone        cyclamendyke.ZoneName
	submitter   submitter
	retryBudget *rate.Limiter
	metrics     *metrics
	waitTimeout time.Duration                                            // How long to wait for the zone to have a scheduler.
	onGiveUp    func(job cyclamendyke.Job, outcome cyclamendyke.Outcome) // Records an outcome that no scheduler produced.
}

func newForwarder(zone cyclamendyke.ZoneName, submitter submitter, metrics *metrics, onGiveUp func(cyclamendyke.Job, cyclamendyke.Outcome)) *forwarder {
	return &forwarder{
		zone:        zone,
		submitter:   submitter,
		retryBudget: rate.NewLimiter(retryBudgetRate, retryBudgetBurst),
		metrics:     metrics,
		waitTimeout: schedulerWaitTimeout,
		onGiveUp:    onGiveUp,
	}
}

// newRequestID returns a new identifier with zone as the request's home zone.
func newRequestID(zone cyclamendyke.ZoneName) cyclamendyke.RequestID {
	return cyclamendyke.NewRequestID(zone, ulid.Make().String())
}

// newJob returns the job that a submission describes, or an error if the submission is invalid.
func newJob(submission cyclamendyke.Submission, route cyclamendyke.Route, team cyclamendyke.TeamName, now time.Time) (cyclamendyke.Job, error) {
	job := cyclamendyke.Job{
		Team:           team,
		Route:          route.Name,
		Kind:           route.Kind,
		Tasks:          submission.Tasks,
		PerTask:        submission.PerTask,
		RunTime:        submission.RunTime,
		Urgent:         submission.Urgent,
		Detach:         submission.Detach,
		NotRepeatable:  submission.NotRepeatable,
		IdempotencyKey: submission.IdempotencyKey,
		Payload:        submission.Payload,
		AcceptedAt:     now,
	}
	job.PerTask.Slots = cmp.Or(job.PerTask.Slots, 1)
	switch {
	case job.Tasks < 1 || job.Tasks > maxTasks:
		return job, fmt.Errorf("tasks must be from 1 to %d", maxTasks)
	case job.PerTask.IsNegative():
		return job, errors.New("sizes must not be negative")
	case job.PerTask.Cores == 0 || job.PerTask.Memory == 0:
		return job, errors.New("a task needs cores and memory")
	case job.RunTime < 0:
		return job, errors.New("run-time-ns must not be negative")
	case job.Urgent && !route.Urgent:
		return job, fmt.Errorf("route %s takes no urgent work", route.Name)
	case len(job.IdempotencyKey) > maxIdempotencyKeyBytes:
		return job, fmt.Errorf("idempotency-key is longer than %d bytes", maxIdempotencyKeyBytes)
	case job.NotRepeatable && job.Tasks > 1:
		return job, errors.New("a job that must not be repeated has one task")
	}
	return job, nil
}

// refusal returns a final outcome for a request of which nothing was started.
func refusal(request cyclamendyke.RequestID, reason cyclamendyke.Reason, detail string, retryAfter time.Duration) cyclamendyke.Outcome {
	return cyclamendyke.Outcome{
		Request:    request,
		Verdict:    cyclamendyke.VerdictNotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: jitter(retryAfter),
	}
}

// jitter returns a random duration from half to one and a half times d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}

// forward submits the job to its home zone's scheduler, and retries until the scheduler returns an
// outcome or the request is given up.
func (f *forwarder) forward(ctx context.Context, job cyclamendyke.Job) cyclamendyke.Outcome {
	mayHaveRun := false
	waitDeadline := time.Now().Add(f.waitTimeout)
	for attempt := 0; ; attempt++ {
		outcome, err := f.submitter.submit(ctx, job.Request.Zone(), job)
		if err == nil {
			return adjustVerdict(outcome, mayHaveRun)
		}
		if errors.Is(err, cyclamendyke.KindUnknown) {
			mayHaveRun = true
			job.Resubmitted = true
			waitDeadline = time.Now().Add(f.waitTimeout)
		}
		if reason, giveUp := f.shouldGiveUp(ctx, waitDeadline, err); giveUp {
			outcome := adjustVerdict(refusal(job.Request, reason, err.Error(), forwardBackoffMax), mayHaveRun)
			f.onGiveUp(job, outcome)
			return outcome
		}
		f.metrics.resubmits.Inc()
		retry.Sleep(ctx, jitter(min(forwardBackoffMin<<min(attempt, 6), forwardBackoffMax)))
	}
}

// shouldGiveUp reports whether and why to give up a request. Waiting for a scheduler does not use
// the retry budget.
func (f *forwarder) shouldGiveUp(ctx context.Context, waitDeadline time.Time, lastErr error) (cyclamendyke.Reason, bool) {
	switch {
	case ctx.Err() != nil:
		return cyclamendyke.ReasonDeadline, true
	case !time.Now().Before(waitDeadline):
		return cyclamendyke.ReasonNoScheduler, true
	case errors.Is(lastErr, peer.KindNotScheduler):
		return cyclamendyke.ReasonNone, false
	case !f.retryBudget.Allow():
		f.metrics.retryBudgetEmpty.Inc()
		return cyclamendyke.ReasonOverload, true
	}
	return cyclamendyke.ReasonNone, false
}

// adjustVerdict changes "not run" to "may have run" if the answer to an earlier attempt was lost.
func adjustVerdict(outcome cyclamendyke.Outcome, mayHaveRun bool) cyclamendyke.Outcome {
	if !mayHaveRun || outcome.Verdict != cyclamendyke.VerdictNotRun {
		return outcome
	}
	outcome.Verdict = cyclamendyke.VerdictMayHaveRun
	if outcome.Reason == cyclamendyke.ReasonNone || outcome.Reason == cyclamendyke.ReasonNoScheduler {
		outcome.Reason = cyclamendyke.ReasonAnswerLost
	}
	return outcome
}

// submit passes a job to this process's own scheduler and waits for its outcome.
func (c *controller) submit(ctx context.Context, job cyclamendyke.Job) (cyclamendyke.Outcome, error) {
	answers := make(chan submitAnswer, 1)
	accepted := false
	ran := c.postAndWait(func(now time.Time) {
		if c.schedulingEpoch.Load() == nil || c.scheduler == nil || c.mustAwaitJournal(job) {
			return
		}
		accepted = true
		c.waiters[job.Request] = append(c.waiters[job.Request], answers)
		c.runCommands(c.scheduler.Submit(now, job))
	})
	if !ran || !accepted {
		return cyclamendyke.Outcome{}, notSchedulerError("submit")
	}
	select {
	case answer := <-answers:
		return answer.outcome, answer.err
	case <-ctx.Done():
		c.post(func(time.Time) { c.dropWaiter(job.Request, answers) })
		return cyclamendyke.Outcome{}, peer.NewError("submit", cyclamendyke.KindUnknown, ctx.Err())
	case <-c.ctx.Done():
		return cyclamendyke.Outcome{}, peer.NewError("submit", cyclamendyke.KindUnknown, c.ctx.Err())
	}
}

// mustAwaitJournal reports whether the job cannot be accepted until the journal is loaded, because
// only the journal shows whether an earlier term started the job.
func (c *controller) mustAwaitJournal(job cyclamendyke.Job) bool {
	return job.Resubmitted && (job.NotRepeatable || job.Detach) && !c.journalLoaded
}

// dropWaiter removes a submission whose caller no longer waits for the outcome.
func (c *controller) dropWaiter(request cyclamendyke.RequestID, dropped chan<- submitAnswer) {
	remaining := c.waiters[request][:0]
	for _, waiter := range c.waiters[request] {
		if waiter != dropped {
			remaining = append(remaining, waiter)
		}
	}
	if len(remaining) == 0 {
		delete(c.waiters, request)
		return
	}
	c.waiters[request] = remaining
}
