package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The bounds of minions, as in the settings of a small deployment.
const (
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	expireAfter = 3 * heartbeat
)

// machine is a place for minions: one incarnation after the other, at one address.
type machine struct {
	w       *world
	name    string
	service string
	zone    string
	cpu     int64
	labels  []string

	mu      sync.Mutex
	address string
	lives   int
	now     *minion // Nil while the machine is down.
}

// task is a run on a minion.
type taskRun struct {
	task  string
	run   int64
	began time.Time
	lasts time.Duration // Zero: until it is stopped.
	timer *time.Timer
}

type ended struct {
	n    int64
	task string
	run  int64
	how  string
	rec  *runRecord
}

// minion is one incarnation of a minion.
type minion struct {
	m      *machine
	id     string
	born   time.Time
	server *http.Server

	mu       sync.Mutex
	dead     bool
	fence    int64
	until    time.Duration // On its clock.
	runs     map[string]*taskRun
	highest  map[string]int64
	ends     []ended
	sequence int64
	changed  chan struct{}
	seq      int64
	stop     chan struct{}
}

func (mn *minion) clock() time.Duration { return time.Since(mn.born) + time.Minute }

// up starts an incarnation.
func (m *machine) up() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives++
	id := fmt.Sprintf("%s-%d", m.name, m.lives)
	mn := &minion{m: m, id: id, born: time.Now(), runs: map[string]*taskRun{}, highest: map[string]int64{}, changed: make(chan struct{}), stop: make(chan struct{})}
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun(fmt.Sprint(err))
	}
	m.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/hold", mn.hold)
	mux.HandleFunc("POST /v1/run-start", mn.start)
	mux.HandleFunc("POST /v1/run-stop", mn.stopRun)
	mux.HandleFunc("POST /v1/pace", mn.pace)
	mn.server = &http.Server{Handler: mux}
	go func() { _ = mn.server.Serve(l) }()
	go mn.beat()
	go mn.watchLease()
	m.now = mn
	m.w.log("minion %s is up", id)
}

// lostWithMinion is how a run ends whose minion crashes, which lists no end of it.
const lostWithMinion = "lost with its minion"

// crash ends the present incarnation at once; what runs on it ends with it.
func (m *machine) crash() {
	m.mu.Lock()
	mn := m.now
	m.now = nil
	m.mu.Unlock()
	if mn == nil {
		return
	}
	mn.mu.Lock()
	mn.dead = true
	for _, r := range mn.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		m.w.runEnded(mn.id, r.task, r.run, lostWithMinion)
		if m.w.gangs.sizeOf(r.task) > 0 {
			m.w.gangs.left(r, "lost")
		}
	}
	mn.runs = map[string]*taskRun{}
	close(mn.stop)
	mn.mu.Unlock()
	_ = mn.server.Close()
	m.w.log("minion %s has crashed", mn.id)
	time.AfterFunc(expireAfter, func() { m.w.store.del("servers/" + mn.id) })
}

// beat keeps the minion's entry in the store.
func (mn *minion) beat() {
	for {
		mn.mu.Lock()
		mn.seq++
		entry := map[string]any{
			"service": mn.m.service, "address": mn.m.address, "zone": mn.m.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": map[string]int64{"cpu": mn.m.cpu, "mem_mb": 65536, "gpu": 0},
			"labels": append([]string{"a"}, mn.m.labels...), "clock_ms": mn.clock().Milliseconds(), "seq": mn.seq, "born": mn.born.UnixMilli(),
		}
		mn.mu.Unlock()
		mn.m.w.store.put("servers/"+mn.id, entry)
		select {
		case <-time.After(heartbeat):
		case <-mn.stop:
			return
		}
	}
}

// watchLease kills everything when the lease is over.
func (mn *minion) watchLease() {
	for {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-mn.stop:
			return
		}
		mn.mu.Lock()
		if len(mn.runs) > 0 && mn.clock() > mn.until {
			for _, r := range mn.runs {
				mn.end(r, "lapsed")
			}
		}
		mn.mu.Unlock()
	}
}

