package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the minions, as in the settings of the daemons.
const (
	maxHold       = 10 * time.Second
	stopTime      = 50 * time.Millisecond // Less than stop_timeout_ms.
	beatInterval  = 1500 * time.Millisecond
	lapsedBeats   = 3 // A silent minion's entry is removed after so many intervals.
	lastingTask   = time.Hour
	maxListedEnds = 500
)

// resources is a set of resources on the wire.
type resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

// liveRun is a run on a minion.
type liveRun struct {
	task     string
	run      int64
	began    time.Time
	work     time.Duration
	ending   bool // A stop was accepted.
	finished *time.Timer
}

type endRow struct {
	seq  int64
	task string
	run  int64
	how  string
	at   time.Time
}

// minion is a stand-in for one minion; it may start again under its identifier.
type minion struct {
	id, service, address, zone, rack string
	capacity                         resources
	rig                              *rig

	mu       sync.Mutex
	up       bool // It works and answers.
	life     int
	born     time.Time
	listener net.Listener
	conns    map[net.Conn]bool
	fence    int64
	lease    int64 // End on its own clock, in milliseconds.
	runs     map[string]*liveRun
	highest  map[string]int64 // By task: the highest run that was stopped or ended here.
	ends     []endRow
	seq      int64
	seen     int64
	lapsedAt time.Time // When its lease last lapsed.
	changed  chan struct{}
	beats    int64
	lastBeat time.Time
}

// start begins a life of the minion.
func (m *minion) start() error {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.life++
	m.up, m.born, m.listener, m.conns = true, time.Now(), listener, map[net.Conn]bool{}
	m.fence, m.lease, m.runs, m.highest, m.ends = 0, 0, map[string]*liveRun{}, map[string]int64{}, nil
	m.seq, m.seen, m.lapsedAt, m.changed, m.beats = 0, 0, time.Time{}, make(chan struct{}), 0
	life := m.life
	m.mu.Unlock()
	m.rig.note("minion %s life %d begins", m.id, life)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.handler(life, m.runStart))
	mux.HandleFunc("POST /v1/run-stop", m.handler(life, m.runStop))
	mux.HandleFunc("POST /v1/hold", m.hold(life))
	mux.HandleFunc("POST /v1/pace", m.handler(life, m.pace))
	server := &http.Server{Handler: mux, ConnState: func(c net.Conn, state http.ConnState) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.life != life {
			return
		}
		if state == http.StateClosed || state == http.StateHijacked {
			delete(m.conns, c)
		} else {
			m.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(listener) }()
	go m.live(life)
	return nil
}

// live sends the minion's heartbeats and ends what outlives its lease.
func (m *minion) live(life int) {
	next := time.Now()
	for range time.Tick(10 * time.Millisecond) {
		m.mu.Lock()
		if !m.up || m.life != life {
			m.mu.Unlock()
			return
		}
		if len(m.runs) > 0 && m.clock() >= m.lease {
			m.lapsedAt = time.Now()
			for _, r := range m.runs {
				m.end(r, "lapsed")
			}
		}
		beat := !time.Now().Before(next)
		if beat {
			next = time.Now().Add(beatInterval)
			m.beats++
			m.lastBeat = time.Now()
		}
		m.mu.Unlock()
		if beat {
			m.rig.store.put("servers/"+m.id, m.describe())
		}
	}
}

func (m *minion) describe() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": m.capacity, "labels": []string{"a", m.rack}, "clock_ms": m.clock(), "seq": m.beats, "born": m.born.UnixMilli(),
	}
}

// clock returns the minion's clock in milliseconds; the caller holds the lock.
func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1000 }

// crash ends the minion's life: all that it runs and knows is gone. A dark one answers nothing and resets nothing.
func (m *minion) crash(dark bool) {
	m.mu.Lock()
	m.up = false
	for _, r := range m.runs {
		r.finished.Stop()
		m.rig.runGone(m, r)
	}
	m.runs = map[string]*liveRun{}
	listener, conns := m.listener, m.conns
	m.mu.Unlock()
	m.rig.note("minion %s life %d ends, dark %v", m.id, m.life, dark)
	if !dark {
		m.drop(listener, conns)
	}
}

// drop closes a listener and resets connections.
func (m *minion) drop(listener net.Listener, conns map[net.Conn]bool) {
	_ = listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// restart begins the next life after a crash. What a dark one had open is reset after resetDelay, as by the
// keep-alive probe of a peer.
func (m *minion) restart(resetDelay time.Duration) {
	m.mu.Lock()
	listener, conns := m.listener, m.conns
	m.mu.Unlock()
	_ = listener.Close()
	if err := m.start(); err != nil {
		m.rig.fail(exitNotRun, "minion %s cannot start again: %v", m.id, err)
	}
	time.AfterFunc(resetDelay, func() { m.drop(listener, conns) })
}

// handler checks the instance and the fence of a call, and holds calls to a life that has ended.
func (m *minion) handler(life int, handle func(body orderBody) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body orderBody
		err := json.NewDecoder(r.Body).Decode(&body)
		if !m.alive(life) {
			<-r.Context().Done()
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
			reply(w, 421, map[string]any{})
			return
		}
		if err != nil {
			reply(w, 400, map[string]any{})
			return
		}
		m.mu.Lock()
		status, reason := 409, "fence"
		if body.Fence >= m.fence {
			m.fence = body.Fence
			status, reason = handle(body)
		}
		answer := map[string]any{"clock_ms": m.clock()}
		m.mu.Unlock()
		if reason != "" {
			answer["reason"] = reason
		}
		reply(w, status, answer)
	}
}

