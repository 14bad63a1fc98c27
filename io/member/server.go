package member

import (
	"context"
	"net"
	"sync"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"

	"cyclamendyke"
)

// The methods of the protocol.
const (
	methodSubmitted = "submitted"
	methodStore     = "store"
	methodStatus    = "status"
	methodCancel    = "cancel"
	methodPending   = "pending"
	methodAdvise    = "advise"
	methodCarry     = "carry"
	methodCarried   = "carried"
)

// concurrentCalls is the number of calls of one connection that are answered at once.
const concurrentCalls = 128

// Submission is a workflow that the store holds since a revision.
type Submission struct {
	Workflow *cyclamendyke.Workflow `json:"workflow"`
	Revision cyclamendyke.Revision  `json:"revision,omitempty"`
}

// Question asks for advice.
type Question struct {
	Step    cyclamendyke.StepName   `json:"step"`
	Targets []cyclamendyke.TargetID `json:"targets"`
}

// State is a workflow's state as its scheduler knows it.
type State struct {
	State cyclamendyke.WorkflowState `json:"state"`
	Team  cyclamendyke.TeamName      `json:"team"`
}

// Handler answers the calls of other members.
type Handler interface {
	// Submitted tells the scheduler of a workflow that was stored.
	Submitted(ctx context.Context, submission Submission) error
	// Store stores a workflow for a member that cannot reach the store.
	Store(ctx context.Context, workflow *cyclamendyke.Workflow) error
	// Status returns a workflow's state, or KindNotFound.
	Status(ctx context.Context, id cyclamendyke.WorkflowID) (State, error)
	// Cancel ends a workflow and returns once that is kept, or KindNotFound.
	Cancel(ctx context.Context, id cyclamendyke.WorkflowID) error
	// Pending counts a queue's workflows of which no task has started.
	Pending(ctx context.Context, queue cyclamendyke.QueueName) (int, error)
	// Advise asks for advice in the scheduler's place.
	Advise(ctx context.Context, question Question) (cyclamendyke.Advice, error)
	// Execute takes in orders to targets and returns at once.
	Execute(ctx context.Context, orders Orders) error
	// ReportOutcomes takes in the outcomes of orders, or KindNotScheduler.
	ReportOutcomes(ctx context.Context, outcomes Outcomes) error
}

// none is the result of calls that say no more than that they were made.
type none struct{}

// serve wraps a handler's method.
func serve[P, R any](method func(context.Context, P) (R, error)) jrpc2.Handler {
	return handler.New(func(ctx context.Context, params [1]P) (R, error) {
		result, err := method(ctx, params[0])
		return result, codes.Encode(err)
	})
}

// act wraps a handler's method that returns nothing.
func act[P any](method func(context.Context, P) error) jrpc2.Handler {
	return serve(func(ctx context.Context, params P) (none, error) {
		return none{}, method(ctx, params)
	})
}

// Server answers the calls of other members.
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

// NewServer returns a server that answers until it is closed.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{listener: cfg.Listener, conns: map[net.Conn]struct{}{}}
	h := cfg.Handler
	methods := handler.Map{
		methodSubmitted: act(h.Submitted),
		methodStore:     act(h.Store),
		methodStatus:    serve(h.Status),
		methodCancel:    act(h.Cancel),
		methodPending:   serve(h.Pending),
		methodAdvise:    serve(h.Advise),
		methodCarry:     act(h.Execute),
		methodCarried:   act(h.ReportOutcomes),
	}
	go func() {
		for {
			conn, err := cfg.Listener.Accept()
			if err != nil {
				return
			}
			go s.answer(conn, methods)
		}
	}()
	return s
}

func (s *Server) answer(conn net.Conn, methods handler.Map) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	server := jrpc2.NewServer(methods, &jrpc2.ServerOptions{Concurrency: concurrentCalls}).Start(channel.Line(conn, conn))
	_ = server.Wait() // The connection's end is no fault.
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

// Close ends all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}
