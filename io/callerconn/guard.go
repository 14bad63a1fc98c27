package callerconn

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
	"cyclamendyke/core/callers"
)

// The timing of a guard.
const (
	expireInterval      = time.Second
	logInterval         = 10 * time.Second // Between two lines about connections that were turned away.
	defaultBodyTimeout  = time.Minute
	defaultWriteTimeout = 10 * time.Second
)

// Config configures a Guard.
type Config struct {
	Settings cyclamendyke.FleetSettings
	Log      *log.Logger
	Metrics  *Metrics
}

// Guard bounds what the callers of some HTTP servers make the process hold. It is safe for concurrent use.
type Guard struct {
	cfg          Config
	budget       *callers.Budget
	limits       callers.Limits
	bodyTimeout  time.Duration
	writeTimeout time.Duration
	start        time.Time
	stop         context.CancelFunc
}

// New returns a guard, which runs until Close.
func New(cfg Config) *Guard {
	ctx, cancel := context.WithCancel(context.Background())
	limits := callers.LimitsFor(cfg.Settings)
	g := &Guard{
		cfg: cfg, budget: callers.NewBudget(limits), limits: limits, start: time.Now(), stop: cancel,
		bodyTimeout:  cmp.Or(cfg.Settings.Callers.BodyTimeout, defaultBodyTimeout),
		writeTimeout: cmp.Or(cfg.Settings.Callers.WriteTimeout, defaultWriteTimeout),
	}
	cfg.Metrics.observe(g.budget)
	go func() {
		ticker := time.NewTicker(expireInterval)
		defer ticker.Stop()
		reporter := reporter{log: cfg.Log, budget: g.budget}
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				g.budget.Expire(g.now())
				reporter.report(g.now())
			}
		}
	}()
	return g
}

// Close stops the guard, but neither listeners nor connections.
func (g *Guard) Close() {
	g.stop()
}

// SetLimits sets the limits of the operators' configuration.
func (g *Guard) SetLimits(limits cyclamendyke.CallerLimits) {
	g.budget.SetTimeouts(limits)
}

// now returns the time since the guard's start, on the steady clock.
func (g *Guard) now() time.Duration {
	return time.Since(g.start)
}

// Listen listens for callers.
func (g *Guard) Listen(address string) (net.Listener, error) {
	return g.listen(address, g.limits.Connections)
}

// ListenForProbes listens for readiness checks or the like, for which a few connections are enough.
func (g *Guard) ListenForProbes(address string) (net.Listener, error) {
	return g.listen(address, g.limits.Probes)
}

func (g *Guard) listen(address string, maxConnections int) (net.Listener, error) {
	// Connections inherit the size of the buffer, which would grow to megabytes otherwise.
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if errControl := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, callers.ReceiveBuffer)
		}); errControl != nil {
			return errControl
		}
		return err
	}}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, NewError("listen", cyclamendyke.KindUnavailable, err)
	}
	return &listener{Listener: l, guard: g, port: &callers.Port{Max: maxConnections}}, nil
}

// listener accepts connections within the budget.
type listener struct {
	net.Listener
	guard *Guard
	port  *callers.Port
}

// refusal is the response to a connection for which there is no room.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Accept returns the next connection for which there is room, and refuses the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, guard: l.guard}
		if c.account = l.guard.budget.Open(l.port, c, l.guard.now()); c.account != nil {
			return c, nil
		}
		_, _ = io.WriteString(accepted, refusal) // It fits into the empty send buffer.
		_ = accepted.Close()
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Attach makes a server, whose listener is one of the guard's, serve within the budget.
func (g *Guard) Attach(server *http.Server) {
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Handler = g.handler(server.Handler)
}

// maxHeaderBytes is above every limit that operators set; the budget applies theirs.
const maxHeaderBytes = 1 << 20

// handler returns a handler that keeps account of each request.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.ContentLength != 0
		if !c.account.Begin(hasBody) {
			panic(http.ErrAbortHandler) // Nothing was done, and nothing is promised.
		}
		c.phase.Store(phaseRequest)
		if !hasBody {
			defer c.endRequest(phaseHead)
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: c, header: w.Header()}
		defer func() {
			if b.isComplete {
				c.endRequest(phaseHead)
			} else {
				c.endRequest(phaseRest)
			}
		}()
		_ = c.SetReadDeadline(time.Now().Add(g.bodyTimeout))
		w.Header().Set("Connection", "close") // Unless the body is read before the response is written.
		r.Body = b
		next.ServeHTTP(w, r)
	})
}
