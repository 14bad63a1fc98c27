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

// connClass assigns calls to separate connections, since a slow call that times out closes its connection.
type connClass string

const (
	classCalls  connClass = "calls"
	classAdvice connClass = "advice"
	classOrders connClass = "orders"
	classChecks connClass = "checks"
	classStore  connClass = "store"
	classFinal  connClass = "final"
	classConfig connClass = "config"
)

// connKey identifies the connection of one class to one address.
type connKey struct {
	address string
	class   connClass
}

// Client calls other members over connections that it reuses; it is safe for concurrent use.
type Client struct {
	mu      sync.Mutex
	clients map[connKey]*jrpc2.Client
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{clients: map[connKey]*jrpc2.Client{}}
}

// connect returns the open connection or dials a new one.
func (c *Client) connect(ctx context.Context, key connKey) (*jrpc2.Client, error) {
	c.mu.Lock()
	client := c.clients[key]
	c.mu.Unlock()
	if client != nil && !client.IsStopped() {
		return client, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	fresh := jrpc2.NewClient(channel.Line(conn, conn), nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.clients[key]; client != nil && !client.IsStopped() {
		go func() { _ = fresh.Close() }()
		return client, nil
	}
	c.clients[key] = fresh
	return fresh, nil
}

// drop closes a connection on which a call timed out or was cancelled, since it may be half-open.
func (c *Client) drop(key connKey, client *jrpc2.Client) {
	c.mu.Lock()
	if c.clients[key] == client {
		delete(c.clients, key)
	}
	c.mu.Unlock()
	go func() { _ = client.Close() }()
}

// call makes one call; it returns KindUnavailable if the request could not be sent.
func call[P, R any](ctx context.Context, c *Client, key connKey, method string, params P) (R, error) {
	var result R
	client, err := c.connect(ctx, key)
	if err != nil {
		return result, NewError(method, cyclamendyke.KindUnavailable, err)
	}
	err = client.CallResult(ctx, method, [1]P{params}, &result)
	if err == nil {
		return result, nil
	}
	if ctx.Err() != nil {
		c.drop(key, client)
	}
	return result, decodeError(method, err)
}

// NotifySubmitted notifies the scheduler at an address of a workflow that was written to the store.
func (c *Client) NotifySubmitted(ctx context.Context, address string, submission Submission) error {
	_, err := call[Submission, empty](ctx, c, connKey{address, classCalls}, methodNotifySubmitted, submission)
	return err
}

// CheckStore returns an error unless the member at an address reaches the store; it has no effect.
func (c *Client) CheckStore(ctx context.Context, address string) error {
	_, err := call[empty, empty](ctx, c, connKey{address, classChecks}, methodCheckStore, empty{})
	return err
}

// StoreWorkflow asks the member at an address to write a workflow to the store.
func (c *Client) StoreWorkflow(ctx context.Context, address string, workflow *cyclamendyke.Workflow) error {
	_, err := call[*cyclamendyke.Workflow, empty](ctx, c, connKey{address, classStore}, methodStoreWorkflow, workflow)
	return err
}

// Status returns a workflow's state from the scheduler at an address.
func (c *Client) Status(ctx context.Context, address string, id cyclamendyke.WorkflowID) (WorkflowStatus, error) {
	return call[cyclamendyke.WorkflowID, WorkflowStatus](ctx, c, connKey{address, classCalls}, methodStatus, id)
}

// Cancel asks the scheduler at an address to cancel a workflow.
func (c *Client) Cancel(ctx context.Context, address string, id cyclamendyke.WorkflowID) error {
	_, err := call[cyclamendyke.WorkflowID, empty](ctx, c, connKey{address, classCalls}, methodCancel, id)
	return err
}

// Pending returns how many workflows of a queue have no started task, from the scheduler at an address.
func (c *Client) Pending(ctx context.Context, address string, queue cyclamendyke.QueueName) (int, error) {
	return call[cyclamendyke.QueueName, int](ctx, c, connKey{address, classCalls}, methodPending, queue)
}

// Advise asks the member at an address to call the advice service.
func (c *Client) Advise(ctx context.Context, address string, request AdviceRequest) (cyclamendyke.Advice, error) {
	return call[AdviceRequest, cyclamendyke.Advice](ctx, c, connKey{address, classAdvice}, methodAdvise, request)
}

// ExecuteOrders sends orders to the member at an address, which passes them to their targets.
func (c *Client) ExecuteOrders(ctx context.Context, address string, orders Orders) error {
	_, err := call[Orders, empty](ctx, c, connKey{address, classOrders}, methodExecuteOrders, orders)
	return err
}

// OrdersConnected reports whether the connection used to send orders to an address is still open.
func (c *Client) OrdersConnected(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[connKey{address, classOrders}]
	return client != nil && !client.IsStopped()
}

// ReportOutcomes reports the outcomes of orders to the scheduler at an address.
func (c *Client) ReportOutcomes(ctx context.Context, address string, outcomes Outcomes) error {
	_, err := call[Outcomes, empty](ctx, c, connKey{address, classOrders}, methodReportOutcomes, outcomes)
	return err
}

// LeaseSightings asks the member at an address when it has seen what the store says of leases on targets.
func (c *Client) LeaseSightings(ctx context.Context, address string, request LeaseSightingsRequest) (LeaseSightings, error) {
	return call[LeaseSightingsRequest, LeaseSightings](ctx, c, connKey{address, classFinal}, methodLeaseSightings, request)
}

// FinalList asks the last scheduler at an address for its final list; KindInvalid means that it is of a version
// without one.
func (c *Client) FinalList(ctx context.Context, address string, request FinalListRequest) (FinalList, error) {
	return call[FinalListRequest, FinalList](ctx, c, connKey{address, classFinal}, methodFinalList, request)
}

// Operators asks the member at an address for its copy of what operators have written.
func (c *Client) Operators(ctx context.Context, address string, request OperatorsRequest) (OperatorsCopy, error) {
	return call[OperatorsRequest, OperatorsCopy](ctx, c, connKey{address, classConfig}, methodOperators, request)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, client := range c.clients {
		go func() { _ = client.Close() }()
		delete(c.clients, key)
	}
}