func (m *minion) alive(life int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up && m.life == life
}

// orderBody is the body of every call.
type orderBody struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until_ms"`
	Fence    int64  `json:"fence"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func runName(task string, run int64) string { return fmt.Sprintf("%s/%d", task, run) }

func (m *minion) extend(until int64) {
	m.lease = max(m.lease, min(until, m.clock()+maxHold.Milliseconds()))
}

// runStart starts a run; the caller holds the lock.
func (m *minion) runStart(b orderBody) (int, string) {
	if m.runs[runName(b.Task, b.Run)] != nil {
		m.extend(b.Until)
		return 200, ""
	}
	if b.Run <= m.highest[b.Task] {
		m.extend(b.Until)
		return 409, "old"
	}
	if b.Until <= m.clock() {
		return 409, "late"
	}
	m.extend(b.Until)
	r := &liveRun{task: b.Task, run: b.Run, began: time.Now(), work: workOf(b.Spec)}
	m.runs[runName(b.Task, b.Run)] = r
	life := m.life
	r.finished = time.AfterFunc(r.work, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.up && m.life == life && !r.ending {
			m.end(r, "done")
		}
	})
	m.rig.runStarted(m, r, b.Spec)
	return 200, ""
}

// workOf reads how long a task works from the job's spec: "work MILLISECONDS ...".
func workOf(spec string) time.Duration {
	fields := strings.Fields(spec)
	if len(fields) > 1 && fields[0] == "work" {
		if ms, err := strconv.Atoi(fields[1]); err == nil {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return lastingTask
}

// runStop stops a run; the caller holds the lock.
func (m *minion) runStop(b orderBody) (int, string) {
	m.highest[b.Task] = max(m.highest[b.Task], b.Run)
	r := m.runs[runName(b.Task, b.Run)]
	if r == nil || r.ending {
		return 200, ""
	}
	r.ending = true
	life := m.life
	time.AfterFunc(stopTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.up && m.life == life && m.runs[runName(r.task, r.run)] == r {
			m.end(r, "stopped")
		}
	})
	return 200, ""
}

func (m *minion) pace(orderBody) (int, string) { return 200, "" }

// end ends a run; the caller holds the lock.
func (m *minion) end(r *liveRun, how string) {
	if m.runs[runName(r.task, r.run)] != r {
		return
	}
	delete(m.runs, runName(r.task, r.run))
	r.finished.Stop()
	m.highest[r.task] = max(m.highest[r.task], r.run)
	m.seq++
	m.ends = append(m.ends, endRow{m.seq, r.task, r.run, how, time.Now()})
	m.rig.runEnded(m, r, how, m.seq)
	close(m.changed)
	m.changed = make(chan struct{})
}

// hold extends the lease and lists the runs.
func (m *minion) hold(life int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var b orderBody
		err := json.NewDecoder(r.Body).Decode(&b)
		if !m.alive(life) {
			<-r.Context().Done()
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
			reply(w, 421, map[string]any{})
			return
		}
		if err != nil {
			reply(w, 400, map[string]any{})
			return
		}
		m.mu.Lock()
		if b.Fence < m.fence {
			answer := map[string]any{"clock_ms": m.clock(), "reason": "fence"}
			m.mu.Unlock()
			reply(w, 409, answer)
			return
		}
		m.fence = b.Fence
		if b.Until > 0 {
			m.extend(b.Until)
		}
		m.acknowledge(b.LastSeen)
		deadline := time.After(time.Duration(min(b.Wait, 2000)) * time.Millisecond)
		for waiting := b.Wait > 0; waiting && len(m.ends) == 0 && m.up && m.life == life; {
			changed := m.changed
			m.mu.Unlock()
			select {
			case <-changed:
			case <-deadline:
				waiting = false
			case <-r.Context().Done():
				return
			}
			m.mu.Lock()
		}
		if !m.up || m.life != life {
			m.mu.Unlock()
			<-r.Context().Done()
			return
		}
		answer := m.listing()
		m.mu.Unlock()
		reply(w, 200, answer)
	}
}

// acknowledge forgets the ends up to seen; the caller holds the lock.
func (m *minion) acknowledge(seen int64) {
	if seen <= m.seen {
		return
	}
	m.seen = seen
	kept := m.ends[:0]
	for _, e := range m.ends {
		if e.seq > seen {
			kept = append(kept, e)
			continue
		}
		m.rig.endNoted(m, e, seen, m.lapsedAt.After(e.at))
	}
	m.ends = kept
}

// listing returns what a hold answers; the caller holds the lock.
func (m *minion) listing() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.runs {
		percent := min(99, int(100*time.Since(r.began)/max(r.work, 1)))
		if r.work == lastingTask {
			percent = 100
		}
		running = append(running, []any{r.task, r.run, "", percent, 100})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for i, e := range m.ends {
		if i == maxListedEnds {
			break
		}
		ended = append(ended, []any{e.seq, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": ended, "state": "ready"}
}

// removeSilent removes the entries of minions that have been silent for too long.
func (g *rig) removeSilent() {
	removed := map[string]time.Time{}
	for range time.Tick(100 * time.Millisecond) {
		for _, m := range g.minions {
			m.mu.Lock()
			last := m.lastBeat
			silent := !m.up && !last.IsZero() && time.Since(last) > lapsedBeats*beatInterval
			m.mu.Unlock()
			if silent && removed[m.id] != last {
				removed[m.id] = last
				g.store.remove("servers/" + m.id)
			}
		}
	}
}
