package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// capacity is what a minion has, or a task needs.
type capacity struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem_mb"`
	GPU    int64 `json:"gpu"`
}

// minionConfig describes a minion.
type minionConfig struct {
	id, service, zone string
	labels            []string
	capacity          capacity
	store             *store
	record            *record
	started           func(minion, task string, run int64) // Called for each run that begins.
	ended             func(minion, task string, run int64, how string)
}

// The minions' bounds, as in the settings.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 10 * time.Second
	stopTakes   = 100 * time.Millisecond
	maxHoldWait = 2 * time.Second
)

// taskRun is a run of a task on a minion.
type taskRun struct {
	task     string
	run      int64
	takes    time.Duration // Zero for a task that lasts.
	began    time.Time
	stopping bool
}

// endRow is the end of a run.
type endRow struct {
	sequence int64
	task     string
	run      int64
	how      string
}

// life is one life of a minion: what it knows is gone when it ends.
type life struct {
	born     time.Time
	runs     map[string]*taskRun
	ends     []endRow
	sequence int64
	fence    int64
	until    time.Time
	closed   map[string]int64 // Highest run of each task that ended or was stopped.
	seq      int
	ended    chan struct{} // Closed at the next end.
	over     chan struct{} // Closed when this life is over.
}

// minion is a stand-in for a minion. It starts what it is told to start (admission_check is false).
type minion struct {
	minionConfig
	address string

	living atomic.Pointer[life] // The same as life, for the connections.

	mu    sync.Mutex
	life  *life // Nil while it has no power: nothing is answered, and what is sent to it is lost.
	conns map[net.Conn]*minionConn
}

// minionConn is a connection to a minion.
type minionConn struct {
	net.Conn
	m        *minion
	life     *life // The life that accepted it; nil if it was opened while the minion was dark.
	mu       sync.Mutex
	received time.Time // When the last byte came.
}

// Read loses what comes after the life that accepted the connection.
func (c *minionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.received = time.Now()
	c.mu.Unlock()
	for err == nil && !c.m.isLiving(c.life) {
		if n, err = c.Conn.Read(b); err == nil {
			c.mu.Lock()
			c.received = time.Now()
			c.mu.Unlock()
		}
	}
	return n, err
}

// Write loses what is written after that life.
func (c *minionConn) Write(b []byte) (int, error) {
	if !c.m.isLiving(c.life) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close leaves the connection open without an answer if the life that accepted it has ended.
func (c *minionConn) Close() error {
	if !c.m.isLiving(c.life) {
		return nil
	}
	c.m.mu.Lock()
	delete(c.m.conns, c)
	c.m.mu.Unlock()
	return c.Conn.Close()
}

func (m *minion) isLiving(l *life) bool {
	return l != nil && m.living.Load() == l
}

// minionListener accepts connections for the present life.
type minionListener struct {
	net.Listener
	m *minion
}

// Accept returns the next connection.
func (l minionListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	c := &minionConn{Conn: conn, m: l.m, life: l.m.life, received: time.Now()}
	l.m.conns[c] = c
	return c, nil
}

func newMinion(cfg minionConfig) *minion {
	m := &minion{minionConfig: cfg, conns: map[net.Conn]*minionConn{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	m.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.handleStart)
	mux.HandleFunc("POST /v1/run-stop", m.handleStop)
	mux.HandleFunc("POST /v1/hold", m.handleHold)
	mux.HandleFunc("POST /v1/pace", m.handlePace)
	m.begin()
	go func() { _ = http.Serve(minionListener{listener, m}, mux) }()
	return m
}

// begin begins a life: the minion registers and then serves.
func (m *minion) begin() {
	l := &life{
		born: time.Now(), runs: map[string]*taskRun{}, closed: map[string]int64{},
		until: time.Now(), ended: make(chan struct{}), over: make(chan struct{}),
	}
	m.record.log("minion %s begins a life, labels %v, cpu %d", m.id, m.labels, m.capacity.CPU)
	m.mu.Lock()
	m.register(l)
	m.life = l
	m.living.Store(l)
	m.mu.Unlock()
	go m.live(l)
}

// loseLife makes the minion lose power: it answers nothing any more, and all that it ran is gone.
func (m *minion) loseLife() {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.life
	m.life = nil
	m.living.Store(nil)
	close(l.over)
	m.record.log("minion %s loses power with %d runs", m.id, len(l.runs))
	for _, r := range l.runs {
		m.ended(m.id, r.task, r.run, "gone")
	}
}

// reborn begins another life under the same identifier. Connections of before are reset at their peer's next
// keep-alive probe, which comes a second after the last byte or probe.
func (m *minion) reborn() {
	m.begin()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		if c.life == m.life {
			continue
		}
		delete(m.conns, c)
		c.mu.Lock()
		idle := time.Since(c.received)
		c.mu.Unlock()
		time.AfterFunc(time.Second-idle%time.Second, func() {
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Conn.Close()
		})
	}
}

// register writes the minion's description; the caller holds the lock.
func (m *minion) register(l *life) {
	l.seq++
	m.store.put("servers/"+m.id, map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": m.capacity, "labels": m.labels, "clock_ms": time.Since(l.born).Milliseconds(),
		"seq": l.seq, "born": l.born.UnixMilli(),
	})
}

