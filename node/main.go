package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cyclamendyke"
	"cyclamendyke/io/callerconn"
	"cyclamendyke/io/member"
)

// The limits of the process itself.
const (
	drainTime       = 2500 * time.Millisecond // How long callers are still answered after a stop signal.
	shutdownTimeout = 1500 * time.Millisecond // For stopping all servers together.
)

// Platform provides the settings, clients and servers that differ between platforms.
type Platform interface {
	// Settings reads the process's settings.
	Settings() (cyclamendyke.FleetSettings, error)
	// Connect sets the platform's clients and codec in cfg.
	Connect(settings cyclamendyke.FleetSettings, cfg *Config)
	// Serve returns the HTTP servers for callers and for readiness checks.
	Serve(front, ready net.Listener, intake cyclamendyke.Intake, readiness func() bool) []*khttp.Server
}

// The exit codes of the process.
const (
	exitOK          = 0
	exitFailed      = 1
	exitBadSettings = 2
)

// Main runs an entry VM's process until a signal stops it, and returns its exit code.
func Main(platform Platform, out io.Writer) int {
	settings, err := platform.Settings()
	if err != nil {
		fmt.Fprintln(out, err)
		return exitBadSettings
	}
	configureGC(settings.MemoryBytes)
	logWriter := newAsyncWriter(out)
	defer logWriter.close()
	logger := newLogger(logWriter, string(settings.Node))
	if err := serve(platform, settings, logger, logWriter); err != nil {
		logger.Error("stopped with an error", "err", err)
		return exitFailed
	}
	return exitOK
}

// listeners holds the process's listening sockets; front is for callers, ready for readiness checks.
type listeners struct {
	front, ready, member, metrics net.Listener
}

func listen(settings cyclamendyke.FleetSettings, guard *callerconn.Guard) (listeners, error) {
	var all listeners
	for _, l := range []struct {
		to      *net.Listener
		address string
		listen  func(address string) (net.Listener, error)
	}{
		{&all.front, settings.Front, guard.Listen},
		{&all.ready, settings.Ready, guard.ListenForProbes},
		{&all.member, fmt.Sprintf("%s:%d", settings.IP, settings.Ports[0]), listenForMembers},
		{&all.metrics, fmt.Sprintf("%s:%d", settings.IP, settings.Ports[0]+1), guard.ListenForProbes},
	} {
		listener, err := l.listen(l.address)
		if err != nil {
			return all, NewError("listen", cyclamendyke.KindUnavailable, err)
		}
		*l.to = listener
	}
	return all, nil
}

// listenForMembers listens for other members, which have no limits.
func listenForMembers(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// serve runs the process until it is stopped or a server fails.
func serve(platform Platform, settings cyclamendyke.FleetSettings, logger *log.Logger, logWriter *asyncWriter) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	registry := prometheus.NewRegistry()
	guard := callerconn.New(callerconn.Config{Settings: settings, Log: logger, Metrics: callerconn.NewMetrics(registry)})
	defer guard.Close()
	all, err := listen(settings, guard)
	if err != nil {
		return err
	}
	cfg := Config{
		Settings: settings, Address: all.member.Addr().String(), Log: logger,
		RequestLog: newRequestLog(logWriter, string(settings.Node), time.Now),
		Metrics:    NewMetrics(registry, func() float64 { return float64(logWriter.dropped.Load()) }),
		SetLimits:  guard.SetLimits,
	}
	platform.Connect(settings, &cfg)
	cfg.Store = instrumentedStore{store: cfg.Store, metrics: cfg.Metrics}
	n := New(cfg)
	defer n.Close()
	memberServer := member.NewServer(member.ServerConfig{Listener: all.member, Handler: n})
	defer memberServer.Close()
	endpoint := &url.URL{Scheme: "http", Host: all.metrics.Addr().String()}
	metricsServer := khttp.NewServer(khttp.Listener(all.metrics), khttp.Endpoint(endpoint), khttp.Timeout(0))
	metricsServer.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	servers := append(platform.Serve(all.front, all.ready, Intake{n}, n.Ready), metricsServer)
	failures := make(chan error, len(servers))
	for _, server := range servers {
		guard.Attach(server.Server)
		go func() { failures <- server.Start(context.Background()) }()
	}
	logger.Info("serving", "zone", settings.Zone, "front", settings.Front, "member", cfg.Address, "store", settings.Store)
	return n.serveUntilStopped(signals, failures, servers, platform)
}

// serveUntilStopped waits for a stop signal and then shuts down: it leaves the fleet first and
// stops the servers last.
func (n *Node) serveUntilStopped(signals chan os.Signal, failures chan error, servers []*khttp.Server, platform Platform) error {
	for {
		select {
		case err := <-failures:
			return NewError("serve", cyclamendyke.KindUnavailable, err)
		case s := <-signals:
			if s == syscall.SIGHUP {
				n.reload(platform)
				continue
			}
			n.cfg.Log.Info("stopping", "signal", s)
			start := time.Now()
			n.Leave(drainTime)
			time.Sleep(drainTime - time.Since(start)) // The load balancer needs this long to send callers elsewhere.
			ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			for _, server := range servers {
				if err := server.Stop(ctx); err != nil {
					n.cfg.Log.Warn("server did not shut down cleanly", "err", err)
				}
			}
			n.cfg.Log.Info("stopped")
			return nil
		}
	}
}

// reload reads the settings again and logs whether they changed; changes need a restart to take effect.
func (n *Node) reload(platform Platform) {
	settings, err := platform.Settings()
	if err != nil {
		n.cfg.Log.Error("cannot reload settings", "err", err)
		return
	}
	if settings != n.cfg.Settings {
		n.cfg.Log.Warn("settings changed; restart to apply them")
		return
	}
	n.cfg.Log.Info("settings reloaded", "changed", false)
}
