package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"cyclamendyke"
	"cyclamendyke/core/account"
	"cyclamendyke/core/cas"
	"cyclamendyke/core/config"
	"cyclamendyke/core/invariant"
	"cyclamendyke/core/keys"
	"cyclamendyke/core/role"
	"cyclamendyke/core/scheduler"
	"cyclamendyke/core/timeline"
	"cyclamendyke/io/caller"
	"cyclamendyke/io/peer"
	"cyclamendyke/settings"
)

// Config configures a Daemon.
type Config struct {
	Settings         *settings.Daemon
	Platform         Platform
	Log              *log.Logger
	Dial             peer.Dial    // Defaults to the system's dialer.
	HTTPListener     net.Listener // Opened on the settings' address if nil.
	PeerListener     net.Listener // Opened on the settings' address if nil.
	PanicOnViolation bool         // Panic on the first violated invariant, for tests.
	Seed             uint64       // Seeds the jitter of the scheduler's retry times.
}

// Daemon is the process that runs on every entry VM.
type Daemon struct {
	cfg          Config
	member       cyclamendyke.Member
	platform     Platform
	log          *log.Logger
	metrics      *metrics
	clock        *timeline.Clock
	timelineRing *timeline.Ring
	checker      *invariant.Checker

	directory     *directory
	knownMembers  *knownMembers
	peerFreshness *peerFreshness
	configView    *config.View
	tablesEditor  *config.Editor
	keyRegistry   *keys.Registry
	configMu      sync.Mutex // Held while tables or keys are applied.
	keyRing       atomic.Pointer[keys.Ring]
	tables        atomic.Pointer[cyclamendyke.Tables]
	poolStates    atomic.Pointer[map[cyclamendyke.PoolName]cyclamendyke.PoolState] // Sent in heartbeats while this process is the scheduler.
	peers         *peer.Pool
	peerServer    *peer.Server
	controller    *controller
	records       *records
	accountReader *account.Reader
	forwarder     *forwarder
	httpServer    *khttp.Server
	httpListener  net.Listener

	roleChanged  chan struct{} // Signals that this process gained or lost the scheduler role.
	requestSlots chan struct{} // Holds one element for each request in progress.
	stopping     atomic.Bool
	inFlight     sync.WaitGroup
	admitMu      sync.RWMutex // Held for reading while a request is admitted, for writing when stopping begins.

	assembled  chan struct{} // Closed when all components exist; the view's callbacks wait for it.
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New listens on both addresses (port 0 picks a free port) and starts everything except the HTTP
// server, which Run starts.
func New(cfg Config) (*Daemon, error) {
	httpListener, err := listen(cfg.HTTPListener, cfg.Settings.Member.HTTP)
	if err != nil {
		return nil, newError("listen http", cyclamendyke.KindInvalid, err)
	}
	peerListener, err := listen(cfg.PeerListener, cfg.Settings.Member.Peer)
	if err != nil {
		_ = httpListener.Close()
		return nil, newError("listen peer", cyclamendyke.KindInvalid, err)
	}
	klog.SetLogger(kratosLogger{cfg.Log})
	resolved := *cfg.Settings
	resolved.Member.HTTP = httpListener.Addr().String()
	resolved.Member.Peer = peerListener.Addr().String()
	cfg.Settings = &resolved
	d := assemble(cfg)
	d.httpListener = httpListener
	d.start(peerListener)
	return d, nil
}

func listen(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	return net.Listen("tcp", address)
}

// assemble creates the components that need no open connection.
func assemble(cfg Config) *Daemon {
	ctx, cancel := context.WithCancel(context.Background())
	member := cfg.Settings.Member
	member.Started = time.Now()
	counters := newMetrics()
	clock := timeline.NewClock(timeline.ClockConfig{})
	platform := cfg.Platform
	platform.Store = newCountedStore(cfg.Platform.Store, cfg.Settings.Limits.StoreWritesPerSecond, counters)
	d := &Daemon{
		cfg:           cfg,
		member:        member,
		platform:      platform,
		log:           cfg.Log,
		metrics:       counters,
		clock:         clock,
		timelineRing:  timeline.NewRing(timeline.RingConfig{Clock: clock, Member: member.Name, Size: cfg.Settings.Limits.TimelineEvents}),
		directory:     newDirectory(),
		knownMembers:  newKnownMembers(member.Name),
		peerFreshness: newPeerFreshness(),
		roleChanged:   make(chan struct{}, 1),
		requestSlots:  make(chan struct{}, cfg.Settings.Limits.RequestsInFlight),
		assembled:     make(chan struct{}),
		ctx:           ctx,
		cancel:        cancel,
	}
	d.keyRing.Store(&keys.Ring{})
	d.checker = invariant.New(invariant.Config{PanicOnViolation: cfg.PanicOnViolation, OnViolation: d.onViolation})
	writer := cas.New(cas.Config{Store: platform.Store, CallTimeout: cfg.Settings.Limits.StoreTimeout})
	d.tablesEditor = config.NewEditor(writer)
	d.keyRegistry = keys.New(keys.Config{Writer: writer, OnWrite: func(entry cyclamendyke.Entry) { d.configView.ApplyWrite(entry) }})
	d.accountReader = account.NewReader(account.ReaderConfig{Store: platform.Store})
	d.peers = peer.NewPool(peer.PoolConfig{
		Self:                       member.Name,
		Clock:                      clock,
		State:                      d.state,
		OnHeartbeatReply:           d.onHeartbeatReply,
		OnLivenessChange:           d.onPeerLivenessChange,
		Zone:                       member.Zone,
		CrossZoneHeartbeatInterval: CrossZoneHeartbeatInterval,
		Dial:                       cfg.Dial,
	})
	d.configView = config.New(config.Config{
		Store:       platform.Store,
		CallTimeout: cfg.Settings.Limits.StoreTimeout,
		OnChange:    func(snapshot config.Snapshot) { <-d.assembled; d.applySnapshot(snapshot) },
		OnStore:     func(state config.StoreState) { <-d.assembled; d.onStoreState(state) },
	})
	d.records = newRecords(member, platform.Store, d.storeUnavailable)
	d.controller = newController(d.controllerConfig())
	d.forwarder = newForwarder(member.Zone, d, counters, d.recordOutcome)
	close(d.assembled)
	return d
}

// controllerConfig returns the configuration of the zone's controller.
func (d *Daemon) controllerConfig() controllerConfig {
	timing := d.cfg.Settings.Scheduler
	return controllerConfig{
		Member: d.member,
		NewScheduler: func() cyclamendyke.Scheduler {
			return scheduler.New(scheduler.Config{
				Zone:                 d.member.Zone,
				TaskTTL:              timing.TaskTTL,
				MaxJobs:              d.cfg.Settings.Limits.WaitingJobs,
				Seed:                 d.cfg.Seed,
				OnInvariantViolation: d.checker.RecordViolation,
			})
		},
		Role: role.New(role.Config{
			Member:        d.member.Name,
			Zone:          d.member.Zone,
			StoreLeaseTTL: timing.StoreLease,
			SessionTTL:    timing.SessionTTL,
			TaskTTL:       timing.TaskTTL,
			Hold:          timing.Hold,
		}),
		Workers:      d.platform.Workers,
		Election:     newElection(d.platform.Store, d.member),
		Recorder:     d.records,
		OnEvent:      d.addEvent,
		Metrics:      d.metrics,
		OnRoleChange: d.onRoleChange,
		RoleHolder:   d.roleHolder,
	}
}

// start launches the peer server and all background goroutines, and creates the HTTP server.
func (d *Daemon) start(peerListener net.Listener) {
	d.peerServer = peer.NewServer(peer.ServerConfig{Listener: peerListener, Handler: peerHandler{d}, Clock: d.clock})
	d.peers.SetMembers(seedMembers(d.cfg.Settings.Peers))
	registration := &membership{store: d.platform.Store, member: d.member}
	d.background.Go(func() { registration.maintain(d.ctx) })
	d.background.Go(func() { d.pollVMs(d.ctx) })
	d.background.Go(func() { d.manageAllotments(d.ctx) })
	d.background.Go(func() { d.maintainOwnState(d.ctx) })
	d.background.Go(func() { d.pruneAccount(d.ctx) })
	d.httpServer = caller.NewServer(caller.Config{
		Listener: d.httpListener,
		Service:  d,
		Gatherer: d.metrics.registry,
		Healthy:  d.healthy,
	})
}

// Member returns this process's registration record, with its actual addresses.
func (d *Daemon) Member() cyclamendyke.Member {
	return d.member
}

// Run serves callers until ctx ends or a stop signal arrives, and then drains requests in progress
// before it returns.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info("serving", "member", d.member.Name, "zone", d.member.Zone, "http", d.member.HTTP, "peer", d.member.Peer)
	app := kratos.New(
		kratos.Name("cyclamendyked"),
		kratos.ID(string(d.member.Name)),
		kratos.Context(ctx),
		kratos.Server(d.httpServer),
		kratos.BeforeStop(func(context.Context) error { d.Drain(); return nil }),
		kratos.StopTimeout(d.cfg.Settings.Limits.StopTimeout),
	)
	err := app.Run()
	d.Close()
	return err
}