func (mn *minion) end(r *taskRun, how string) {
	if mn.dead || mn.runs[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(mn.runs, r.task)
	mn.highest[r.task] = max(mn.highest[r.task], r.run)
	mn.sequence++
	mn.ends = append(mn.ends, ended{n: mn.sequence, task: r.task, run: r.run, how: how})
	close(mn.changed)
	mn.changed = make(chan struct{})
	mn.m.w.runEnded(mn.id, r.task, r.run, how)
	if mn.m.w.gangs.sizeOf(r.task) > 0 {
		mn.m.w.gangs.left(r, how)
	}
}

type order struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence int64  `json:"fence"`
	Seen  int64  `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

// receive decodes an order and checks for whom it is; it holds the lock if it returns true.
func (mn *minion) receive(w http.ResponseWriter, r *http.Request, o *order) bool {
	if json.NewDecoder(r.Body).Decode(o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != mn.id {
		mn.m.w.log("minion %s: a call for %s gets 421", mn.id, want)
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": mn.clock().Milliseconds()})
		return false
	}
	mn.mu.Lock()
	if mn.dead {
		mn.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < mn.fence {
		mn.refuse(w, "fence")
		mn.mu.Unlock()
		return false
	}
	mn.fence = o.Fence
	return true
}

func (mn *minion) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"reason": reason, "clock_ms": mn.clock().Milliseconds(), "born": mn.born.UnixMilli()})
}

func (mn *minion) ok(w http.ResponseWriter) {
	answer(w, http.StatusOK, map[string]any{"clock_ms": mn.clock().Milliseconds(), "born": mn.born.UnixMilli()})
}

func (mn *minion) extend(untilMillis int64) {
	mn.until = max(mn.until, min(time.Duration(untilMillis)*time.Millisecond, mn.clock()+maxHold))
}

func (mn *minion) start(w http.ResponseWriter, r *http.Request) {
	var o order
	if !mn.receive(w, r, &o) {
		return
	}
	defer mn.mu.Unlock()
	present := mn.runs[o.Task]
	switch {
	case time.Duration(o.Until)*time.Millisecond <= mn.clock():
		mn.refuse(w, "late")
		return
	case present != nil && present.run == o.Run:
	case present != nil || o.Run <= mn.highest[o.Task]:
		mn.extend(o.Until)
		mn.refuse(w, "old")
		return
	default:
		mn.extend(o.Until)
		mn.begin(&o)
	}
	mn.extend(o.Until)
	mn.ok(w)
}

// begin begins a run. The spec holds how long it lasts in milliseconds; each run differs by up to 2%.
func (mn *minion) begin(o *order) {
	ms, _ := strconv.Atoi(o.Spec)
	r := &taskRun{task: o.Task, run: o.Run, began: time.Now(), lasts: time.Duration(float64(ms)*(0.98+0.02*rand.Float64())) * time.Millisecond}
	mn.runs[o.Task] = r
	mn.m.w.runBegan(mn.id, o.Task, o.Run, o.Spec)
	if mn.m.w.gangs.sizeOf(o.Task) > 0 {
		mn.m.w.gangs.join(mn, r)
		return
	}
	if r.lasts > 0 {
		r.timer = time.AfterFunc(r.lasts, func() {
			mn.mu.Lock()
			defer mn.mu.Unlock()
			mn.end(r, "done")
		})
	}
}

func (mn *minion) stopRun(w http.ResponseWriter, r *http.Request) {
	var o order
	if !mn.receive(w, r, &o) {
		return
	}
	defer mn.mu.Unlock()
	mn.highest[o.Task] = max(mn.highest[o.Task], o.Run)
	if run := mn.runs[o.Task]; run != nil && run.run == o.Run {
		time.AfterFunc(stopTime, func() {
			mn.mu.Lock()
			defer mn.mu.Unlock()
			mn.end(run, "stopped")
		})
	}
	mn.ok(w)
}

func (mn *minion) pace(w http.ResponseWriter, r *http.Request) {
	var o order
	if mn.receive(w, r, &o) {
		defer mn.mu.Unlock()
		mn.ok(w)
	}
}

func (mn *minion) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if !mn.receive(w, r, &o) {
		return
	}
	defer mn.mu.Unlock()
	if o.Until > 0 {
		mn.extend(o.Until)
	}
	for len(mn.ends) > 0 && mn.ends[0].n <= o.Seen {
		mn.ends = mn.ends[1:]
	}
	if len(mn.ends) == 0 && o.Wait > 0 {
		changed := mn.changed
		mn.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(2*time.Second, time.Duration(o.Wait)*time.Millisecond)):
		case <-r.Context().Done():
		}
		mn.mu.Lock()
	}
	if mn.dead {
		panic(http.ErrAbortHandler)
	}
	running, ends := [][]any{}, [][]any{}
	for _, run := range mn.runs {
		percent := 100
		if run.lasts > 0 {
			percent = min(99, int(100*time.Since(run.began)/run.lasts))
		}
		running = append(running, []any{run.task, run.run, "", percent, 0})
	}
	for _, e := range mn.ends[:min(len(mn.ends), 500)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": mn.clock().Milliseconds(), "born": mn.born.UnixMilli(), "running": running, "ended": ends})
}
