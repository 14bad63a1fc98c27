package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"cyclamendyke"
	"cyclamendyke/io/entry"
)

// progressInterval is the time between two lines of progress on a long wait.
const progressInterval = 10 * time.Second

// apiCall is one call of a command, which may be sent to several entry VMs in turn.
type apiCall struct {
	op         string // The command, for errors.
	method     string
	path       string
	key        string
	body       any
	repeatable bool          // May be sent again when an earlier sending may have taken effect.
	settles    int           // Status of the refusal that also answers for an earlier sending; zero for none.
	timeout    time.Duration // When --timeout is not given; zero for none.
}

// operatorCall returns a call that shows the operators' key.
func (c *Client) operatorCall(op, method, path string, body any) apiCall {
	return apiCall{
		op:         op,
		method:     method,
		path:       path,
		key:        c.options.OperatorKey,
		body:       body,
		repeatable: true,
		timeout:    defaultTimeout,
	}
}

// withTimeout bounds ctx by --timeout, or by fallback if that is not given; zero is no bound.
func (c *Client) withTimeout(fallback time.Duration) (context.Context, context.CancelFunc) {
	timeout := c.options.Timeout
	if timeout == 0 {
		timeout = fallback
	}
	if timeout == 0 {
		return context.WithCancel(c.ctx)
	}
	return context.WithTimeout(c.ctx, timeout)
}

// send sends the call to the entry VMs until one answers, and again while --retry-for allows it.
func (c *Client) send(call apiCall) (cyclamendyke.EntryResponse, error) {
	ctx, cancel := c.withTimeout(call.timeout)
	defer cancel()
	stop := c.showProgress(ctx, call)
	defer stop()
	return c.sendIn(ctx, call)
}