// Drain gives up the scheduler role and waits until every request in progress is answered, for
// StopTimeout at most.
func (d *Daemon) Drain() {
	d.admitMu.Lock()
	d.stopping.Store(true)
	d.admitMu.Unlock()
	d.log.Info("stopping")
	d.controller.resign()
	answered := make(chan struct{})
	go func() {
		d.inFlight.Wait()
		close(answered)
	}()
	timer := time.NewTimer(d.cfg.Settings.Limits.StopTimeout)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
		d.log.Warn("stop timeout reached with requests still in progress")
	}
}

// Close stops all background work without waiting for requests in progress.
func (d *Daemon) Close() {
	d.cancel()
	d.background.Wait()
	d.records.close()
	d.controller.close()
	d.peers.Close()
	d.peerServer.Close()
	d.configView.Close()
	d.log.Info("stopped", "member", d.member.Name)
}

// healthy reports whether the load balancer should send callers to this process.
func (d *Daemon) healthy() bool {
	return !d.stopping.Load() && d.tables.Load() != nil
}

// addEvent adds an event to the timeline.
func (d *Daemon) addEvent(event cyclamendyke.TimelineEvent) {
	d.timelineRing.Add(event)
}

// onViolation counts and logs a violated invariant.
func (d *Daemon) onViolation(violation invariant.Violation) {
	d.metrics.violations.WithLabelValues(string(violation.Name)).Inc()
	d.log.Error("invariant broken", "invariant", violation.Name, "detail", violation.Detail)
}

// onRoleChange counts and logs that this process gained or lost the scheduler role, and triggers an
// announcement to the peers.
func (d *Daemon) onRoleChange(authority cyclamendyke.Authority) {
	d.metrics.roleChanges.Inc()
	d.log.Info("scheduler role changed", "epoch", authority.Epoch, "holds", authority.Valid(time.Now()))
	select {
	case d.roleChanged <- struct{}{}:
	default:
	}
}
