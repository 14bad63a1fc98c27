package jsonhttp

import (
	"bytes"
	"cmp"
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

// callerHeader holds the name of the calling process.
const callerHeader = "Cyclamendyke-Caller"

// DefaultTimeout is the limit of a call whose client has none of its own.
const DefaultTimeout = 2 * time.Second

const (
	dialTimeout        = time.Second
	idleTimeout        = 90 * time.Second
	maxIdleConnections = 512
	maxResponseBytes   = 64 << 20
)

// Config configures a client.
type Config struct {
	Caller  string        // Name of this process, sent with each request.
	Timeout time.Duration // Limit that WithTimeout sets; DefaultTimeout if zero.
	Dial    Dial          // Opens connections; TCP if nil.
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client posts JSON over HTTP; it is safe for concurrent use.
type Client struct {
	caller    string
	timeout   time.Duration
	pooled    *http.Transport // Reuses connections.
	singleUse *http.Transport // Opens a connection for each call.
	counters  counters
}

// New returns a client that has not opened a connection yet.
func New(config Config) *Client {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	client := &Client{caller: config.Caller, timeout: cmp.Or(config.Timeout, DefaultTimeout)}
	client.pooled = client.newTransport(config.Dial)
	client.singleUse = client.newTransport(config.Dial)
	client.singleUse.DisableKeepAlives = true
	return client
}

func (c *Client) newTransport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c.counters.connections.Add(1)
			return &countingConn{Conn: conn, counters: &c.counters}, nil
		},
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // Responses are shorter than the Accept-Encoding header that would request it.
	}
}

// WithTimeout limits ctx to the client's timeout plus the time for which the peer may hold the request.
func (c *Client) WithTimeout(ctx context.Context, hold time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, hold+c.timeout)
}

// Call posts in and decodes the response into out; it reuses an idle connection if there is one.
//
// Its errors have the kind that the peer sent, KindUnavailable if no connection was made, and
// KindUnknown if the peer may have received the request.
func (c *Client) Call(ctx context.Context, op, url string, in, out any) error {
	return c.call(ctx, c.pooled, op, url, in, out)
}

// CallNewConn is like Call but always opens a new connection.
func (c *Client) CallNewConn(ctx context.Context, op, url string, in, out any) error {
	return c.call(ctx, c.singleUse, op, url, in, out)
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
	request.Header.Set("User-Agent", "") // Prevents the default User-Agent from being sent.
	request.Header.Set(callerHeader, c.caller)
	c.counters.calls.Add(1)
	if err := roundTrip(transport, request, op, out); err != nil {
		return c.callError(op, connected.Load(), err)
	}
	return nil
}

// roundTrip sends the request and decodes the response into out, or returns the peer's error.
func roundTrip(transport *http.Transport, request *http.Request, op string, out any) error {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxResponseBytes {
		return fmt.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(op, response.Status, body)
	}
	return json.Unmarshal(body, out)
}

// decodeError returns the peer's error, or one with the HTTP status if the body has no error kind
// because something other than the peer answered.
func decodeError(op, status string, body []byte) error {
	var peerError struct {
		Kind   cyclamendyke.Kind  `json:"kind"`
		Detail string             `json:"detail"`
		Fence  cyclamendyke.Epoch `json:"fence"`
	}
	if err := json.Unmarshal(body, &peerError); err != nil || peerError.Kind == "" {
		return fmt.Errorf("status %s", status)
	}
	return &cyclamendyke.Error{Op: op, Kind: peerError.Kind, Err: errors.New(peerError.Detail), Fence: peerError.Fence}
}

// callError returns the peer's own error unchanged; it counts any other failure and wraps it in
// KindUnavailable if connected is false, else in KindUnknown.
func (c *Client) callError(op string, connected bool, err error) error {
	var peerError *cyclamendyke.Error
	if errors.As(err, &peerError) {
		return peerError
	}
	c.counters.failures.Add(1)
	kind := cyclamendyke.KindUnknown
	if !connected {
		kind = cyclamendyke.KindUnavailable
	}
	return &cyclamendyke.Error{Op: op, Kind: kind, Err: err}
}

// Counts returns the client's counts so far.
func (c *Client) Counts() Counts {
	return c.counters.snapshot()
}

// CloseIdleConnections closes the idle connections, so that the next call opens a new one.
func (c *Client) CloseIdleConnections() {
	c.pooled.CloseIdleConnections()
}

// Close closes the idle connections of both transports.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}
