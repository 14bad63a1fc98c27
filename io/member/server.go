package member

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"

	"cyclamendyke"
)

// The JSON-RPC methods.
const (
	methodNotifySubmitted = "submitted"
	methodStoreWorkflow   = "store"
	methodCheckStore      = "check-store"
	methodStatus          = "status"
	methodCancel          = "cancel"
	methodPending         = "pending"
	methodAdvise          = "advise"
	methodExecuteOrders   = "carry"
	methodReportOutcomes  = "carried"
	methodFinalList       = "final-list"
	methodOperators       = "operators"
	methodLeaseSightings  = "lease-sightings"
)

// maxConcurrentCalls limits the calls that are handled concurrently on one connection.
const maxConcurrentCalls = 128

// Submission is a workflow and the store revision at which it was written.
type Submission struct {
	Workflow *cyclamendyke.Workflow `json:"workflow"`
	Revision cyclamendyke.Revision  `json:"revision,omitempty"`
}

// Validate returns an error unless the submission holds a valid workflow.
func (s Submission) Validate() error {
	return s.Workflow.Validate()
}

// AdviceRequest asks the advice service which of the targets may run a step.
type AdviceRequest struct {
	Step    cyclamendyke.StepName   `json:"step"`
	Targets []cyclamendyke.TargetID `json:"targets"`
}

// WorkflowStatus is a workflow's state and team.
type WorkflowStatus struct {
	State cyclamendyke.WorkflowState `json:"state"`
	Team  cyclamendyke.TeamName      `json:"team"`
}

// Handler handles calls from other members.
type Handler interface {
	// NotifySubmitted notifies the scheduler of a workflow that was written to the store.
	NotifySubmitted(ctx context.Context, submission Submission) error
	// StoreWorkflow writes a workflow to the store for a member that cannot reach the store.
	StoreWorkflow(ctx context.Context, workflow *cyclamendyke.Workflow) error
	// CheckStore returns KindUnavailable unless this member reaches the store; it has no effect.
	CheckStore(ctx context.Context) error
	// Status returns a workflow's state, or KindNotFound.
	Status(ctx context.Context, id cyclamendyke.WorkflowID) (WorkflowStatus, error)
	// Cancel cancels a workflow and returns once that is stored, or KindNotFound.
	Cancel(ctx context.Context, id cyclamendyke.WorkflowID) error
	// Pending returns how many workflows of a queue have no started task.
	Pending(ctx context.Context, queue cyclamendyke.QueueName) (int, error)
	// Advise calls the advice service for the scheduler.
	Advise(ctx context.Context, request AdviceRequest) (cyclamendyke.Advice, error)
	// ExecuteOrders accepts orders to targets and returns before they are executed.
	ExecuteOrders(ctx context.Context, orders Orders) error
	// ReportOutcomes accepts the outcomes of orders, or returns KindNotScheduler.
	ReportOutcomes(ctx context.Context, outcomes Outcomes) error
	// FinalList ends an earlier term and returns its final list, or KindNotFound.
	FinalList(ctx context.Context, request FinalListRequest) (FinalList, error)
	// LeaseSightings returns when this member has seen what the store says of leases on targets.
	LeaseSightings(ctx context.Context, request LeaseSightingsRequest) (LeaseSightings, error)
	// Operators returns this member's copy of what operators have written, or KindNotFound.
	Operators(ctx context.Context, request OperatorsRequest) (OperatorsCopy, error)
}

// empty is the result of calls that return no data.
type empty struct{}

// rpcHandler adapts a Handler method to JSON-RPC. A panic ends the call, whose outcome then is unknown, and not
// the process.
func rpcHandler[P, R any](method func(context.Context, P) (R, error)) jrpc2.Handler {
	return handler.New(func(ctx context.Context, params [1]P) (result R, err error) {
		defer func() {
			if cause := recover(); cause != nil {
				err = NewError("serve", cyclamendyke.KindUnknown, fmt.Errorf("panic: %v", cause))
			}
			err = errorCodes.Encode(err)
		}()
		if validator, ok := any(params[0]).(interface{ Validate() error }); ok {
			if err := validator.Validate(); err != nil {
				return result, err
			}
		}
		return method(ctx, params[0])
	})
}

// rpcHandlerNoResult adapts a Handler method that returns only an error.
func rpcHandlerNoResult[P any](method func(context.Context, P) error) jrpc2.Handler {
	return rpcHandler(func(ctx context.Context, params P) (empty, error) {
		return empty{}, method(ctx, params)
	})
}

// Server serves calls from other members.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	Handler  Handler
}

// NewServer starts a server, which runs until Close.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{listener: cfg.Listener, conns: map[net.Conn]struct{}{}}
	h := cfg.Handler
	methods := handler.Map{
		methodNotifySubmitted: rpcHandlerNoResult(h.NotifySubmitted),
		methodStoreWorkflow:   rpcHandlerNoResult(h.StoreWorkflow),
		methodCheckStore:      rpcHandlerNoResult(func(ctx context.Context, _ empty) error { return h.CheckStore(ctx) }),
		methodStatus:          rpcHandler(h.Status),
		methodCancel:          rpcHandlerNoResult(h.Cancel),
		methodPending:         rpcHandler(h.Pending),
		methodAdvise:          rpcHandler(h.Advise),
		methodExecuteOrders:   rpcHandlerNoResult(h.ExecuteOrders),
		methodReportOutcomes:  rpcHandlerNoResult(h.ReportOutcomes),
		methodFinalList:       rpcHandler(h.FinalList),
		methodLeaseSightings:  rpcHandler(h.LeaseSightings),
		methodOperators:       rpcHandler(h.Operators),
	}
	go func() {
		for {
			conn, err := cfg.Listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn, methods)
		}
	}()
	return s
}

// serveConn serves calls on conn until the connection ends.
func (s *Server) serveConn(conn net.Conn, methods handler.Map) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	server := jrpc2.NewServer(methods, &jrpc2.ServerOptions{Concurrency: maxConcurrentCalls}).Start(channel.Line(conn, conn))
	_ = server.Wait() // A closed connection is not an error.
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}
