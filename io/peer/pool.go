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

// Defaults for the heartbeat settings of PoolConfig.
const (
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultHeartbeatTimeout  = 1500 * time.Millisecond
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Self                       cyclamendyke.MemberName
	Clock                      Clock
	State                      func() cyclamendyke.MemberState                                        // Returns the state to send with heartbeats.
	OnHeartbeatReply           func(member cyclamendyke.Member, sent time.Time, reply HeartbeatReply) // Called with the reply to each successful heartbeat.
	OnLivenessChange           func(member cyclamendyke.Member, alive bool)                           // Called when a peer is lost or reachable again.
	Dial                       Dial                                                                   // Uses a net.Dialer if nil.
	CrossZoneHeartbeatInterval time.Duration                                                          // Interval of heartbeats to peers in other zones; HeartbeatInterval if zero.
	Zone                       cyclamendyke.ZoneName
	HeartbeatInterval          time.Duration // DefaultHeartbeatInterval if zero.
	HeartbeatTimeout           time.Duration // DefaultHeartbeatTimeout if zero.
}

// Pool maintains a connection to every peer and sends heartbeats on it.
type Pool struct {
	cfg    PoolConfig
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

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

// SetMembers connects to new peers, disconnects removed ones and reconnects those whose address changed.
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
			p.links[name] = p.openLink(m)
		}
	}
}

// openLink creates the link to a peer and starts its heartbeats.
func (p *Pool) openLink(member cyclamendyke.Member) *link {
	ctx, cancel := context.WithCancel(p.ctx)
	l := &link{member: member, dial: p.cfg.Dial, clock: p.cfg.Clock, dialTimeout: p.cfg.HeartbeatTimeout, cancel: cancel, sendNow: make(chan struct{}, 1)}
	p.wg.Go(func() {
		defer l.close()
		ticker := time.NewTicker(p.heartbeatInterval(member))
		defer ticker.Stop()
		for {
			reply, sent, err := l.sendHeartbeat(ctx, p.cfg.State(), p.cfg.HeartbeatTimeout)
			if ctx.Err() != nil {
				return
			}
			if err == nil {
				p.cfg.OnHeartbeatReply(member, sent, reply)
			}
			if l.setAlive(err == nil) {
				p.cfg.OnLivenessChange(member, err == nil)
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-l.sendNow:
			}
		}
	})
	return l
}

// heartbeatInterval returns the interval of heartbeats to a peer.
func (p *Pool) heartbeatInterval(member cyclamendyke.Member) time.Duration {
	if member.Zone != p.cfg.Zone && p.cfg.CrossZoneHeartbeatInterval > 0 {
		return p.cfg.CrossZoneHeartbeatInterval
	}
	return p.cfg.HeartbeatInterval
}

// SendHeartbeats triggers a heartbeat to every peer without waiting for the interval.
func (p *Pool) SendHeartbeats() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		select {
		case l.sendNow <- struct{}{}:
		default:
		}
	}
}

// Alive reports whether the peer answered the last heartbeat.
func (p *Pool) Alive(member cyclamendyke.MemberName) bool {
	l, ok := p.link(member)
	return ok && l.isAlive()
}

// Members returns the peers sorted by name.
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

// Submit submits a job to the peer and waits for its outcome. KindUnavailable and KindNotScheduler
// mean that the job was not accepted, and KindUnknown that it may have been accepted.
func (p *Pool) Submit(ctx context.Context, to cyclamendyke.MemberName, job cyclamendyke.Job) (cyclamendyke.Outcome, error) {
	return callMember[cyclamendyke.Job, cyclamendyke.Outcome](ctx, p, to, methodSubmit, job)
}

// Status returns the status of a request from the peer, which must be its zone's scheduler.
func (p *Pool) Status(ctx context.Context, to cyclamendyke.MemberName, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	return callMember[cyclamendyke.RequestID, cyclamendyke.JobStatus](ctx, p, to, methodStatus, request)
}

// Cancel cancels a job at the peer, which must be its zone's scheduler; it is idempotent.
func (p *Pool) Cancel(ctx context.Context, to cyclamendyke.MemberName, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	return callMember[cyclamendyke.RequestID, cyclamendyke.JobStatus](ctx, p, to, methodCancel, request)
}

// WatchedCopy returns the peer's copy of the watched part of the store.
func (p *Pool) WatchedCopy(ctx context.Context, from cyclamendyke.MemberName) (config.Copy, error) {
	return callMember[empty, config.Copy](ctx, p, from, methodWatchedCopy, empty{})
}

// Workers returns the workers of the peer's zone from the peer, which must be the zone's scheduler.
func (p *Pool) Workers(ctx context.Context, from cyclamendyke.MemberName) ([]cyclamendyke.WorkerState, error) {
	return callMember[empty, []cyclamendyke.WorkerState](ctx, p, from, methodWorkers, empty{})
}

// Close stops the heartbeats and closes all connections.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	for _, l := range p.links {
		l.close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// callMember makes one call to a named peer; KindUnavailable means that the request was not sent.
func callMember[P, R any](ctx context.Context, p *Pool, to cyclamendyke.MemberName, method string, params P) (R, error) {
	l, ok := p.link(to)
	if !ok {
		var zero R
		return zero, NewError(method, cyclamendyke.KindUnavailable, errors.New("no such peer: "+string(to)))
	}
	return call[P, R](ctx, l, method, params)
}

func (p *Pool) link(member cyclamendyke.MemberName) (*link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[member]
	return l, ok
}
