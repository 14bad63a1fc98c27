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

// delayedStart is a start command delayed by the network.
type delayedStart struct {
	command   cyclamendyke.StartCommand
	sent      time.Time
	expiresAt time.Time // The start is lost if its worker is still unreachable at this time.
}

const testStartDelay = 20 * time.Second // How long starts to an unreachable worker stay in the network.

// fakeWorker keeps leases and runs tasks as the platform's workers do.
type fakeWorker struct {
	vm                cyclamendyke.VM
	epoch             cyclamendyke.Epoch
	leaseUntil        time.Time
	startFloorSetAt   time.Time // Starts sent before this time are refused.
	renewing          bool
	running           map[cyclamendyke.TaskID]cyclamendyke.RunningTask
	finished          []cyclamendyke.TaskResult
	sequence          uint64
	restarts          uint64
	dropsRequests     bool // Requests to it are lost.
	dropsAnswers      bool // Its answers are lost.
	dropsStartAnswers bool // Its answers to starts are lost.
	dropsStarts       bool // Starts sent to it are lost.
	refusesStarts     bool // It refuses starts for lack of capacity.
	failsTasks        bool // Its tasks end at once with an error.
	removed           bool // Its VM was removed from the platform's list and is off.
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

// execute executes commands as the daemon does.
func (h *harness) execute(commands []cyclamendyke.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case cyclamendyke.ClaimCommand:
			h.logf("claim %s", c.VM.Name)
			h.workers[c.VM.Name].renewing = true
			h.claim(c.VM.Name)
		case cyclamendyke.EndRenewalsCommand:
			h.logf("end-renewals %s", c.Worker)
			h.workers[c.Worker].renewing = false
		case cyclamendyke.StartCommand:
			h.logf("start %s %s", c.Start.Task, c.Worker)
			h.start(c)
		case cyclamendyke.StopCommand:
			h.logf("stop %s %s %s", c.Task, c.Worker, c.Mode)
			h.stop(c)
		case cyclamendyke.AnswerCommand:
			h.answer(c.Outcome)
		case cyclamendyke.PersistCommand:
			h.logf("persist %s", c.Record.Job.Request)
			h.persist(c)
		case cyclamendyke.AccountCommand:
			h.accounted[c.Record.Verdict] += c.Record.Count
		case cyclamendyke.EventCommand:
			if c.Event.Kind == cyclamendyke.EventBackOff || c.Event.Kind == cyclamendyke.EventAdopted {
				h.logf("event %s %s%s", c.Event.Kind, c.Event.Worker, c.Event.Request)
			}
		}
	}
}

func (h *harness) logf(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf(format, args...))
}

func (h *harness) addViolation(format string, args ...any) {
	h.violations = append(h.violations, "observed: "+fmt.Sprintf(format, args...))
}

func (h *harness) claim(name cyclamendyke.WorkerName) {
	f := h.workers[name]
	if f.dropsRequests {
		h.execute(h.s.Unreachable(h.now, name))
		return
	}
	f.extendLeases(h.now, h.epoch())
	if f.dropsAnswers {
		h.execute(h.s.Unreachable(h.now, name))
		return
	}
	report := f.report()
	for _, id := range sortedTasks(f.running) {
		report.Running = append(report.Running, f.running[id])
	}
	h.execute(h.s.Claimed(h.now, report, h.now.Add(-time.Millisecond)))
}

func (h *harness) renew(name cyclamendyke.WorkerName) {
	f := h.workers[name]
	switch {
	case !f.renewing:
	case f.dropsRequests:
		h.execute(h.s.Unreachable(h.now, name))
	case f.epoch != h.epoch():
		h.claim(name)
	case f.dropsAnswers:
		f.extendLeases(h.now, h.epoch())
		h.execute(h.s.Unreachable(h.now, name))
	default:
		f.extendLeases(h.now, h.epoch())
		h.execute(h.s.Renewed(h.now, f.report(), h.now.Add(-time.Millisecond)))
	}
}

func (f *fakeWorker) extendLeases(now time.Time, epoch cyclamendyke.Epoch) {
	f.epoch = epoch
	f.startFloorSetAt = now
	f.leaseUntil = now.Add(testTaskTTL)
}

func (f *fakeWorker) report() cyclamendyke.WorkerReport {
	report := cyclamendyke.WorkerReport{
		Worker:      f.vm.Name,
		Incarnation: f.restarts + 1,
		Capacity:    f.vm.Capacity,
		Sequence:    f.sequence,
		Finished:    f.finished,
	}
	f.finished = nil
	return report
}

