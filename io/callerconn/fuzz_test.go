package callerconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"cyclamendyke"
	"cyclamendyke/core/callers"
)

// maxTestBody is the longest body that the test's handler reads.
const maxTestBody = 8 << 10

// echo answers with what it has read.
func echo(w http.ResponseWriter, r *http.Request) {
	text := ""
	if r.Method == http.MethodPost {
		read, err := RequestOf(r).ReadBody(r.Body, r.ContentLength, maxTestBody)
		text = fmt.Sprintf("%q %s", read, cyclamendyke.KindOf(err))
	}
	w.WriteHeader(http.StatusOK)
	_, _ = fmt.Fprintf(w, "%s %s %d %s", r.Method, r.RequestURI, len(r.Header), text)
}

// newTestGuard returns a guard for a VM of the given memory.
func newTestGuard(t testing.TB, memoryBytes int64) *Guard {
	guard := New(Config{
		Settings: cyclamendyke.FleetSettings{MemoryBytes: memoryBytes, Descriptors: 1000},
		Log:      log.New(io.Discard), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	t.Cleanup(guard.Close)
	return guard
}

// serveEcho serves echo until the test ends, within a guard unless that is nil, and returns the address of its Unix socket: TCP would
// keep each closed connection for a minute.
func serveEcho(t testing.TB, guard *Guard) string {
	address := filepath.Join(t.TempDir(), "socket")
	inner, err := net.Listen("unix", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(echo)}
	t.Cleanup(func() { _ = server.Close() })
	if guard != nil {
		guard.Attach(server)
		inner = &listener{Listener: inner, guard: guard, port: &callers.Port{Max: guard.limits.Connections}}
	}
	go func() { _ = server.Serve(inner) }()
	return address
}

// hangTimeout is how long a server may leave a caller waiting that sends no more.
const hangTimeout = 30 * time.Second

// exchange sends a text, ends the sending side, and returns the statuses and bodies of the responses.
func exchange(t testing.TB, address, text string) (responses []string) {
	conn, err := net.Dial("unix", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	go func() {
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.UnixConn).CloseWrite()
	}()
	in := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(in, nil)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("no answer to %q after %q", text, responses)
		}
		if err != nil {
			return responses
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return responses
		}
		responses = append(responses, fmt.Sprint(response.StatusCode, string(body)))
	}
}

// FuzzRequests compares the responses of a guarded server with those of one without limits, which may give more of them: a guarded
// one closes the connection if a body was not read.
func FuzzRequests(f *testing.F) {
	const head = " /q/1 HTTP/1.1\r\nHost: h\r\n"
	for _, seed := range []string{
		"", "\r\n", "\r\n\r\n\r\n\r\n\r\n", "GET", "\n\nGET / HTTP/1.0\n\n",
		"GET" + head + "\r\n" + "GET" + head + "\r\n",
		"GET" + head + "a: b\r\n c\r\n\td\r\n\r\n",
		"GET" + head + strings.Repeat("a:b\r\n", 2000) + "\r\n",
		"GET" + head + "Content-Length: 3\r\n\r\nabcGET" + head + "\r\n",
		"POST" + head + "Content-Length: 3\r\n\r\nabcGET" + head + "\r\n",
		"POST" + head + "Content-Length: 3\r\n\r\nab",
		"POST" + head + "Content-Length: 9000\r\n\r\n" + strings.Repeat("a", 9000) + "GET" + head + "\r\n",
		"POST" + head + "Content-Length: 8192\r\n\r\n" + strings.Repeat("a", 8192) + "GET" + head + "\r\n",
		"POST" + head + "Content-Length: -1\r\n\r\n",
		"POST" + head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"POST" + head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 500) + "0\r\n\r\nGET" + head + "\r\n",
		"POST" + head + "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\nt: u\r\n\r\nGET" + head + "\r\n",
		"POST" + head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\na",
		"POST" + head + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
		"DELETE" + head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	const memoryBytes = 256 << 20
	guard := newTestGuard(f, memoryBytes)
	guarded, plain := serveEcho(f, guard), serveEcho(f, nil)
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > defaultHead {
			return // The budget has limits that the other server has not.
		}
		got, want := exchange(t, guarded, string(text)), exchange(t, plain, string(text))
		for i, response := range got {
			if i >= len(want) || response != want[i] {
				t.Fatalf("response %d of %q is %q, want %q", i, text, got, want)
			}
		}
		if len(got) < len(want) && !hasUnreadBody(text) {
			t.Fatalf("responses to %q are %q, want %q", text, got, want)
		}
	})
}

// defaultHead is the largest head that every configuration allows.
const defaultHead = 16 << 10

// hasUnreadBody reports whether a request may have a body that echo does not read to its end.
func hasUnreadBody(text []byte) bool {
	lower := strings.ToLower(string(text))
	return strings.Contains(lower, "content-length") || strings.Contains(lower, "transfer-encoding")
}

// TestEndedConnectionsStayCharged ends connections in each phase of a request.
func TestEndedConnectionsStayCharged(t *testing.T) {
	const memoryBytes = 64 << 20
	guard := newTestGuard(t, memoryBytes)
	address := serveEcho(t, guard)
	for _, text := range []string{
		"", "GET", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:b\r\n", 9000),
		"DELETE / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
	} {
		exchange(t, address, text)
	}
	for range 1000 {
		if usage := guard.budget.Usage(); usage.Connections == 0 && usage.Bytes == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("after the end: %+v", guard.budget.Usage())
}
