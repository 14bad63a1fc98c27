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

// progressInterval is the time between two progress messages while a command waits.
const progressInterval = 10 * time.Second

// apiCall is an API request, which may be tried at several entry VMs.
type apiCall struct {
	op               string // The command, for error messages.
	method           string
	path             string
	key              string
	body             any
	repeatable       bool          // The call may be sent again even if an earlier attempt may have taken effect.
	conclusiveStatus int           // Error status that is conclusive even after an attempt of unknown outcome; zero for none.
	timeout          time.Duration // Default for --timeout; zero for no timeout.
}

// operatorCall returns a call that is authorized by the operator key.
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

// withTimeout derives a context with --timeout or, if that is not given, with fallback; zero means
// no timeout.
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

// send sends the call, with retries and progress messages, and returns the response.
func (c *Client) send(call apiCall) (cyclamendyke.EntryResponse, error) {
	ctx, cancel := c.withTimeout(call.timeout)
	defer cancel()
	stop := c.showProgress(ctx, call)
	defer stop()
	return c.sendWithRetries(ctx, call)
}

// sendWithRetries sends the call to the entry VMs until one answers, and retries for as long as
// --retry-for allows.
func (c *Client) sendWithRetries(ctx context.Context, call apiCall) (cyclamendyke.EntryResponse, error) {
	if len(c.options.Entries) == 0 {
		return cyclamendyke.EntryResponse{}, &Error{Op: call.op, Kind: cyclamendyke.KindInvalid, Detail: "no entry VM given: use --entry HOST:PORT or set CYCLAMENDYKE_ENTRY"}
	}
	body, err := encodeBody(call.body)
	if err != nil {
		return cyclamendyke.EntryResponse{}, &Error{Op: call.op, Kind: cyclamendyke.KindInvalid, Detail: "cannot encode the request as JSON", Err: err}
	}
	deadline := c.Now().Add(c.options.RetryFor)
	retryBackOff := backoff.NewExponentialBackOff()
	for {
		response, err := c.tryEntries(ctx, call, body)
		delay, ok := retryDelay(response, err, retryBackOff)
		if !ok || c.Now().Add(delay).After(deadline) {
			return response, err
		}
		fmt.Fprintf(c.Stderr, "%s: trying again in %v\n", call.op, delay.Round(time.Millisecond))
		select {
		case <-ctx.Done():
			return response, err
		case <-c.After(delay):
		}
	}
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

// tryEntries sends the call to each entry VM in order until one answers. After a failure it tries the
// next one only if sending the call again is safe.
func (c *Client) tryEntries(ctx context.Context, call apiCall, body []byte) (cyclamendyke.EntryResponse, error) {
	var (
		response  cyclamendyke.EntryResponse
		lastErr   error // The error of the last entry VM that did not answer.
		uncertain bool  // An earlier attempt may have taken effect.
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
			return response, call.checkUncertain(response, uncertain, lastErr)
		case errors.Is(err, entry.ErrDryRun):
			return response, err
		case err != nil:
			lastErr = err
			uncertain = uncertain || call.mayHaveTakenEffect(err)
		}
		if uncertain && !call.repeatable || ctx.Err() != nil {
			break
		}
	}
	if response.Status != 0 {
		return response, call.checkUncertain(response, uncertain, lastErr)
	}
	if uncertain {
		return response, call.newUncertainError(lastErr)
	}
	return response, &Error{Op: call.op, Kind: cyclamendyke.KindUnavailable, Detail: "no entry VM answered, nothing was done: check --entry and the network, or use --retry-for", Err: lastErr}
}

// mayHaveTakenEffect reports whether a call that failed with err may still have changed something.
func (call apiCall) mayHaveTakenEffect(err error) bool {
	return call.method != http.MethodGet && errors.Is(err, cyclamendyke.KindUnknown)
}

// checkUncertain returns an error if an earlier attempt may have taken effect and this response, an
// error status, does not tell whether it did.
func (call apiCall) checkUncertain(response cyclamendyke.EntryResponse, uncertain bool, cause error) error {
	isConclusive := response.Status < http.StatusBadRequest || call.conclusiveStatus == response.Status
	if !uncertain || isConclusive {
		return nil
	}
	return call.newUncertainError(cause)
}

func (call apiCall) newUncertainError(cause error) error {
	return &Error{Op: call.op, Kind: cyclamendyke.KindUnknown, Detail: "the call was sent but not answered, so it may have taken effect", Err: cause}
}

// isStopping reports whether the entry VM refused the call because it is shutting down.
func isStopping(response cyclamendyke.EntryResponse) bool {
	return response.Status == http.StatusServiceUnavailable && decodeErrorBody(response).Reason == cyclamendyke.ReasonStopping
}

// retryDelay returns the delay before the next attempt, and false if the call must not be retried. A call
// is retried only if no entry VM could be reached or if a refusal says when to retry.
func retryDelay(response cyclamendyke.EntryResponse, err error, retryBackOff *backoff.ExponentialBackOff) (time.Duration, bool) {
	if errors.Is(err, entry.ErrDryRun) {
		return 0, false
	}
	if err != nil {
		return retryBackOff.NextBackOff(), errors.Is(err, cyclamendyke.KindUnavailable)
	}
	if response.Status < http.StatusBadRequest {
		return 0, false
	}
	delay := decodeErrorBody(response).RetryAfter
	return delay, delay > 0
}

// errorBody holds the fields that the bodies of error responses share; success bodies may have some
// of them.
type errorBody struct {
	Verdict    cyclamendyke.Verdict  `json:"verdict"`
	Reason     cyclamendyke.Reason   `json:"reason"`
	Detail     string                `json:"detail"`
	RetryAfter time.Duration         `json:"retry-after-ns"`
	Revision   cyclamendyke.Revision `json:"revision"`
	Faults     []cyclamendyke.Fault  `json:"faults"`
}

func decodeErrorBody(response cyclamendyke.EntryResponse) errorBody {
	var body errorBody
	if err := json.Unmarshal(response.Body, &body); err != nil {
		return errorBody{Detail: fmt.Sprintf("HTTP status %d with an unreadable body", response.Status)}
	}
	return body
}

// fetch sends the call and decodes the response into reply; an error status becomes an error.
func (c *Client) fetch(call apiCall, reply any) error {
	response, err := c.send(call)
	if err != nil {
		return err
	}
	return decodeReply(call, response, reply)
}

func decodeReply(call apiCall, response cyclamendyke.EntryResponse, reply any) error {
	if response.Status >= http.StatusBadRequest {
		return newResponseError(call.op, response)
	}
	if err := json.Unmarshal(response.Body, reply); err != nil {
		return &Error{Op: call.op, Kind: cyclamendyke.KindUnknown, Detail: "cannot decode the response: check that client and daemon have compatible versions", Err: err}
	}
	return nil
}

// newResponseError converts a response with status 400 or above into an error that says what to do.
func newResponseError(op string, response cyclamendyke.EntryResponse) error {
	body := decodeErrorBody(response)
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
			err.Detail += fmt.Sprintf("; retry in %v, or use --retry-for", body.RetryAfter)
		}
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		err.Kind = cyclamendyke.KindUnknown
	}
	if body.Reason == cyclamendyke.ReasonAnswerLost {
		err.Kind = cyclamendyke.KindUnknown
	}
	return err
}

// showProgress writes a message to standard error every progressInterval until the returned function
// is called.
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