func (h *harness) start(c cyclamendyke.StartCommand) {
	f := h.workers[c.Worker]
	task := c.Start.Task
	if f.dropsRequests {
		h.delayed = append(h.delayed, delayedStart{c, h.now, h.now.Add(testStartDelay)})
	}
	if f.dropsRequests || f.dropsStarts || f.epoch != c.Start.Epoch || h.now.After(f.leaseUntil) {
		h.execute(h.s.StartAnswered(h.now, c.Worker, task, cyclamendyke.KindUnknown))
		return
	}
	if f.refusesStarts {
		h.execute(h.s.StartAnswered(h.now, c.Worker, task, &cyclamendyke.Error{Op: "worker.start", Kind: cyclamendyke.KindNoRoom}))
		return
	}
	if _, found := f.running[task]; !found {
		h.run(f, c.Start)
	}
	if f.failsTasks {
		f.end(h.now, task, cyclamendyke.TaskResult{ExitCode: 1})
	}
	var err error
	if f.dropsAnswers || f.dropsStartAnswers {
		err = cyclamendyke.KindUnknown
	}
	h.execute(h.s.StartAnswered(h.now, c.Worker, task, err))
}

// run starts a task and reports a violation if it already runs, must not run, or doesn't fit.
func (h *harness) run(f *fakeWorker, start cyclamendyke.TaskStart) {
	for _, other := range h.workers {
		if _, found := other.running[start.Task]; found {
			h.addViolation("%s runs on %s and %s", start.Task, other.vm.Name, f.vm.Name)
		}
	}
	if h.runCounts[start.Task]++; h.runCounts[start.Task] > 1 && start.Job.NotRepeatable {
		h.addViolation("%s is not repeatable but ran twice", start.Task)
	}
	if answer := h.answers[start.Task.Request]; answer.Verdict == cyclamendyke.VerdictNotRun {
		h.addViolation("%s started after its request was answered not-run", start.Task)
	}
	f.running[start.Task] = cyclamendyke.RunningTask{Task: start.Task, Job: start.Job, Reserved: start.Reserved, Started: h.now}
	var sum cyclamendyke.Resources
	for _, r := range f.running {
		sum = sum.Add(r.Reserved)
	}
	if !sum.FitsIn(f.vm.Capacity) {
		h.addViolation("%s runs tasks with reservations of %+v, which exceed its capacity", f.vm.Name, sum)
	}
}

func (h *harness) stop(c cyclamendyke.StopCommand) {
	f := h.workers[c.Worker]
	if f.dropsRequests || f.epoch != c.Epoch || c.Mode == cyclamendyke.StopThrottle {
		return
	}
	f.end(h.now, c.Task, cyclamendyke.TaskResult{ExitCode: 137, Stopped: true})
	h.execute(h.s.StopAnswered(h.now, c.Worker, c.Task, c.Mode, nil))
}

func (f *fakeWorker) end(now time.Time, task cyclamendyke.TaskID, result cyclamendyke.TaskResult) bool {
	if _, found := f.running[task]; !found {
		return false
	}
	delete(f.running, task)
	result.Task, result.Finished = task, now
	f.sequence++
	f.finished = append(f.finished, result)
	return true
}

func (h *harness) answer(outcome cyclamendyke.Outcome) {
	h.logf("answer %s %s %s", outcome.Request, outcome.Verdict, outcome.Reason)
	if outcome.Verdict.IsFinal() {
		if outcome.Verdict == cyclamendyke.VerdictNotRun {
			h.checkNotRun(outcome.Request)
		}
		h.answers[outcome.Request] = outcome
	}
}

func (h *harness) checkNotRun(request cyclamendyke.RequestID) {
	for task := range h.runCounts {
		if task.Request == request {
			h.addViolation("%s ran, but its request was answered not-run", task)
		}
	}
}

func (h *harness) persist(c cyclamendyke.PersistCommand) {
	id := c.Record.Job.Request
	if h.persistResult == cyclamendyke.PersistKept || h.persistResult == cyclamendyke.PersistUnknown {
		h.journal[id] = c.Record
	}
	if c.AwaitResult && h.persistResult != "" {
		h.execute(h.s.Persisted(h.now, id, h.persistResult))
	}
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

// deliverDelayedStarts delivers delayed starts to workers that are reachable again, and drops starts
// that expire before that; a worker ignores a start that is too old for its epoch, lease or start floor.
func (h *harness) deliverDelayedStarts() {
	delayed := h.delayed
	h.delayed = nil
	for _, d := range delayed {
		f := h.workers[d.command.Worker]
		switch {
		case h.now.Before(d.expiresAt) && f.dropsRequests:
			h.delayed = append(h.delayed, d)
		case f.dropsRequests || f.epoch != d.command.Start.Epoch || h.now.After(f.leaseUntil) || f.startFloorSetAt.After(d.sent):
		default:
			if _, found := f.running[d.command.Start.Task]; !found {
				h.run(f, d.command.Start)
			}
		}
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

// restart restarts the worker, which loses its running tasks.
func (f *fakeWorker) restart() {
	clear(f.running)
	f.epoch = cyclamendyke.Epoch{}
	f.restarts++
}

// setFault gives the worker the named fault only; any other name, such as healthy, clears all faults.
func (f *fakeWorker) setFault(fault string) {
	f.dropsRequests = fault == "drop-requests"
	f.dropsAnswers = fault == "drop-answers"
	f.dropsStartAnswers = fault == "drop-start-answers"
	f.dropsStarts = fault == "drop-starts"
	f.refusesStarts = fault == "refuse-starts"
	f.failsTasks = fault == "fail-tasks"
}
