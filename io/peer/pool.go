package peer

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/config"
)

// The timing of heartbeats, when the configuration names none.
const (
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultHeartbeatTimeout  = 1500 * time.Millisecond
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Self              cyclamendyke.MemberName
	Clock             Clock
	State             func() cyclamendyke.MemberState                                    // What each heartbeat carries.
	OnView            func(member cyclamendyke.Member, sent time.Time, answer ViewState) // Called with the answer to each heartbeat.
	OnVerdict         func(member cyclamendyke.Member, alive bool)                       // Called when a peer is lost or back.
	Dial              Dial                                                               // The system's dialer if nil.
	FarInterval       time.Duration                                                      // Between heartbeats to peers of other zones; HeartbeatInterval if zero.
	Zone              cyclamendyke.ZoneName
	HeartbeatInterval time.Duration // DefaultHeartbeatInterval if zero.
	HeartbeatTimeout  time.Duration // DefaultHeartbeatTimeout if zero.
}

// Pool keeps one connection with heartbeats to every other process.
type Pool struct {
	cfg    PoolConfig
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	links map[cyclamendyke.MemberName]*link
}

// NewPool returns a pool without peers.
func NewPool(cfg PoolConfig) *Pool {
	cfg.HeartbeatInterval = cmp.Or(cfg.HeartbeatInterval, DefaultHeartbeatInterval)
	cfg.HeartbeatTimeout = cmp.Or(cfg.HeartbeatTimeout, DefaultHeartbeatTimeout)
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cfg: cfg, ctx: ctx, cancel: cancel, links: make(map[cyclamendyke.MemberName]*link)}
}

// SetMembers connects to new peers and drops those that are gone or have moved.
func (p *Pool) SetMembers(members []cyclamendyke.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	wanted := make(map[cyclamendyke.MemberName]cyclamendyke.Member, len(members))
	for _, m := range members {
		if m.Name != p.cfg.Self {
			wanted[m.Name] = m
		}
	}
	for name, l := range p.links {
		if m, ok := wanted[name]; !ok || m.Peer != l.member.Peer {
			l.cancel()
			delete(p.links, name)
		}
	}
	for name, m := range wanted {
		if _, ok := p.links[name]; !ok {
			p.links[name] = p.open(m)
		}
	}
}

// open starts the heartbeats to one peer.
func (p *Pool) open(member cyclamendyke.Member) *link {
	ctx, cancel := context.WithCancel(p.ctx)
	l := &link{member: member, dial: p.cfg.Dial, clock: p.cfg.Clock, dialTimeout: p.cfg.HeartbeatTimeout, cancel: cancel, now: make(chan struct{}, 1)}
	p.done.Go(func() {
		defer l.drop()
		ticker := time.NewTicker(p.interval(member))
		defer ticker.Stop()
		for {
			view, sent, err := l.beat(ctx, p.cfg.State(), p.cfg.HeartbeatTimeout)
			if ctx.Err() != nil {
				return
			}
			if err == nil {
				p.cfg.OnView(member, sent, view)
			}
			if l.setAlive(err == nil) {
				p.cfg.OnVerdict(member, err == nil)
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-l.now:
			}
		}
	})
	return l
}

// interval returns the time between heartbeats to a peer.
func (p *Pool) interval(member cyclamendyke.Member) time.Duration {
	if member.Zone != p.cfg.Zone && p.cfg.FarInterval > 0 {
		return p.cfg.FarInterval
	}
	return p.cfg.HeartbeatInterval
}

// BeatNow sends a heartbeat to every peer before its turn.
func (p *Pool) BeatNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		select {
		case l.now <- struct{}{}:
		default:
		}
	}
}

// Alive reports whether the peer answered the last heartbeat.
func (p *Pool) Alive(member cyclamendyke.MemberName) bool {
	l, ok := p.link(member)
	return ok && l.isAlive()
}

// Members returns the peers in order of name.
func (p *Pool) Members() []cyclamendyke.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := make([]cyclamendyke.Member, 0, len(p.links))
	for _, l := range p.links {
		members = append(members, l.member)
	}
	slices.SortFunc(members, func(a, b cyclamendyke.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Submit hands a job to the peer and waits for its outcome; KindUnavailable and KindNotScheduler mean that nothing was accepted, KindUnknown that it may have been.
func (p *Pool) Submit(ctx context.Context, to cyclamendyke.MemberName, job cyclamendyke.Job) (cyclamendyke.Outcome, error) {
	return callMember[cyclamendyke.Job, cyclamendyke.Outcome](ctx, p, to, methodSubmit, job)
}

// Status asks the peer, its zone's scheduler, for a request's status.
func (p *Pool) Status(ctx context.Context, to cyclamendyke.MemberName, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	return callMember[cyclamendyke.RequestID, cyclamendyke.JobStatus](ctx, p, to, methodStatus, request)
}

// Cancel asks the peer, its zone's scheduler, to end a job; it is idempotent.
func (p *Pool) Cancel(ctx context.Context, to cyclamendyke.MemberName, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	return callMember[cyclamendyke.RequestID, cyclamendyke.JobStatus](ctx, p, to, methodCancel, request)
}

// Watched returns the peer's copy of the watched part of the store.
func (p *Pool) Watched(ctx context.Context, from cyclamendyke.MemberName) (config.Copy, error) {
	return callMember[nothing, config.Copy](ctx, p, from, methodWatched, nothing{})
}

// Workers returns the workers of the peer's zone, of which it is the scheduler.
func (p *Pool) Workers(ctx context.Context, from cyclamendyke.MemberName) ([]cyclamendyke.WorkerState, error) {
	return callMember[nothing, []cyclamendyke.WorkerState](ctx, p, from, methodWorkers, nothing{})
}

// Close ends every connection.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	for _, l := range p.links {
		l.drop()
	}
	p.mu.Unlock()
	p.done.Wait()
}

// callMember makes one call to a peer by name.
func callMember[P, R any](ctx context.Context, p *Pool, to cyclamendyke.MemberName, method string, params P) (R, error) {
	l, ok := p.link(to)
	if !ok {
		var none R
		return none, NewError(method, cyclamendyke.KindUnavailable, errors.New("no such peer: "+string(to)))
	}
	return call[P, R](ctx, l, method, params)
}

func (p *Pool) link(member cyclamendyke.MemberName) (*link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[member]
	return l, ok
}
