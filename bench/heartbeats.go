package bench

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/config"
	"cyclamendyke/core/timeline"
	"cyclamendyke/daemon"
	"cyclamendyke/io/peer"
)

const (
	heartbeatsFirst = daemon.FarHeartbeatInterval / 2
	heartbeatsFor   = 2 * daemon.FarHeartbeatInterval
)

// beatHandler answers heartbeats and nothing else.
type beatHandler struct{ peer.Handler }

// Heartbeat answers with an up-to-date view.
func (beatHandler) Heartbeat(context.Context, peer.Beat) (peer.ViewState, error) {
	return peer.ViewState{StoreAge: time.Second, TablesRevision: 520, KeysRevision: 517}, nil
}

// Watched returns nothing.
func (beatHandler) Watched(context.Context) (config.Copy, error) {
	return config.Copy{}, nil
}

// beatKind is how a process's state changes between two heartbeats.
type beatKind struct {
	name  string
	state func() cyclamendyke.MemberState
}

// beatKinds are a scheduler whose load changes all the time and a standby, whose state stays as it is.
func beatKinds() []beatKind {
	var reserved atomic.Int64
	return []beatKind{
		{"busy scheduler's heartbeat", func() cyclamendyke.MemberState {
			state := memberState(0)
			pool := state.Pools["search"]
			pool.Reserved = smallTask.Scale(100 + reserved.Add(1)%900)
			state.Pools["search"] = pool
			return state
		}},
		{"standby's heartbeat", func() cyclamendyke.MemberState {
			state := memberState(0)
			state.Pools = nil
			return state
		}},
	}
}

// measureHeartbeats measures one process's heartbeats to several numbers of peers in other zones.
func measureHeartbeats(uint64) (*Report, error) {
	report := &Report{}
	sizes := []int{5, 11, 17, 35}
	for _, kind := range beatKinds() {
		var cpu, sent, received []Point
		for _, n := range sizes {
			cost, err := beat(n, kind.state)
			if err != nil {
				return nil, err
			}
			seconds := heartbeatsFor.Seconds()
			cpu = append(cpu, Point{float64(n), millis(cost.cpu) / seconds})
			sent = append(sent, Point{float64(n), cost.sent / seconds})
			received = append(received, Point{float64(n), cost.received / seconds})
		}
		report.add(kind.name+" bytes sent", "bytes/s", "peer", sent)
		report.add(kind.name+" bytes received", "bytes/s", "peer", received)
		report.add(kind.name+" processor time of both ends", "ms/s", "peer", cpu)
	}
	return report, nil
}

// beat sends heartbeats to n peers, served by this process too, and measures those after the first.
func beat(n int, state func() cyclamendyke.MemberState) (callCost, error) {
	clock := timeline.NewClock(timeline.ClockConfig{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return callCost{}, err
	}
	server := peer.NewServer(peer.ServerConfig{Listener: listener, Handler: beatHandler{}, Clock: clock})
	defer server.Close()
	counted := &countingDialer{}
	pool := peer.NewPool(peer.PoolConfig{
		Self:        "entry-self",
		Zone:        "elsewhere",
		Clock:       clock,
		State:       state,
		OnView:      func(cyclamendyke.Member, time.Time, peer.ViewState) {},
		OnVerdict:   func(cyclamendyke.Member, bool) {},
		Dial:        counted.dial,
		FarInterval: daemon.FarHeartbeatInterval,
	})
	defer pool.Close()
	members := make([]cyclamendyke.Member, 0, n)
	for i := range n {
		member := memberState(i + 1).Member
		member.Peer = listener.Addr().String()
		members = append(members, member)
	}
	pool.SetMembers(members)
	time.Sleep(heartbeatsFirst)
	sent, received := counted.sent.Load(), counted.received.Load()
	cpu := cpuOf(func() { time.Sleep(heartbeatsFor) })
	return callCost{
		cpu:      cpu,
		sent:     float64(counted.sent.Load() - sent),
		received: float64(counted.received.Load() - received),
	}, nil
}

// countingDialer counts the bytes on the connections it makes.
type countingDialer struct {
	sent, received atomic.Int64
}

func (d *countingDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, dialer: d}, nil
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	dialer *countingDialer
}

// Read counts what it reads.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.dialer.received.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.dialer.sent.Add(int64(n))
	return n, err
}
