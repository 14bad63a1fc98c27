package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cyclamendyke"
)

const (
	testTaskTTL = 60 * time.Second
	testMargin  = 2 * time.Second
	testZone    = cyclamendyke.ZoneName("z")
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness runs a scheduler and its successors against fake workers and checks which tasks really run.
type harness struct {
	s             *Scheduler
	cfg           Config
	now           time.Time
	until         time.Time
	term          uint64
	vms           []cyclamendyke.VM
	workers       map[cyclamendyke.WorkerName]*fakeWorker
	tables        *cyclamendyke.Tables
	allotments    map[cyclamendyke.TeamName]cyclamendyke.Resources
	jobs          map[cyclamendyke.RequestID]cyclamendyke.Job
	journal       map[cyclamendyke.RequestID]cyclamendyke.JournalRecord
	answers       map[cyclamendyke.RequestID]cyclamendyke.Outcome
	runCounts     map[cyclamendyke.TaskID]int // How often each task was started on a worker.
	persistResult cyclamendyke.PersistResult  // The result of each write to the journal; empty if the test answers itself.
	log           []string                    // The commands and events that scripts match.
	accounted     map[cyclamendyke.Verdict]int
	submittedJobs int
	violations    []string
	delayed       []delayedStart
	previous      *Scheduler // The scheduler of the previous term, which may still act.
}

// delayedStart is a start command delayed by the network.
type delayedStart struct {
	command cyclamendyke.StartCommand
	sent    time.Time
	until   time.Time
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
	w := &harness{
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
	w.cfg.Zone, w.cfg.TaskTTL, w.cfg.ClockMargin = testZone, testTaskTTL, testMargin
	w.cfg.OnInvariantViolation = func(name, detail string) { w.violations = append(w.violations, name+": "+detail) }
	return w
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
func (w *harness) takeOver() {
	w.term++
	w.previous = w.s
	w.s = New(w.cfg)
	for _, f := range w.workers {
		f.renewing = false
	}
	w.until = w.now.Add(time.Hour)
	w.execute(w.s.SetTables(w.now, w.tables))
	w.execute(w.s.SetAllotments(w.now, w.allotments))
	w.execute(w.s.SetAuthority(w.now, cyclamendyke.Authority{Epoch: w.epoch(), Until: w.until}))
	w.execute(w.s.SetVMs(w.now, w.vms))
	kept := make([]cyclamendyke.JournalRecord, 0, len(w.journal))
	for _, id := range sortedKeys(w.journal) {
		kept = append(kept, w.journal[id])
	}
	w.execute(w.s.Recover(w.now, kept))
}

func (w *harness) epoch() cyclamendyke.Epoch {
	return cyclamendyke.Epoch{Term: w.term, Owner: "m"}
}

func (w *harness) addVM(name cyclamendyke.WorkerName, rack string) {
	vm := cyclamendyke.VM{Name: name, Zone: testZone, Pool: "p", Rack: rack, Capacity: testShape, State: cyclamendyke.VMLive}
	w.vms = append(w.vms, vm)
	w.workers[name] = &fakeWorker{vm: vm, running: make(map[cyclamendyke.TaskID]cyclamendyke.RunningTask)}
}

// execute executes commands as the daemon does.
func (w *harness) execute(commands []cyclamendyke.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case cyclamendyke.ClaimCommand:
			w.logf("claim %s", c.VM.Name)
			w.workers[c.VM.Name].renewing = true
			w.claim(c.VM.Name)
		case cyclamendyke.EndRenewalsCommand:
			w.logf("forget %s", c.Worker)
			w.workers[c.Worker].renewing = false
		case cyclamendyke.StartCommand:
			w.logf("start %s %s", c.Start.Task, c.Worker)
			w.start(c)
		case cyclamendyke.StopCommand:
			w.logf("stop %s %s %s", c.Task, c.Worker, c.Mode)
			w.stop(c)
		case cyclamendyke.AnswerCommand:
			w.answer(c.Outcome)
		case cyclamendyke.PersistCommand:
			w.logf("persist %s", c.Record.Job.Request)
			w.persist(c)
		case cyclamendyke.AccountCommand:
			w.accounted[c.Record.Verdict] += c.Record.Count
		case cyclamendyke.EventCommand:
			if c.Event.Kind == cyclamendyke.EventBackOff || c.Event.Kind == cyclamendyke.EventAdopted {
				w.logf("event %s %s%s", c.Event.Kind, c.Event.Worker, c.Event.Request)
			}
		}
	}
}

func (w *harness) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

func (w *harness) addViolation(format string, args ...any) {
	w.violations = append(w.violations, "observed: "+fmt.Sprintf(format, args...))
}

func (w *harness) claim(name cyclamendyke.WorkerName) {
	f := w.workers[name]
	if f.dropsRequests {
		w.execute(w.s.Unreachable(w.now, name))
		return
	}
	f.extendLeases(w.now, w.epoch())
	if f.dropsAnswers {
		w.execute(w.s.Unreachable(w.now, name))
		return
	}
	report := f.report()
	for _, id := range sortedTasks(f.running) {
		report.Running = append(report.Running, f.running[id])
	}
	w.execute(w.s.Claimed(w.now, report, w.now.Add(-time.Millisecond)))
}

func (w *harness) renew(name cyclamendyke.WorkerName) {
	f := w.workers[name]
	switch {
	case !f.renewing:
	case f.dropsRequests:
		w.execute(w.s.Unreachable(w.now, name))
	case f.epoch != w.epoch():
		w.claim(name)
	case f.dropsAnswers:
		f.extendLeases(w.now, w.epoch())
		w.execute(w.s.Unreachable(w.now, name))
	default:
		f.extendLeases(w.now, w.epoch())
		w.execute(w.s.Renewed(w.now, f.report(), w.now.Add(-time.Millisecond)))
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

func (w *harness) start(c cyclamendyke.StartCommand) {
	f := w.workers[c.Worker]
	task := c.Start.Task
	if f.dropsRequests {
		w.delayed = append(w.delayed, delayedStart{c, w.now, w.now.Add(testStartDelay)})
	}
	if f.dropsRequests || f.dropsStarts || f.epoch != c.Start.Epoch || w.now.After(f.leaseUntil) {
		w.execute(w.s.StartAnswered(w.now, c.Worker, task, cyclamendyke.KindUnknown))
		return
	}
	if f.refusesStarts {
		w.execute(w.s.StartAnswered(w.now, c.Worker, task, &cyclamendyke.Error{Op: "worker.start", Kind: cyclamendyke.KindNoRoom}))
		return
	}
	if _, found := f.running[task]; !found {
		w.run(f, c.Start)
	}
	if f.failsTasks {
		f.end(w.now, task, cyclamendyke.TaskResult{ExitCode: 1})
	}
	var err error
	if f.dropsAnswers || f.dropsStartAnswers {
		err = cyclamendyke.KindUnknown
	}
	w.execute(w.s.StartAnswered(w.now, c.Worker, task, err))
}

// run starts a task and reports a violation if it already runs, must not run, or doesn't fit.
func (w *harness) run(f *fakeWorker, start cyclamendyke.TaskStart) {
	for _, other := range w.workers {
		if _, found := other.running[start.Task]; found {
			w.addViolation("%s runs on %s and %s", start.Task, other.vm.Name, f.vm.Name)
		}
	}
	if w.runCounts[start.Task]++; w.runCounts[start.Task] > 1 && start.Job.NotRepeatable {
		w.addViolation("%s is not repeatable but ran twice", start.Task)
	}
	if answer := w.answers[start.Task.Request]; answer.Verdict == cyclamendyke.VerdictNotRun {
		w.addViolation("%s started after its request was answered not-run", start.Task)
	}
	f.running[start.Task] = cyclamendyke.RunningTask{Task: start.Task, Job: start.Job, Reserved: start.Reserved, Started: w.now}
	var sum cyclamendyke.Resources
	for _, r := range f.running {
		sum = sum.Add(r.Reserved)
	}
	if !sum.FitsIn(f.vm.Capacity) {
		w.addViolation("%s runs tasks with reservations of %+v, which exceed its capacity", f.vm.Name, sum)
	}
}

func (w *harness) stop(c cyclamendyke.StopCommand) {
	f := w.workers[c.Worker]
	if f.dropsRequests || f.epoch != c.Epoch || c.Mode == cyclamendyke.StopThrottle {
		return
	}
	f.end(w.now, c.Task, cyclamendyke.TaskResult{ExitCode: 137, Stopped: true})
	w.execute(w.s.StopAnswered(w.now, c.Worker, c.Task, c.Mode, nil))
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

func (w *harness) answer(outcome cyclamendyke.Outcome) {
	w.logf("answer %s %s %s", outcome.Request, outcome.Verdict, outcome.Reason)
	if outcome.Verdict.IsFinal() {
		if outcome.Verdict == cyclamendyke.VerdictNotRun {
			w.checkNotRun(outcome.Request)
		}
		w.answers[outcome.Request] = outcome
	}
}

func (w *harness) checkNotRun(request cyclamendyke.RequestID) {
	for task := range w.runCounts {
		if task.Request == request {
			w.addViolation("%s ran, but its request was answered not-run", task)
		}
	}
}

func (w *harness) persist(c cyclamendyke.PersistCommand) {
	id := c.Record.Job.Request
	if w.persistResult == cyclamendyke.PersistKept || w.persistResult == cyclamendyke.PersistUnknown {
		w.journal[id] = c.Record
	}
	if c.AwaitResult && w.persistResult != "" {
		w.execute(w.s.Persisted(w.now, id, w.persistResult))
	}
}

func (w *harness) submit(job cyclamendyke.Job) {
	job.Accepted = w.now
	if _, known := w.jobs[job.Request]; !known {
		w.submittedJobs++
	}
	w.jobs[job.Request] = job
	w.execute(w.s.Submit(w.now, job))
}

// finish ends a running task with an exit code, on whichever worker it runs.
func (w *harness) finish(task cyclamendyke.TaskID, exitCode int) bool {
	for _, name := range sortedKeys(w.workers) {
		if w.workers[name].end(w.now, task, cyclamendyke.TaskResult{ExitCode: exitCode}) {
			w.renew(name)
			return true
		}
	}
	return false
}

// advance moves time on in steps of at most a second; in each, leases lapse, workers are
// renewed and the scheduler ticks.
func (w *harness) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(min(time.Second, end.Sub(w.now)))
		w.deliverDelayedStarts()
		for _, name := range sortedKeys(w.workers) {
			w.expireLeases(w.workers[name])
			w.renew(name)
		}
		w.execute(w.s.Tick(w.now))
	}
}

// deliverDelayedStarts delivers delayed starts to workers that are reachable again or whose delay has ended.
func (w *harness) deliverDelayedStarts() {
	delayed := w.delayed
	w.delayed = nil
	for _, d := range delayed {
		f := w.workers[d.command.Worker]
		switch {
		case w.now.Before(d.until) && f.dropsRequests:
			w.delayed = append(w.delayed, d)
		case f.dropsRequests || f.epoch != d.command.Start.Epoch || w.now.After(f.leaseUntil) || f.startFloorSetAt.After(d.sent):
		default:
			if _, found := f.running[d.command.Start.Task]; !found {
				w.run(f, d.command.Start)
			}
		}
	}
}

func (w *harness) expireLeases(f *fakeWorker) {
	if !f.leaseUntil.Before(w.now) {
		return
	}
	for _, task := range sortedTasks(f.running) {
		f.end(w.now, task, cyclamendyke.TaskResult{ExitCode: 137, Stopped: true})
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

func (w *harness) violationText() string {
	return strings.Join(w.violations, "\n")
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