// live sends heartbeats and ends runs while a life lasts.
func (m *minion) live(l *life) {
	lastBeat := time.Now()
	for range time.Tick(5 * time.Millisecond) {
		select {
		case <-l.over:
			return
		default:
		}
		m.mu.Lock()
		if m.life != l {
			m.mu.Unlock()
			return
		}
		if time.Since(lastBeat) >= heartbeat {
			lastBeat = time.Now()
			m.register(l)
		}
		for _, r := range l.runs {
			switch {
			case time.Now().After(l.until):
				m.end(l, r, "lapsed")
			case r.takes > 0 && time.Since(r.began) >= r.takes:
				m.end(l, r, "done")
			}
		}
		m.mu.Unlock()
	}
}

// end ends a run; the caller holds the lock.
func (m *minion) end(l *life, r *taskRun, how string) {
	if l.runs[r.task] != r {
		return
	}
	delete(l.runs, r.task)
	l.sequence++
	l.ends = append(l.ends, endRow{l.sequence, r.task, r.run, how})
	l.closed[r.task] = max(l.closed[r.task], r.run)
	close(l.ended)
	l.ended = make(chan struct{})
	m.record.log("minion %s: %s run %d ends %s", m.id, r.task, r.run, how)
	m.ended(m.id, r.task, r.run, how)
}

// call decodes a call for the minion and returns the life that handles it, or nil if it was answered.
func (m *minion) call(w http.ResponseWriter, r *http.Request, body any) *life {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return nil
	}
	m.mu.Lock()
	l := m.life
	m.mu.Unlock()
	if l == nil {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		answer(w, http.StatusMisdirectedRequest, struct{}{})
		return nil
	}
	return l
}

// checkLife gives up a call whose life has ended meanwhile; the caller holds the lock.
func (m *minion) checkLife(l *life) {
	if m.life != l {
		panic(http.ErrAbortHandler)
	}
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// refuse answers with a reason.
func (l *life) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clock_ms": l.clock(), "reason": reason})
}

// extend takes over the end of the lease, which never shortens.
func (l *life) extend(untilMillis int64) {
	until := l.born.Add(time.Duration(untilMillis) * time.Millisecond)
	if longest := time.Now().Add(maxHold); until.After(longest) {
		until = longest
	}
	if until.After(l.until) {
		l.until = until
	}
}

