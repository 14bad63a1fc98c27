package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/size"
)

type submitOptions struct {
	client         *Client
	Route          string        `long:"route" value-name:"NAME" required:"yes" description:"route of the work"`
	Team           string        `long:"team" value-name:"NAME" description:"refuse the work unless the key belongs to this team"`
	Tasks          int           `long:"tasks" value-name:"N" default:"1" description:"number of tasks"`
	Cores          string        `long:"cores" value-name:"N" default:"1" description:"cores of one task, such as 4 or 0.5"`
	Memory         string        `long:"memory" value-name:"SIZE" default:"512MiB" description:"memory of one task, such as 2GiB"`
	Accelerators   int64         `long:"accelerators" value-name:"N" description:"accelerators of one task"`
	Connections    int64         `long:"connections" value-name:"N" description:"connections of one task"`
	RunTime        time.Duration `long:"run-time" value-name:"TIME" description:"expected run time of a task"`
	Urgent         bool          `long:"urgent" description:"start before other work of the same route"`
	Detach         bool          `long:"detach" description:"return once the work is stored, without waiting for it to run"`
	NotRepeatable  bool          `long:"not-repeatable" description:"run at most once"`
	IdempotencyKey string        `long:"idempotency-key" value-name:"TEXT" description:"submitting again with the same text returns the first outcome; generated for --not-repeatable if not given"`
	Payload        string        `long:"payload" value-name:"TEXT" description:"payload that is passed to the worker"`
	PayloadFile    string        `long:"payload-file" value-name:"FILE" description:"file with the payload, - for standard input"`
}

// Execute submits the work and prints its outcome.
func (o *submitOptions) Execute([]string) error {
	return o.client.runSubmit(o)
}

func (c *Client) runSubmit(o *submitOptions) error {
	submission, err := c.newSubmission(o)
	if err != nil {
		return err
	}
	call := apiCall{
		op:         "submit",
		method:     http.MethodPost,
		path:       "/v1/jobs",
		key:        c.options.Key,
		body:       submission,
		repeatable: submission.IdempotencyKey != "" || !submission.NotRepeatable && !submission.Detach,
	}
	response, err := c.send(call)
	if errors.Is(err, cyclamendyke.KindUnknown) {
		return c.newUncertainSubmitError(submission, err)
	}
	if err != nil {
		return err
	}
	var outcome cyclamendyke.Outcome
	if err := json.Unmarshal(response.Body, &outcome); err != nil || !isKnownVerdict(outcome.Verdict) {
		return c.newUncertainSubmitError(submission, fmt.Errorf("HTTP status %d without an outcome", response.Status))
	}
	c.exitCode = exitCodeOfOutcome(outcome)
	return c.printOutcome(outcome)
}

func (c *Client) newSubmission(o *submitOptions) (cyclamendyke.Submission, error) {
	cores, coresErr := size.Cores(o.Cores)
	memory, memoryErr := size.MemoryCeil(o.Memory)
	payload, payloadErr := c.readPayload(o)
	if err := errors.Join(coresErr, memoryErr, payloadErr); err != nil {
		return cyclamendyke.Submission{}, &Error{Op: "submit", Kind: cyclamendyke.KindInvalid, Detail: "invalid request", Err: err}
	}
	submission := cyclamendyke.Submission{
		Route: cyclamendyke.RouteName(o.Route),
		Tasks: o.Tasks,
		PerTask: cyclamendyke.Resources{
			Cores:        cores,
			Memory:       memory,
			Accelerators: o.Accelerators,
			Slots:        1,
			Connections:  o.Connections,
		},
		RunTime:        o.RunTime,
		Urgent:         o.Urgent,
		Detach:         o.Detach,
		NotRepeatable:  o.NotRepeatable,
		IdempotencyKey: o.IdempotencyKey,
		Team:           cyclamendyke.TeamName(o.Team),
		Payload:        payload,
	}
	if submission.NotRepeatable && submission.IdempotencyKey == "" {
		submission.IdempotencyKey = c.NewID()
		fmt.Fprintf(c.Stderr, "submit: the idempotency key of this request is %s\n", submission.IdempotencyKey)
	}
	return submission, nil
}

func (c *Client) readPayload(o *submitOptions) (string, error) {
	if o.Payload != "" && o.PayloadFile != "" {
		return "", errors.New("--payload and --payload-file are mutually exclusive")
	}
	switch o.PayloadFile {
	case "":
		return o.Payload, nil
	case "-":
		payload, err := io.ReadAll(c.Stdin)
		return string(payload), err
	default:
		payload, err := os.ReadFile(o.PayloadFile)
		return string(payload), err
	}
}

// newUncertainSubmitError returns an error that says that the work may have run and how to find out.
func (c *Client) newUncertainSubmitError(submission cyclamendyke.Submission, cause error) error {
	detail := "the work may have run: check 'cyclamendyke account' and the worker's own records before submitting it again"
	if submission.IdempotencyKey != "" {
		detail = fmt.Sprintf("the work may have run: hand it in again with --idempotency-key %s to get its first outcome", submission.IdempotencyKey)
	}
	return &Error{Op: "submit", Kind: cyclamendyke.KindUnknown, Reason: cyclamendyke.ReasonAnswerLost, Detail: detail, Err: cause}
}

func isKnownVerdict(verdict cyclamendyke.Verdict) bool {
	switch verdict {
	case cyclamendyke.VerdictPending, cyclamendyke.VerdictRan, cyclamendyke.VerdictNotRun, cyclamendyke.VerdictMayHaveRun:
		return true
	default:
		return false
	}
}
