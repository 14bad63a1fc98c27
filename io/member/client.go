package member

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"

	"cyclamendyke"
)

const (
	dialTimeout = 500 * time.Millisecond
	keepAlive   = time.Second
)

// lane separates calls that take long from others, so that a slow answer does not count as a silent connection.
type lane string

const (
	laneCalls  lane = "calls"
	laneAdvice lane = "advice"
	laneOrders lane = "orders"
)

type linkKey struct {
	address string
	lane    lane
}

// Client calls other members; it is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	links map[linkKey]*jrpc2.Client
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{links: map[linkKey]*jrpc2.Client{}}
}

// connect returns the kept connection or dials a new one.
func (c *Client) connect(ctx context.Context, key linkKey) (*jrpc2.Client, error) {
	c.mu.Lock()
	link := c.links[key]
	c.mu.Unlock()
	if link != nil && !link.IsStopped() {
		return link, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	fresh := jrpc2.NewClient(channel.Line(conn, conn), nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if link := c.links[key]; link != nil && !link.IsStopped() {
		go func() { _ = fresh.Close() }()
		return link, nil
	}
	c.links[key] = fresh
	return fresh, nil
}

// drop closes a connection that may have gone silent.
func (c *Client) drop(key linkKey, link *jrpc2.Client) {
	c.mu.Lock()
	if c.links[key] == link {
		delete(c.links, key)
	}
	c.mu.Unlock()
	go func() { _ = link.Close() }()
}

// call makes one call; KindUnavailable means that it was not sent.
func call[P, R any](ctx context.Context, c *Client, key linkKey, method string, params P) (R, error) {
	var result R
	link, err := c.connect(ctx, key)
	if err != nil {
		return result, NewError(method, cyclamendyke.KindUnavailable, err)
	}
	err = link.CallResult(ctx, method, [1]P{params}, &result)
	if err == nil {
		return result, nil
	}
	if ctx.Err() != nil {
		c.drop(key, link)
	}
	return result, callError(method, err)
}

// Submitted tells the scheduler at an address of a workflow that was stored.
func (c *Client) Submitted(ctx context.Context, address string, submission Submission) error {
	_, err := call[Submission, none](ctx, c, linkKey{address, laneCalls}, methodSubmitted, submission)
	return err
}

// Store has the member at an address store a workflow.
func (c *Client) Store(ctx context.Context, address string, workflow *cyclamendyke.Workflow) error {
	_, err := call[*cyclamendyke.Workflow, none](ctx, c, linkKey{address, laneCalls}, methodStore, workflow)
	return err
}

// Status asks the scheduler at an address for a workflow's state.
func (c *Client) Status(ctx context.Context, address string, id cyclamendyke.WorkflowID) (State, error) {
	return call[cyclamendyke.WorkflowID, State](ctx, c, linkKey{address, laneCalls}, methodStatus, id)
}

// Cancel has the scheduler at an address end a workflow.
func (c *Client) Cancel(ctx context.Context, address string, id cyclamendyke.WorkflowID) error {
	_, err := call[cyclamendyke.WorkflowID, none](ctx, c, linkKey{address, laneCalls}, methodCancel, id)
	return err
}

// Pending asks the scheduler at an address how many workflows of a queue have not begun.
func (c *Client) Pending(ctx context.Context, address string, queue cyclamendyke.QueueName) (int, error) {
	return call[cyclamendyke.QueueName, int](ctx, c, linkKey{address, laneCalls}, methodPending, queue)
}

// Advise has the member at an address ask for advice.
func (c *Client) Advise(ctx context.Context, address string, question Question) (cyclamendyke.Advice, error) {
	return call[Question, cyclamendyke.Advice](ctx, c, linkKey{address, laneAdvice}, methodAdvise, question)
}

// Execute hands orders to the member at an address.
func (c *Client) Execute(ctx context.Context, address string, orders Orders) error {
	_, err := call[Orders, none](ctx, c, linkKey{address, laneOrders}, methodCarry, orders)
	return err
}

// Connected reports whether the connection on which the member at an address was handed orders still stands.
func (c *Client) Connected(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	link := c.links[linkKey{address, laneOrders}]
	return link != nil && !link.IsStopped()
}

// ReportOutcomes reports outcomes to the scheduler at an address.
func (c *Client) ReportOutcomes(ctx context.Context, address string, outcomes Outcomes) error {
	_, err := call[Outcomes, none](ctx, c, linkKey{address, laneOrders}, methodCarried, outcomes)
	return err
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, link := range c.links {
		go func() { _ = link.Close() }()
		delete(c.links, key)
	}
}