func (m *minion) handleStart(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Task  string `json:"task"`
		Run   int64  `json:"run"`
		Spec  string `json:"spec"`
		Until int64  `json:"until_ms"`
		Fence int64  `json:"fence"`
	}
	l := m.call(w, r, &body)
	if l == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLife(l)
	if body.Fence < l.fence {
		l.refuse(w, "fence")
		return
	}
	l.fence = body.Fence
	if body.Until <= l.clock() {
		l.refuse(w, "late")
		return
	}
	l.extend(body.Until)
	if known := l.runs[body.Task]; known != nil && known.run == body.Run {
		answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
		return
	}
	if body.Run <= l.closed[body.Task] || l.runs[body.Task] != nil {
		l.refuse(w, "old")
		return
	}
	l.runs[body.Task] = &taskRun{task: body.Task, run: body.Run, takes: durationOf(body.Spec, body.Task), began: time.Now()}
	m.record.log("minion %s: %s run %d begins, fence %d", m.id, body.Task, body.Run, body.Fence)
	m.started(m.id, body.Task, body.Run)
	answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

// durationOf returns how long a task works. The spec holds one number of milliseconds for each step; zero
// stands for a task that lasts.
func durationOf(spec, task string) time.Duration {
	numbers := strings.Fields(spec)
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	ms, err := strconv.Atoi(numbers[min(step, len(numbers)-1)])
	if err != nil {
		panic(fmt.Sprintf("spec %q", spec))
	}
	return time.Duration(ms) * time.Millisecond
}

func (m *minion) handleStop(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Task  string `json:"task"`
		Run   int64  `json:"run"`
		Fence int64  `json:"fence"`
	}
	l := m.call(w, r, &body)
	if l == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLife(l)
	if body.Fence < l.fence {
		l.refuse(w, "fence")
		return
	}
	l.fence = body.Fence
	l.closed[body.Task] = max(l.closed[body.Task], body.Run)
	if run := l.runs[body.Task]; run != nil && run.run == body.Run && !run.stopping {
		run.stopping = true
		m.record.log("minion %s: %s run %d is to stop", m.id, body.Task, body.Run)
		time.AfterFunc(stopTakes, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.life == l {
				m.end(l, run, "stopped")
			}
		})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

func (m *minion) handleHold(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Until    int64 `json:"until_ms"`
		Fence    int64 `json:"fence"`
		LastSeen int64 `json:"last_seen"`
		Wait     int64 `json:"wait_ms"`
	}
	l := m.call(w, r, &body)
	if l == nil {
		return
	}
	ended, isWaiting, ok := m.hold(w, l, body.Until, body.Fence, body.LastSeen)
	if !ok {
		return
	}
	if isWaiting && body.Wait > 0 {
		select {
		case <-ended:
		case <-time.After(min(maxHoldWait, time.Duration(body.Wait)*time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLife(l)
	running, ends := []any{}, []any{}
	for _, run := range l.runs {
		percent := 100
		if run.takes > 0 {
			percent = min(99, int(100*time.Since(run.began)/run.takes))
		}
		running = append(running, []any{run.task, run.run, "", percent, 0})
	}
	for _, e := range l.ends {
		ends = append(ends, []any{e.sequence, e.task, e.run, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock(), "born": l.born.UnixMilli(), "running": running, "ended": ends})
}

// hold extends the lease and forgets the ends that were seen. It returns what tells of the next end, whether there is
// none to return yet, and whether the call goes on.
func (m *minion) hold(w http.ResponseWriter, l *life, until, fence, lastSeen int64) (<-chan struct{}, bool, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLife(l)
	if fence < l.fence {
		l.refuse(w, "fence")
		return nil, false, false
	}
	l.fence = fence
	l.extend(until)
	for len(l.ends) > 0 && l.ends[0].sequence <= lastSeen {
		l.ends = l.ends[1:]
	}
	return l.ended, len(l.ends) == 0, true
}

func (m *minion) handlePace(w http.ResponseWriter, r *http.Request) {
	var body struct{}
	if l := m.call(w, r, &body); l != nil {
		answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
	}
}
