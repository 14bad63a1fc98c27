package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"cyclamendyke"
)

// callerHeader names the calling process.
const callerHeader = "Cyclamendyke-Caller"

const (
	dialTimeout        = time.Second
	idleTimeout        = 90 * time.Second
	maxIdleConnections = 512
	maxAnswerBytes     = 64 << 20
)

// Config configures a client.
type Config struct {
	Caller string // The name of this process.
	Dial   Dial   // Makes connections; TCP if nil.
}

// Dial makes a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls by HTTP; it is safe for concurrent use.
type Client struct {
	caller string
	kept   *http.Transport
	fresh  *http.Transport
	counts counts
}

// New returns a client without connections.
func New(config Config) *Client {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	client := &Client{caller: config.Caller}
	client.kept = client.transport(config.Dial)
	client.fresh = client.transport(config.Dial)
	client.fresh.DisableKeepAlives = true
	return client
}

func (c *Client) transport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c.counts.connections.Add(1)
			return &countedConn{Conn: conn, counts: &c.counts}, nil
		},
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // Answers are shorter than the header that offers it.
	}
}

// Call posts in and decodes the answer into out, on a kept connection if there is one.
//
// Its errors have the kind that the peer answered, KindUnavailable if no
// connection was made, and KindUnknown if the request may have been received.
func (c *Client) Call(ctx context.Context, op, url string, in, out any) error {
	return c.call(ctx, c.kept, op, url, in, out)
}

// CallFresh is Call on a new connection.
func (c *Client) CallFresh(ctx context.Context, op, url string, in, out any) error {
	return c.call(ctx, c.fresh, op, url, in, out)
}

func (c *Client) call(ctx context.Context, transport *http.Transport, op, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &cyclamendyke.Error{Op: op, Kind: cyclamendyke.KindInvalid, Err: err}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return &cyclamendyke.Error{Op: op, Kind: cyclamendyke.KindInvalid, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "") // Not sent at all.
	request.Header.Set(callerHeader, c.caller)
	c.counts.calls.Add(1)
	if err := exchange(transport, request, op, out); err != nil {
		return c.failed(op, connected.Load(), err)
	}
	return nil
}

// exchange sends the request and reads the whole answer.
func exchange(transport *http.Transport, request *http.Request, op string, out any) error {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return refusal(op, response.Status, answer)
	}
	return json.Unmarshal(answer, out)
}

// refusal reads the peer's error, which has a kind unless something else answered in its place.
func refusal(op, status string, answer []byte) error {
	var body struct {
		Kind   cyclamendyke.Kind  `json:"kind"`
		Detail string             `json:"detail"`
		Fence  cyclamendyke.Epoch `json:"fence"`
	}
	if err := json.Unmarshal(answer, &body); err != nil || body.Kind == "" {
		return fmt.Errorf("status %s", status)
	}
	return &cyclamendyke.Error{Op: op, Kind: body.Kind, Err: errors.New(body.Detail), Fence: body.Fence}
}

// failed gives a failure that the peer did not answer its kind.
func (c *Client) failed(op string, connected bool, err error) error {
	var answered *cyclamendyke.Error
	if errors.As(err, &answered) {
		return answered
	}
	c.counts.failures.Add(1)
	kind := cyclamendyke.KindUnknown
	if !connected {
		kind = cyclamendyke.KindUnavailable
	}
	return &cyclamendyke.Error{Op: op, Kind: kind, Err: err}
}

// Counts returns what the client has sent and received so far.
func (c *Client) Counts() Counts {
	return c.counts.read()
}

// DropIdle closes the connections that no call uses, so that the next call makes a new one.
func (c *Client) DropIdle() {
	c.kept.CloseIdleConnections()
}

// Close closes the idle connections of both kinds.
func (c *Client) Close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
