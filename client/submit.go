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
	Route          string        `long:"route" value-name:"NAME" required:"yes" description:"route that the work goes by"`
	Team           string        `long:"team" value-name:"NAME" description:"refuse the work unless the key is this team's"`
	Tasks          int           `long:"tasks" value-name:"N" default:"1" description:"number of tasks"`
	Cores          string        `long:"cores" value-name:"N" default:"1" description:"cores of one task, such as 4 or 0.5"`
	Memory         string        `long:"memory" value-name:"SIZE" default:"512MiB" description:"memory of one task, such as 2GiB"`
	Accelerators   int64         `long:"accelerators" value-name:"N" description:"accelerators of one task"`
	Connections    int64         `long:"connections" value-name:"N" description:"connections of one task"`
	RunTime        time.Duration `long:"run-time" value-name:"TIME" description:"how long a task is expected to run"`
	Urgent         bool          `long:"urgent" description:"start before other work of the route"`
	Detach         bool          `long:"detach" description:"return when the work is kept, before it has run"`
	NotRepeatable  bool          `long:"not-repeatable" description:"run at most once"`
	IdempotencyKey string        `long:"idempotency-key" value-name:"TEXT" description:"the same text again returns the first outcome; made up for --not-repeatable if not given"`
	Payload        string        `long:"payload" value-name:"TEXT" description:"what the worker is given"`
	PayloadFile    string        `long:"payload-file" value-name:"FILE" description:"file that holds the payload, - for standard input"`
}

// Execute hands in the work.
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
		return c.doubtfulSubmit(submission, err)
	}
	if err != nil {
		return err
	}
	var outcome cyclamendyke.Outcome
	if err := json.Unmarshal(response.Body, &outcome); err != nil || !isVerdict(outcome.Verdict) {
		return c.doubtfulSubmit(submission, fmt.Errorf("HTTP status %d without an outcome", response.Status))
	}
	c.exit = exitCodeOfOutcome(outcome)
	return c.printOutcome(outcome)
}

func (c *Client) newSubmission(o *submitOptions) (cyclamendyke.Submission, error) {
	cores, coresErr := size.Cores(o.Cores)
	memory, memoryErr := size.MemoryCeil(o.Memory)
	payload, payloadErr := c.readPayload(o)
	if err := errors.Join(coresErr, memoryErr, payloadErr); err != nil {
		return cyclamendyke.Submission{}, &Error{Op: "submit", Kind: cyclamendyke.KindInvalid, Detail: "the request is not well formed", Err: err}
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
		return "", errors.New("--payload and --payload-file exclude each other")
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

// doubtfulSubmit reports that the work may have run and how to find out.
func (c *Client) doubtfulSubmit(submission cyclamendyke.Submission, cause error) error {
	detail := "the work may have run: ask 'cyclamendyke account' and the worker's own records before handing it in again"
	if submission.IdempotencyKey != "" {
		detail = fmt.Sprintf("the work may have run: hand it in again with --idempotency-key %s to get its first outcome", submission.IdempotencyKey)
	}
	return &Error{Op: "submit", Kind: cyclamendyke.KindUnknown, Reason: cyclamendyke.ReasonAnswerLost, Detail: detail, Err: cause}
}

func isVerdict(verdict cyclamendyke.Verdict) bool {
	switch verdict {
	case cyclamendyke.VerdictPending, cyclamendyke.VerdictRan, cyclamendyke.VerdictNotRun, cyclamendyke.VerdictMayHaveRun:
		return true
	default:
		return false
	}
}
