package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cyclamendyke"
	"cyclamendyke/io/member"
)

// The bounds of the process itself.
const (
	memoryPart   = 60 // Percent of the VM's memory that the collector tries to stay below.
	collectAt    = 60 // Percent of growth between two collections.
	leaveWait    = 2500 * time.Millisecond
	shutdownWait = 1500 * time.Millisecond
)

// Platform makes the parts of a process that speak to a platform.
type Platform interface {
	// Settings reads the process's settings.
	Settings() (cyclamendyke.FleetSettings, error)
	// Connect fills in the clients of the platform.
	Connect(settings cyclamendyke.FleetSettings, cfg *Config)
	// Serve returns the servers of callers and of readiness.
	Serve(front, ready net.Listener, intake cyclamendyke.Intake, readiness func() bool) []*khttp.Server
}

// The exit codes of the process.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Main runs a process of the fleet's scheduler until it is told to stop, and returns its exit code.
func Main(platform Platform, out io.Writer) int {
	settings, err := platform.Settings()
	if err != nil {
		fmt.Fprintln(out, err)
		return exitSettings
	}
	debug.SetMemoryLimit(settings.MemoryBytes * memoryPart / 100)
	debug.SetGCPercent(collectAt)
	lines := newWriter(out)
	defer lines.close()
	logger := newLogger(lines, string(settings.Node))
	if err := serve(platform, settings, logger, lines); err != nil {
		logger.Error("stopped with an error", "err", err)
		return exitFailed
	}
	return exitOK
}

// listeners are what the process listens on.
type listeners struct {
	front, ready, member, metrics net.Listener
}

func listen(settings cyclamendyke.FleetSettings) (listeners, error) {
	var all listeners
	for _, l := range []struct {
		to      *net.Listener
		address string
	}{
		{&all.front, settings.Front},
		{&all.ready, settings.Ready},
		{&all.member, fmt.Sprintf("%s:%d", settings.IP, settings.Ports[0])},
		{&all.metrics, fmt.Sprintf("%s:%d", settings.IP, settings.Ports[0]+1)},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return all, NewError("listen", cyclamendyke.KindUnavailable, err)
		}
		*l.to = listener
	}
	return all, nil
}

// serve runs the process with its settings.
func serve(platform Platform, settings cyclamendyke.FleetSettings, logger *log.Logger, lines *writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	all, err := listen(settings)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	cfg := Config{
		Settings: settings, Address: all.member.Addr().String(), Log: logger,
		Requests: newRequestLog(lines, string(settings.Node), time.Now),
		Metrics:  NewMetrics(registry, func() float64 { return float64(lines.dropped.Load()) }),
	}
	platform.Connect(settings, &cfg)
	cfg.Store = countedStore{store: cfg.Store, metrics: cfg.Metrics}
	n := New(cfg)
	defer n.Close()
	members := member.NewServer(member.ServerConfig{Listener: all.member, Handler: n})
	defer members.Close()
	endpoint := &url.URL{Scheme: "http", Host: all.metrics.Addr().String()}
	metrics := khttp.NewServer(khttp.Listener(all.metrics), khttp.Endpoint(endpoint), khttp.Timeout(0))
	metrics.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	servers := append(platform.Serve(all.front, all.ready, Callers{n}, n.Ready), metrics)
	failures := make(chan error, len(servers))
	for _, server := range servers {
		go func() { failures <- server.Start(context.Background()) }()
	}
	logger.Info("serving", "zone", settings.Zone, "front", settings.Front, "member", cfg.Address, "store", settings.Store)
	return n.untilStopped(signals, failures, servers, platform)
}

// untilStopped waits for a signal to stop, and stops in order.
func (n *Node) untilStopped(signals chan os.Signal, failures chan error, servers []*khttp.Server, platform Platform) error {
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
			began := time.Now()
			n.Leave(leaveWait)
			time.Sleep(leaveWait - time.Since(began)) // The balancer needs this long to send callers elsewhere.
			ctx, cancel := context.WithTimeout(context.Background(), shutdownWait)
			defer cancel()
			for _, server := range servers {
				if err := server.Stop(ctx); err != nil {
					n.cfg.Log.Warn("requests are still in progress at the end", "err", err)
				}
			}
			n.cfg.Log.Info("stopped")
			return nil
		}
	}
}

// reload reads the settings again; what a running process cannot change is only noted.
func (n *Node) reload(platform Platform) {
	settings, err := platform.Settings()
	if err != nil {
		n.cfg.Log.Error("settings cannot be read again", "err", err)
		return
	}
	if settings != n.cfg.Settings {
		n.cfg.Log.Warn("settings changed; they take effect at the next start")
		return
	}
	n.cfg.Log.Info("settings read again", "changed", false)
}
