package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/callers"
)

// testServer is a guarded server whose handler reads the bodies of POST requests, and holds other requests until release is closed.
type testServer struct {
	t       *testing.T
	guard   *Guard
	address string
	holds   chan struct{} // Receives a value for each request that is held.
	release chan struct{}
}

// bodyTimeout is how long the test server waits for a body.
const bodyTimeout = 200 * time.Millisecond

func newTestServer(t *testing.T, maxConnections int) *testServer {
	const memoryBytes = 64 << 20
	s := &testServer{t: t, guard: newTestGuard(t, memoryBytes), holds: make(chan struct{}, maxConnections), release: make(chan struct{})}
	s.guard.limits.Connections = maxConnections
	server := &http.Server{Handler: s}
	s.guard.Attach(server)
	listener, err := s.guard.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	s.address = listener.Addr().String()
	return s
}

// ServeHTTP answers with 429 if a body is not read.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		s.holds <- struct{}{}
		<-s.release
		return
	}
	request := RequestOf(r)
	request.ReadWithin(bodyTimeout)
	if _, err := request.ReadBody(r.Body, r.ContentLength, maxTestBody); cyclamendyke.KindOf(err) == cyclamendyke.KindLimited {
		w.WriteHeader(http.StatusTooManyRequests)
	}
}

// send sends a text on a new connection.
func (s *testServer) send(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// testResponse is what tests look at in a response.
type testResponse struct {
	status     int
	retryAfter string
	closes     bool // The connection is not kept.
}

// readResponse returns the response on a connection.
func (s *testServer) readResponse(conn net.Conn) testResponse {
	s.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = response.Body.Close()
	return testResponse{response.StatusCode, response.Header.Get("Retry-After"), response.Close}
}

// TestSlowBodyHoldsItsRequest stops short of the end of a body, which must be answered and ends the connection.
func TestSlowBodyHoldsItsRequest(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	response := s.readResponse(s.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc"))
	is.Equal(response.status, http.StatusTooManyRequests)
	is.True(response.closes)
	is.Equal(s.guard.budget.Usage().TurnedAway[callers.ReasonSlowBody], int64(1))
}

// TestCallerWithoutRoomIsNotAnswered uses all connections for requests that are being handled.
func TestCallerWithoutRoomIsNotAnswered(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	held := s.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.holds
	response := s.readResponse(s.send(""))
	is.Equal(response.status, http.StatusServiceUnavailable)
	is.Equal(response.retryAfter, "1")
	close(s.release)
	is.Equal(s.readResponse(held).status, http.StatusOK)
}

// TestHeadAboveLimitIsNotAnswered sends a head above the default limit.
func TestHeadAboveLimitIsNotAnswered(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	response := s.readResponse(s.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:b\r\n", 4500)))
	is.Equal(response.status, http.StatusRequestHeaderFieldsTooLarge)
}
