package peer

import (
	"net"
	"sync"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
)

// maxConcurrentCalls bounds the calls in progress on one connection; most of them wait for a task to end.
const maxConcurrentCalls = 16384

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	Handler  Handler
	Clock    Clock
}

// Server answers other processes until it is closed.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	open     map[*jrpc2.Server]net.Conn
	closed   bool
	done     sync.WaitGroup
}

// NewServer starts to accept connections on the configured listener.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{listener: cfg.Listener, open: make(map[*jrpc2.Server]net.Conn)}
	methods := assigner(cfg.Clock, cfg.Handler)
	s.done.Go(func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			rpc := jrpc2.NewServer(methods, &jrpc2.ServerOptions{Concurrency: maxConcurrentCalls})
			if !s.add(rpc, conn) {
				_ = conn.Close()
				return
			}
			rpc.Start(channel.Line(conn, conn))
			s.done.Go(func() {
				_ = rpc.Wait()
				s.remove(rpc)
			})
		}
	})
	return s
}

// Close stops listening, ends every connection and waits for the calls in progress.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for _, conn := range s.open {
		_ = conn.Close() // Ends the server of the connection; its own Stop panics if a request arrives meanwhile.
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) add(rpc *jrpc2.Server, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[rpc] = conn
	return true
}

func (s *Server) remove(rpc *jrpc2.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, rpc)
}
