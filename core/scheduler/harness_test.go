package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cyclamendyke"
)

const (
	testTaskTTL     = 60 * time.Second
	testClockMargin = 2 * time.Second
	testZone        = cyclamendyke.ZoneName("z")
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness runs a scheduler and its successors against fake workers and checks which tasks really run.
type harness struct {
	s              *Scheduler
	cfg            Config
	now            time.Time
	authorityUntil time.Time
	term           uint64
	vms            []cyclamendyke.VM
	workers        map[cyclamendyke.WorkerName]*fakeWorker
	tables         *cyclamendyke.Tables
	allotments     map[cyclamendyke.TeamName]cyclamendyke.Resources
	jobs           map[cyclamendyke.RequestID]cyclamendyke.Job
	journal        map[cyclamendyke.RequestID]cyclamendyke.JournalRecord
	answers        map[cyclamendyke.RequestID]cyclamendyke.Outcome
	runCounts      map[cyclamendyke.TaskID]int // How often each task was started on a worker.
	persistResult  cyclamendyke.PersistResult  // The result of each write to the journal; if empty, writes get no result.
	log            []string                    // The commands and events that scripts match.
	accounted      map[cyclamendyke.Verdict]int
	submittedJobs  int
	violations     []string
	delayed        []delayedStart
	previous       *Scheduler // The scheduler of the previous term, which may still act.
}

func newHarness(cfg Config) *harness {
	h := &harness{
		cfg:           cfg,
		now:           testStart,
		workers:       make(map[cyclamendyke.WorkerName]*fakeWorker),
		jobs:          make(map[cyclamendyke.RequestID]cyclamendyke.Job),
		journal:       make(map[cyclamendyke.RequestID]cyclamendyke.JournalRecord),
		answers:       make(map[cyclamendyke.RequestID]cyclamendyke.Outcome),
		runCounts:     make(map[cyclamendyke.TaskID]int),
		accounted:     make(map[cyclamendyke.Verdict]int),
		persistResult: cyclamendyke.PersistKept,
		tables:        testTables(),
		allotments:    map[cyclamendyke.TeamName]cyclamendyke.Resources{"a": {Cores: 1 << 40}, "b": {Cores: 1 << 40}, "c": {Cores: 8000}},
	}
	h.cfg.Zone, h.cfg.TaskTTL, h.cfg.ClockMargin = testZone, testTaskTTL, testClockMargin
	h.cfg.OnInvariantViolation = func(name, detail string) { h.violations = append(h.violations, name+": "+detail) }
	return h
}

func testTables() *cyclamendyke.Tables {
	teams := []cyclamendyke.TeamName{"a", "b", "c"}
	route := func(name cyclamendyke.RouteName, kind cyclamendyke.JobKind) cyclamendyke.Route {
		return cyclamendyke.Route{Name: name, Kind: kind, Pools: []cyclamendyke.PoolName{"p"}, Teams: teams, Urgent: true, MaxQueue: 5}
	}
	return &cyclamendyke.Tables{
		Revision: 1,
		Routes: map[cyclamendyke.RouteName]cyclamendyke.Route{
			"service": route("service", cyclamendyke.KindService),
			"batch":   route("batch", cyclamendyke.KindBatch),
			"gang":    route("gang", cyclamendyke.KindGang),
		},
		Teams: map[cyclamendyke.TeamName]cyclamendyke.Team{
			"a": {Name: "a", Share: 2},
			"b": {Name: "b", Share: 1},
			"c": {Name: "c", Share: 1, Limit: cyclamendyke.Resources{Cores: 16000}},
		},
		Pools: map[cyclamendyke.PoolName]cyclamendyke.Pool{
			"p": {Name: "p", Shape: testShape, Zones: []cyclamendyke.ZoneName{testZone}},
		},
	}
}

var testShape = cyclamendyke.Resources{Cores: 8000, Memory: 16384, Slots: 8, Connections: 64}

// takeOver starts a scheduler with a new term, as after the failure of the previous one.
func (h *harness) takeOver() {
	h.term++
	h.previous = h.s
	h.s = New(h.cfg)
	for _, f := range h.workers {
		f.renewing = false
	}
	h.authorityUntil = h.now.Add(time.Hour)
	h.execute(h.s.SetTables(h.now, h.tables))
	h.execute(h.s.SetAllotments(h.now, h.allotments))
	h.execute(h.s.SetAuthority(h.now, cyclamendyke.Authority{Epoch: h.epoch(), Until: h.authorityUntil}))
	h.execute(h.s.SetVMs(h.now, h.vms))
	records := make([]cyclamendyke.JournalRecord, 0, len(h.journal))
	for _, id := range sortedKeys(h.journal) {
		records = append(records, h.journal[id])
	}
	h.execute(h.s.Recover(h.now, records))
}

func (h *harness) epoch() cyclamendyke.Epoch {
	return cyclamendyke.Epoch{Term: h.term, Owner: "m"}
}

func (h *harness) addVM(name cyclamendyke.WorkerName, rack string) {
	vm := cyclamendyke.VM{Name: name, Zone: testZone, Pool: "p", Rack: rack, Capacity: testShape, State: cyclamendyke.VMLive}
	h.vms = append(h.vms, vm)
	h.workers[name] = &fakeWorker{vm: vm, running: make(map[cyclamendyke.TaskID]cyclamendyke.RunningTask)}
}

func (h *harness) logf(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf(format, args...))
}

func (h *harness) addViolation(format string, args ...any) {
	h.violations = append(h.violations, "observed: "+fmt.Sprintf(format, args...))
}

func (h *harness) submit(job cyclamendyke.Job) {
	job.AcceptedAt = h.now
	if _, known := h.jobs[job.Request]; !known {
		h.submittedJobs++
	}
	h.jobs[job.Request] = job
	h.execute(h.s.Submit(h.now, job))
}

// finish ends a running task with an exit code, on whichever worker it runs.
func (h *harness) finish(task cyclamendyke.TaskID, exitCode int) bool {
	for _, name := range sortedKeys(h.workers) {
		if h.workers[name].end(h.now, task, cyclamendyke.TaskResult{ExitCode: exitCode}) {
			h.renew(name)
			return true
		}
	}
	return false
}

// advance moves time on in steps of at most a second; in each, leases lapse, workers are
// renewed and the scheduler ticks.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(min(time.Second, end.Sub(h.now)))
		h.deliverDelayedStarts()
		for _, name := range sortedKeys(h.workers) {
			h.expireLeases(h.workers[name])
			h.renew(name)
		}
		h.execute(h.s.Tick(h.now))
	}
}

func (h *harness) expireLeases(f *fakeWorker) {
	if !f.leaseUntil.Before(h.now) {
		return
	}
	for _, task := range sortedTasks(f.running) {
		f.end(h.now, task, cyclamendyke.TaskResult{ExitCode: 137, Stopped: true})
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func sortedTasks(m map[cyclamendyke.TaskID]cyclamendyke.RunningTask) []cyclamendyke.TaskID {
	ids := make([]cyclamendyke.TaskID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareTaskIDs)
	return ids
}

func (h *harness) violationText() string {
	return strings.Join(h.violations, "\n")
}
