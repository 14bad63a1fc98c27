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
)

// The timing of heartbeats, when the configuration names none.
const (
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultHeartbeatTimeout  = 1500 * time.Millisecond
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Self              cyclamendyke.MemberName
	State             func() cyclamendyke.MemberState              // What each heartbeat carries.
	OnVerdict         func(member cyclamendyke.Member, alive bool) // Called when a peer is lost or back.
	Dial              Dial                                         // The system's dialer if nil.
	HeartbeatInterval time.Duration                                // DefaultHeartbeatInterval if zero.
	HeartbeatTimeout  time.Duration                                // DefaultHeartbeatTimeout if zero.
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
	l := &link{member: member, dial: p.cfg.Dial, dialTimeout: p.cfg.HeartbeatTimeout, cancel: cancel}
	p.done.Go(func() {
		defer l.drop()
		ticker := time.NewTicker(p.cfg.HeartbeatInterval)
		defer ticker.Stop()
		for {
			err := l.beat(ctx, p.cfg.State(), p.cfg.HeartbeatTimeout)
			if ctx.Err() != nil {
				return
			}
			if l.setAlive(err == nil) {
				p.cfg.OnVerdict(member, err == nil)
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
	return l
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
	var outcome cyclamendyke.Outcome
	err := p.call(ctx, to, methodSubmit, job, &outcome)
	return outcome, err
}

// Status asks the peer, its zone's scheduler, for a request's status.
func (p *Pool) Status(ctx context.Context, to cyclamendyke.MemberName, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	var status cyclamendyke.JobStatus
	err := p.call(ctx, to, methodStatus, requestParams{Request: request}, &status)
	return status, err
}

// Cancel asks the peer, its zone's scheduler, to end a job; it is idempotent.
func (p *Pool) Cancel(ctx context.Context, to cyclamendyke.MemberName, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	var status cyclamendyke.JobStatus
	err := p.call(ctx, to, methodCancel, requestParams{Request: request}, &status)
	return status, err
}

// Watched returns the peer's copy of the watched part of the store.
func (p *Pool) Watched(ctx context.Context, from cyclamendyke.MemberName) ([]cyclamendyke.Entry, error) {
	var entries []cyclamendyke.Entry
	err := p.call(ctx, from, methodWatched, nil, &entries)
	return entries, err
}

// Workers returns the workers of the peer's zone, of which it is the scheduler.
func (p *Pool) Workers(ctx context.Context, from cyclamendyke.MemberName) ([]cyclamendyke.WorkerState, error) {
	var workers []cyclamendyke.WorkerState
	err := p.call(ctx, from, methodWorkers, nil, &workers)
	return workers, err
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

func (p *Pool) call(ctx context.Context, to cyclamendyke.MemberName, method string, params, result any) error {
	l, ok := p.link(to)
	if !ok {
		return &Error{Op: method, Kind: cyclamendyke.KindUnavailable, Err: errors.New("no such peer: " + string(to))}
	}
	return l.call(ctx, method, params, result)
}

func (p *Pool) link(member cyclamendyke.MemberName) (*link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[member]
	return l, ok
}