func (c *Client) sendIn(ctx context.Context, call apiCall) (cyclamendyke.EntryResponse, error) {
	if len(c.options.Entries) == 0 {
		return cyclamendyke.EntryResponse{}, &Error{Op: call.op, Kind: cyclamendyke.KindInvalid, Detail: "no entry VM is named: give --entry HOST:PORT or set CYCLAMENDYKE_ENTRY"}
	}
	body, err := encodeBody(call.body)
	if err != nil {
		return cyclamendyke.EntryResponse{}, &Error{Op: call.op, Kind: cyclamendyke.KindInvalid, Detail: "the request cannot be written as JSON", Err: err}
	}
	deadline := c.Now().Add(c.options.RetryFor)
	pause := backoff.NewExponentialBackOff()
	for {
		response, err := c.sendOnce(ctx, call, body)
		wait, ok := retryWait(response, err, pause)
		if !ok || c.Now().Add(wait).After(deadline) {
			return response, err
		}
		fmt.Fprintf(c.Stderr, "%s: trying again in %v\n", call.op, wait.Round(time.Millisecond))
		select {
		case <-ctx.Done():
			return response, err
		case <-c.After(wait):
		}
	}
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

// sendOnce tries the entry VMs in order; it goes on to the next one only if the call can be sent again without harm.
func (c *Client) sendOnce(ctx context.Context, call apiCall, body []byte) (cyclamendyke.EntryResponse, error) {
	var (
		response cyclamendyke.EntryResponse
		lastErr  error // What the last entry VM that gave no answer failed with.
		doubtful bool  // An earlier sending may have taken effect.
	)
	for _, address := range c.options.Entries {
		var err error
		response, err = c.Entry.Do(ctx, cyclamendyke.EntryRequest{
			Address: address,
			Method:  call.method,
			Path:    call.path,
			Key:     call.key,
			Body:    body,
		})
		switch {
		case err == nil && !isStopping(response):
			return response, call.checkDoubt(response, doubtful, lastErr)
		case errors.Is(err, entry.ErrDryRun):
			return response, err
		case err != nil:
			lastErr = err
			doubtful = doubtful || call.leavesDoubt(err)
		}
		if doubtful && !call.repeatable || ctx.Err() != nil {
			break
		}
	}
	if response.Status != 0 {
		return response, call.checkDoubt(response, doubtful, lastErr)
	}
	if doubtful {
		return response, call.newDoubt(lastErr)
	}
	return response, &Error{Op: call.op, Kind: cyclamendyke.KindUnavailable, Detail: "no entry VM answered, nothing was done: check --entry and the network, or give --retry-for", Err: lastErr}
}

// leavesDoubt reports whether a call that ended with err may have changed something.
func (call apiCall) leavesDoubt(err error) bool {
	return call.method != http.MethodGet && errors.Is(err, cyclamendyke.KindUnknown)
}

// checkDoubt returns an error if a refusal of this sending says nothing about an earlier one that may have taken effect.
func (call apiCall) checkDoubt(response cyclamendyke.EntryResponse, doubtful bool, cause error) error {
	isSettled := response.Status < http.StatusBadRequest || call.settles == response.Status
	if !doubtful || isSettled {
		return nil
	}
	return call.newDoubt(cause)
}

func (call apiCall) newDoubt(cause error) error {
	return &Error{Op: call.op, Kind: cyclamendyke.KindUnknown, Detail: "the call was sent and no answer came, so it may have taken effect", Err: cause}
}

// isStopping reports whether an entry VM refused the call because it is being stopped.
func isStopping(response cyclamendyke.EntryResponse) bool {
	return response.Status == http.StatusServiceUnavailable && decodeRefusal(response).Reason == cyclamendyke.ReasonStopping
}

// retryWait returns after what time a call that had no effect is worth another try, and whether it is.
func retryWait(response cyclamendyke.EntryResponse, err error, pause *backoff.ExponentialBackOff) (time.Duration, bool) {
	if errors.Is(err, entry.ErrDryRun) {
		return 0, false
	}
	if err != nil {
		return pause.NextBackOff(), errors.Is(err, cyclamendyke.KindUnavailable)
	}
	if response.Status < http.StatusBadRequest {
		return 0, false
	}
	wait := decodeRefusal(response).RetryAfter
	return wait, wait > 0
}

// refusal is the part that the bodies of all refusals have in common.
type refusal struct {
	Verdict    cyclamendyke.Verdict  `json:"verdict"`
	Reason     cyclamendyke.Reason   `json:"reason"`
	Detail     string                `json:"detail"`
	RetryAfter time.Duration         `json:"retry-after-ns"`
	Revision   cyclamendyke.Revision `json:"revision"`
	Faults     []cyclamendyke.Fault  `json:"faults"`
}

func decodeRefusal(response cyclamendyke.EntryResponse) refusal {
	var body refusal
	if err := json.Unmarshal(response.Body, &body); err != nil {
		return refusal{Detail: fmt.Sprintf("HTTP status %d without a readable body", response.Status)}
	}
	return body
}

// fetch sends the call and reads the answer into reply; refusals become errors.
func (c *Client) fetch(call apiCall, reply any) error {
	response, err := c.send(call)
	if err != nil {
		return err
	}
	return decodeReply(call, response, reply)
}

func decodeReply(call apiCall, response cyclamendyke.EntryResponse, reply any) error {
	if response.Status >= http.StatusBadRequest {
		return refusalError(call.op, response)
	}
	if err := json.Unmarshal(response.Body, reply); err != nil {
		return &Error{Op: call.op, Kind: cyclamendyke.KindUnknown, Detail: "the answer is not what this client reads: compare the versions of client and daemon", Err: err}
	}
	return nil
}

// refusalError turns an answer of status 400 or above into an error that says what to do.
func refusalError(op string, response cyclamendyke.EntryResponse) error {
	body := decodeRefusal(response)
	err := &Error{Op: op, Kind: cyclamendyke.KindInvalid, Reason: body.Reason, Detail: body.Detail}
	switch response.Status {
	case http.StatusUnauthorized, http.StatusForbidden:
		err.Exit = ExitBadKey
		err.Detail += "; check --key or --operator-key"
	case http.StatusNotFound:
		err.Kind = cyclamendyke.KindNotFound
	case http.StatusConflict:
		err.Kind = cyclamendyke.KindConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		err.Kind = cyclamendyke.KindUnavailable
		if body.RetryAfter > 0 {
			err.Detail += fmt.Sprintf("; come back in %v, or give --retry-for", body.RetryAfter)
		}
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		err.Kind = cyclamendyke.KindUnknown
	}
	if body.Reason == cyclamendyke.ReasonAnswerLost {
		err.Kind = cyclamendyke.KindUnknown
	}
	return err
}

// showProgress writes a line on standard error at each progressInterval until the returned function is called.
func (c *Client) showProgress(ctx context.Context, call apiCall) func() {
	ctx, cancel := context.WithCancel(ctx)
	start := c.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-c.After(progressInterval):
				fmt.Fprintf(c.Stderr, "%s: still waiting after %v\n", call.op, c.Now().Sub(start).Round(time.Second))
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
