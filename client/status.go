package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"cyclamendyke"
)

// pollInterval is the time between two calls of a command that waits for a state.
const pollInterval = 500 * time.Millisecond

type requestArgs struct {
	Request string `positional-arg-name:"REQUEST"`
}

type statusOptions struct {
	client *Client
	Wait   bool        `long:"wait" description:"wait until the outcome is final"`
	Args   requestArgs `positional-args:"yes" required:"yes"`
}

// Execute shows the status of a request.
func (o *statusOptions) Execute([]string) error {
	return o.client.runStatus(o)
}

func (c *Client) runStatus(o *statusOptions) error {
	call := c.jobCall("status", http.MethodGet, o.Args.Request)
	var status cyclamendyke.JobStatus
	if !o.Wait {
		if err := c.fetch(call, &status); err != nil {
			return err
		}
		return c.printStatus(status)
	}
	call.timeout = 0
	err := c.poll(call, func(response cyclamendyke.EntryResponse) (bool, error) {
		err := decodeReply(call, response, &status)
		return status.Outcome.Verdict.IsFinal(), err
	})
	if err != nil {
		return err
	}
	return c.printStatus(status)
}

func (c *Client) jobCall(op, method, request string) apiCall {
	return apiCall{
		op:         op,
		method:     method,
		path:       "/v1/jobs/" + url.PathEscape(request),
		key:        c.options.Key,
		repeatable: true,
		timeout:    defaultTimeout,
	}
}

// poll repeats the call until done returns true or an error, the timeout expires or no entry VM can
// be reached.
func (c *Client) poll(call apiCall, done func(cyclamendyke.EntryResponse) (bool, error)) error {
	ctx, cancel := c.withTimeout(call.timeout)
	defer cancel()
	stop := c.showProgress(ctx, call)
	defer stop()
	for {
		response, err := c.sendWithRetries(ctx, call)
		if ctx.Err() != nil {
			return c.newTimeoutError(ctx, call)
		}
		if err != nil {
			return err
		}
		if ok, err := done(response); ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return c.newTimeoutError(ctx, call)
		case <-c.After(pollInterval):
		}
	}
}

func (c *Client) newTimeoutError(ctx context.Context, call apiCall) error {
	return &Error{Op: call.op, Exit: ExitTimeout, Detail: "the expected state has not come about in time: try again, or use a longer --timeout", Err: ctx.Err()}
}

func (c *Client) printStatus(status cyclamendyke.JobStatus) error {
	c.exitCode = exitCodeOfOutcome(status.Outcome)
	return c.print(status, func() [][]string {
		job := [][]string{
			{"team", formatText(status.Job.Team)},
			{"route", formatText(status.Job.Route)},
			{"tasks", fmt.Sprintf("%d: %d waiting, %d running, %d done, %d failed", status.Job.Tasks, status.Waiting, status.Running, status.Done, status.Failed)},
			{"accepted", formatTime(status.Job.AcceptedAt)},
		}
		return slices.Concat(job, outcomeRows(status.Outcome))
	})
}
