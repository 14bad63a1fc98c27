package bench

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/config"
	"cyclamendyke/core/timeline"
	"cyclamendyke/daemon"
	"cyclamendyke/io/peer"
)

const heartbeatsFor = 12 * time.Second

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

// measureHeartbeats measures one process's heartbeats to several numbers of peers.
func measureHeartbeats(uint64) (*Report, error) {
	report := &Report{}
	sizes := []int{5, 11, 17, 35}
	costs := make([]callCost, len(sizes))
	for i, n := range sizes {
		var err error
		if costs[i], err = beat(n, memberState(0)); err != nil {
			return nil, err
		}
	}
	addBeats(report, "scheduler's heartbeat", sizes, costs)
	var cpu []Point
	for i, n := range sizes {
		cpu = append(cpu, Point{float64(n), millis(costs[i].cpu) / heartbeatsFor.Seconds()})
	}
	report.add("scheduler's heartbeat processor time of both ends", "ms/s", "peer", cpu)
	standby := memberState(0)
	standby.Pools = nil
	errs := make([]error, len(sizes))
	var runs sync.WaitGroup
	for i, n := range sizes {
		runs.Go(func() { costs[i], errs[i] = beat(n, standby) })
	}
	runs.Wait()
	addBeats(report, "standby's heartbeat", sizes, costs)
	return report, errors.Join(errs...)
}

func addBeats(report *Report, name string, sizes []int, costs []callCost) {
	sent := make([]Point, 0, len(sizes))
	received := make([]Point, 0, len(sizes))
	for i, n := range sizes {
		sent = append(sent, Point{float64(n), costs[i].sent / heartbeatsFor.Seconds()})
		received = append(received, Point{float64(n), costs[i].received / heartbeatsFor.Seconds()})
	}
	report.add(name+" bytes sent", "bytes/s", "peer", sent)
	report.add(name+" bytes received", "bytes/s", "peer", received)
}

// beat sends heartbeats to n peers, served by this process too, for heartbeatsFor.
func beat(n int, state cyclamendyke.MemberState) (callCost, error) {
	clock := timeline.NewClock(timeline.ClockConfig{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return callCost{}, err
	}
	server := peer.NewServer(peer.ServerConfig{Listener: listener, Handler: beatHandler{}, Clock: clock})
	defer server.Close()
	counted := &countingDialer{}
	pool := peer.NewPool(peer.PoolConfig{
		Self:      "entry-self",
		Clock:     clock,
		State:     func() cyclamendyke.MemberState { return state },
		OnView:    func(cyclamendyke.Member, time.Time, peer.ViewState) {},
		OnVerdict: func(cyclamendyke.Member, bool) {},
		Dial:      counted.dial,
		// The peers count as those of other zones, which get most of the heartbeats.
		FarInterval: daemon.FarHeartbeatInterval,
	})
	defer pool.Close()
	members := make([]cyclamendyke.Member, 0, n)
	for i := range n {
		member := memberState(i + 1).Member
		member.Peer = listener.Addr().String()
		members = append(members, member)
	}
	cpu := cpuOf(func() {
		pool.SetMembers(members)
		time.Sleep(heartbeatsFor)
	})
	return callCost{cpu: cpu, sent: float64(counted.sent.Load()), received: float64(counted.received.Load())}, nil
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
