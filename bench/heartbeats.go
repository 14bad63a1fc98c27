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
	heartbeatsWarmup   = daemon.CrossZoneHeartbeatInterval / 2
	heartbeatsDuration = 2 * daemon.CrossZoneHeartbeatInterval
)

// heartbeatHandler answers heartbeats and WatchedCopy; its nil Handler makes every other call panic.
type heartbeatHandler struct{ peer.Handler }

// Heartbeat returns the state of an up-to-date view.
func (heartbeatHandler) Heartbeat(context.Context, peer.Heartbeat) (peer.HeartbeatReply, error) {
	return peer.HeartbeatReply{StoreAge: time.Second, TablesRevision: 520, KeysRevision: 517}, nil
}

// WatchedCopy returns an empty copy of the configuration.
func (heartbeatHandler) WatchedCopy(context.Context) (config.Copy, error) {
	return config.Copy{}, nil
}

// heartbeatSender is a daemon in one role; state returns what its next heartbeat carries.
type heartbeatSender struct {
	name  string
	state func() cyclamendyke.MemberState
}

// heartbeatSenders returns a scheduler whose load changes with every heartbeat and a standby whose state
// never changes.
func heartbeatSenders() []heartbeatSender {
	var reserved atomic.Int64
	return []heartbeatSender{
		{"busy scheduler's heartbeat", func() cyclamendyke.MemberState {
			state := memberState(0)
			pool := state.Pools["search"]
			pool.Reserved = smallTaskResources.Scale(100 + reserved.Add(1)%900)
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

// measureHeartbeats measures one process's heartbeats to peers in other zones, by the number of peers.
func measureHeartbeats(uint64) (*Report, error) {
	report := &Report{}
	sizes := []int{5, 11, 17, 35}
	for _, sender := range heartbeatSenders() {
		var cpu, sent, received []Point
		for _, n := range sizes {
			cost, err := sendHeartbeats(n, sender.state)
			if err != nil {
				return nil, err
			}
			seconds := heartbeatsDuration.Seconds()
			cpu = append(cpu, Point{float64(n), millis(cost.cpu) / seconds})
			sent = append(sent, Point{float64(n), cost.sent / seconds})
			received = append(received, Point{float64(n), cost.received / seconds})
		}
		report.addSeries(sender.name+" bytes sent", "bytes/s", "peer", sent)
		report.addSeries(sender.name+" bytes received", "bytes/s", "peer", received)
		report.addSeries(sender.name+" processor time of both ends", "ms/s", "peer", cpu)
	}
	return report, nil
}

// sendHeartbeats sends heartbeats to n peers served by this process and measures them after a warm-up.
func sendHeartbeats(n int, state func() cyclamendyke.MemberState) (callCost, error) {
	clock := timeline.NewClock(timeline.ClockConfig{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return callCost{}, err
	}
	server := peer.NewServer(peer.ServerConfig{Listener: listener, Handler: heartbeatHandler{}, Clock: clock})
	defer server.Close()
	dialer := &countingDialer{}
	pool := peer.NewPool(peer.PoolConfig{
		Self:                       "entry-self",
		Zone:                       "elsewhere",
		Clock:                      clock,
		State:                      state,
		OnHeartbeatReply:           func(cyclamendyke.Member, time.Time, peer.HeartbeatReply) {},
		OnLivenessChange:           func(cyclamendyke.Member, bool) {},
		Dial:                       dialer.dial,
		CrossZoneHeartbeatInterval: daemon.CrossZoneHeartbeatInterval,
	})
	defer pool.Close()
	members := make([]cyclamendyke.Member, 0, n)
	for i := range n {
		member := memberState(i + 1).Member
		member.Peer = listener.Addr().String()
		members = append(members, member)
	}
	pool.SetMembers(members)
	time.Sleep(heartbeatsWarmup)
	sent, received := dialer.sent.Load(), dialer.received.Load()
	cpu := cpuUsedBy(func() { time.Sleep(heartbeatsDuration) })
	return callCost{
		cpu:      cpu,
		sent:     float64(dialer.sent.Load() - sent),
		received: float64(dialer.received.Load() - received),
	}, nil
}

// countingDialer counts the bytes on all connections that it opens.
type countingDialer struct {
	sent, received atomic.Int64
}

func (d *countingDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, dialer: d}, nil
}

// countingConn adds the bytes of one connection to its dialer's counts.
type countingConn struct {
	net.Conn
	dialer *countingDialer
}

// Read counts the bytes read.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.dialer.received.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.dialer.sent.Add(int64(n))
	return n, err
}
