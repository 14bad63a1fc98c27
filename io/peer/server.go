package peer

import (
	"net"
	"sync"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
)

// maxConcurrentCalls limits the calls in progress on one connection; it is high because most calls
// wait until a task ends.
const maxConcurrentCalls = 16384

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	Handler  Handler
	Clock    Clock
}

// Server serves calls from peers.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[*jrpc2.Server]net.Conn
	closed   bool
	wg       sync.WaitGroup
}

// NewServer starts a server, which accepts connections until Close.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{listener: cfg.Listener, conns: make(map[*jrpc2.Server]net.Conn)}
	methods := assigner(cfg.Clock, cfg.Handler)
	s.wg.Go(func() {
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
			s.wg.Go(func() {
				_ = rpc.Wait()
				s.remove(rpc)
			})
		}
	})
	return s
}

// Close stops listening, closes all connections and waits for the calls in progress.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for _, conn := range s.conns {
		_ = conn.Close() // Stops the connection's jrpc2.Server; its Stop method panics if a request arrives meanwhile.
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// add registers a connection, or returns false if s is closed.
func (s *Server) add(rpc *jrpc2.Server, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[rpc] = conn
	return true
}

func (s *Server) remove(rpc *jrpc2.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, rpc)
}
