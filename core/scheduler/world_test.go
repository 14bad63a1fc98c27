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

// world drives one scheduler after another over fake workers and checks what really runs.
type world struct {
	s          *Scheduler
	cfg        Config
	now        time.Time
	until      time.Time
	term       uint64
	vms        []cyclamendyke.VM
	workers    map[cyclamendyke.WorkerName]*fakeWorker
	tables     *cyclamendyke.Tables
	held       map[cyclamendyke.TeamName]cyclamendyke.Resources
	jobs       map[cyclamendyke.RequestID]cyclamendyke.Job
	journal    map[cyclamendyke.RequestID]cyclamendyke.JournalRecord
	answers    map[cyclamendyke.RequestID]cyclamendyke.Outcome
	everRan    map[cyclamendyke.TaskID]int
	storeMode  cyclamendyke.PersistResult // Empty while the test answers by hand.
	log        []string
	accounted  map[cyclamendyke.Verdict]int
	accepted   int
	violations []string
	delayed    []delayedStart
	previous   *Scheduler // Of the term before, which may thaw at any time.
}

// delayedStart is a start that the network holds up.
type delayedStart struct {
	command cyclamendyke.StartCommand
	sent    time.Time
	until   time.Time
}

const testStartDelay = 20 * time.Second

// fakeWorker keeps leases as the platform's workers do.
type fakeWorker struct {
	vm         cyclamendyke.VM
	epoch      cyclamendyke.Epoch
	leaseUntil time.Time
	floorSet   time.Time // Starts sent earlier are refused from now on.
	renewing   bool
	running    map[cyclamendyke.TaskID]cyclamendyke.RunningTask
	finished   []cyclamendyke.TaskResult
	sequence   uint64
	restarts   uint64
	deaf       bool // Nothing reaches it.
	mute       bool // Nothing comes back.
	loseStarts bool // Start answers are lost.
	dropStarts bool // Starts are lost on their way.
	refuses    bool // Starts are refused for want of room.
	fails      bool // Every task ends at once with an error.
	removed    bool // The platform no longer lists it, and it is off.
}

func newWorld(cfg Config) *world {
	w := &world{
		cfg:       cfg,
		now:       testStart,
		workers:   make(map[cyclamendyke.WorkerName]*fakeWorker),
		jobs:      make(map[cyclamendyke.RequestID]cyclamendyke.Job),
		journal:   make(map[cyclamendyke.RequestID]cyclamendyke.JournalRecord),
		answers:   make(map[cyclamendyke.RequestID]cyclamendyke.Outcome),
		everRan:   make(map[cyclamendyke.TaskID]int),
		accounted: make(map[cyclamendyke.Verdict]int),
		storeMode: cyclamendyke.PersistKept,
		tables:    testTables(),
		held:      map[cyclamendyke.TeamName]cyclamendyke.Resources{"a": {Cores: 1 << 40}, "b": {Cores: 1 << 40}, "c": {Cores: 8000}},
	}
	w.cfg.Zone, w.cfg.TaskTTL, w.cfg.ClockMargin = testZone, testTaskTTL, testMargin
	w.cfg.Violated = func(name, detail string) { w.violations = append(w.violations, name+": "+detail) }
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

// takeOver starts a scheduler with a new term, as after the death of the one before.
func (w *world) takeOver() {
	w.term++
	w.previous = w.s
	w.s = New(w.cfg)
	for _, f := range w.workers {
		f.renewing = false
	}
	w.until = w.now.Add(time.Hour)
	w.do(w.s.SetTables(w.now, w.tables))
	w.do(w.s.SetAllotments(w.now, w.held))
	w.do(w.s.SetAuthority(w.now, cyclamendyke.Authority{Epoch: w.epoch(), Until: w.until}))
	w.do(w.s.SetVMs(w.now, w.vms))
	kept := make([]cyclamendyke.JournalRecord, 0, len(w.journal))
	for _, id := range sortedKeys(w.journal) {
		kept = append(kept, w.journal[id])
	}
	w.do(w.s.Recover(w.now, kept))
}

func (w *world) epoch() cyclamendyke.Epoch {
	return cyclamendyke.Epoch{Term: w.term, Owner: "m"}
}

func (w *world) addVM(name cyclamendyke.WorkerName, rack string) {
	vm := cyclamendyke.VM{Name: name, Zone: testZone, Pool: "p", Rack: rack, Capacity: testShape, State: cyclamendyke.VMLive}
	w.vms = append(w.vms, vm)
	w.workers[name] = &fakeWorker{vm: vm, running: make(map[cyclamendyke.TaskID]cyclamendyke.RunningTask)}
}

// do carries out commands as the daemon does.
func (w *world) do(commands []cyclamendyke.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case cyclamendyke.ClaimCommand:
			w.note("claim %s", c.VM.Name)
			w.workers[c.VM.Name].renewing = true
			w.claim(c.VM.Name)
		case cyclamendyke.ForgetCommand:
			w.note("forget %s", c.Worker)
			w.workers[c.Worker].renewing = false
		case cyclamendyke.StartCommand:
			w.note("start %s %s", c.Start.Task, c.Worker)
			w.start(c)
		case cyclamendyke.StopCommand:
			w.note("stop %s %s %s", c.Task, c.Worker, c.Mode)
			w.stop(c)
		case cyclamendyke.AnswerCommand:
			w.answer(c.Outcome)
		case cyclamendyke.PersistCommand:
			w.note("persist %s", c.Record.Job.Request)
			w.persist(c)
		case cyclamendyke.AccountCommand:
			w.accounted[c.Record.Verdict] += c.Record.Count
		case cyclamendyke.EventCommand:
			if c.Event.Kind == cyclamendyke.EventBackOff || c.Event.Kind == cyclamendyke.EventAdopted {
				w.note("event %s %s%s", c.Event.Kind, c.Event.Worker, c.Event.Request)
			}
		}
	}
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, "seen: "+fmt.Sprintf(format, args...))
}

func (w *world) claim(name cyclamendyke.WorkerName) {
	f := w.workers[name]
	if f.deaf {
		w.do(w.s.Unreachable(w.now, name))
		return
	}
	f.extend(w.now, w.epoch())
	if f.mute {
		w.do(w.s.Unreachable(w.now, name))
		return
	}
	report := f.report()
	for _, id := range sortedTasks(f.running) {
		report.Running = append(report.Running, f.running[id])
	}
	w.do(w.s.Claimed(w.now, report, w.now.Add(-time.Millisecond)))
}

func (w *world) renew(name cyclamendyke.WorkerName) {
	f := w.workers[name]
	switch {
	case !f.renewing:
	case f.deaf:
		w.do(w.s.Unreachable(w.now, name))
	case f.epoch != w.epoch():
		w.claim(name)
	case f.mute:
		f.extend(w.now, w.epoch())
		w.do(w.s.Unreachable(w.now, name))
	default:
		f.extend(w.now, w.epoch())
		w.do(w.s.Renewed(w.now, f.report(), w.now.Add(-time.Millisecond)))
	}
}

func (f *fakeWorker) extend(now time.Time, epoch cyclamendyke.Epoch) {
	f.epoch = epoch
	f.floorSet = now
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

func (w *world) start(c cyclamendyke.StartCommand) {
	f := w.workers[c.Worker]
	task := c.Start.Task
	if f.deaf {
		w.delayed = append(w.delayed, delayedStart{c, w.now, w.now.Add(testStartDelay)})
	}
	if f.deaf || f.dropStarts || f.epoch != c.Start.Epoch || w.now.After(f.leaseUntil) {
		w.do(w.s.StartAnswered(w.now, c.Worker, task, cyclamendyke.KindUnknown))
		return
	}
	if f.refuses {
		w.do(w.s.StartAnswered(w.now, c.Worker, task, &cyclamendyke.Error{Op: "worker.start", Kind: cyclamendyke.KindNoRoom}))
		return
	}
	if _, found := f.running[task]; !found {
		w.run(f, c.Start)
	}
	if f.fails {
		f.end(w.now, task, cyclamendyke.TaskResult{ExitCode: 1})
	}
	var err error
	if f.mute || f.loseStarts {
		err = cyclamendyke.KindUnknown
	}
	w.do(w.s.StartAnswered(w.now, c.Worker, task, err))
}

// run checks against the truth of all workers that the task may run here.
func (w *world) run(f *fakeWorker, start cyclamendyke.TaskStart) {
	for _, other := range w.workers {
		if _, found := other.running[start.Task]; found {
			w.violate("%s runs on %s and %s", start.Task, other.vm.Name, f.vm.Name)
		}
	}
	if w.everRan[start.Task]++; w.everRan[start.Task] > 1 && start.Job.NotRepeatable {
		w.violate("%s ran twice", start.Task)
	}
	if answer := w.answers[start.Task.Request]; answer.Verdict == cyclamendyke.VerdictNotRun {
		w.violate("%s runs after not-run", start.Task)
	}
	f.running[start.Task] = cyclamendyke.RunningTask{Task: start.Task, Job: start.Job, Reserved: start.Reserved, Started: w.now}
	var sum cyclamendyke.Resources
	for _, r := range f.running {
		sum = sum.Add(r.Reserved)
	}
	if !sum.FitsIn(f.vm.Capacity) {
		w.violate("%s holds %+v", f.vm.Name, sum)
	}
}

func (w *world) stop(c cyclamendyke.StopCommand) {
	f := w.workers[c.Worker]
	if f.deaf || f.epoch != c.Epoch || c.Mode == cyclamendyke.StopThrottle {
		return
	}
	f.end(w.now, c.Task, cyclamendyke.TaskResult{ExitCode: 137, Stopped: true})
	w.do(w.s.StopAnswered(w.now, c.Worker, c.Task, c.Mode, nil))
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

func (w *world) answer(outcome cyclamendyke.Outcome) {
	w.note("answer %s %s %s", outcome.Request, outcome.Verdict, outcome.Reason)
	if outcome.Verdict.IsFinal() {
		if outcome.Verdict == cyclamendyke.VerdictNotRun {
			w.checkNotRun(outcome.Request)
		}
		w.answers[outcome.Request] = outcome
	}
}

func (w *world) checkNotRun(request cyclamendyke.RequestID) {
	for task := range w.everRan {
		if task.Request == request {
			w.violate("%s ran and is called not-run", task)
		}
	}
}

func (w *world) persist(c cyclamendyke.PersistCommand) {
	id := c.Record.Job.Request
	if w.storeMode == cyclamendyke.PersistKept || w.storeMode == cyclamendyke.PersistUnknown {
		w.journal[id] = c.Record
	}
	if c.AwaitResult && w.storeMode != "" {
		w.do(w.s.Persisted(w.now, id, w.storeMode))
	}
}

func (w *world) submit(job cyclamendyke.Job) {
	job.Accepted = w.now
	if _, known := w.jobs[job.Request]; !known {
		w.accepted++
	}
	w.jobs[job.Request] = job
	w.do(w.s.Submit(w.now, job))
}

// finish ends a running task by itself wherever it runs.
func (w *world) finish(task cyclamendyke.TaskID, exitCode int) bool {
	for _, name := range sortedKeys(w.workers) {
		if w.workers[name].end(w.now, task, cyclamendyke.TaskResult{ExitCode: exitCode}) {
			w.renew(name)
			return true
		}
	}
	return false
}

// advance lets time pass second by second: leases lapse, renewals go out, the scheduler ticks.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(min(time.Second, end.Sub(w.now)))
		w.deliver()
		for _, name := range sortedKeys(w.workers) {
			w.lapse(w.workers[name])
			w.renew(name)
		}
		w.do(w.s.Tick(w.now))
	}
}

// deliver brings delayed starts to workers that can be reached again.
func (w *world) deliver() {
	held := w.delayed
	w.delayed = nil
	for _, d := range held {
		f := w.workers[d.command.Worker]
		switch {
		case w.now.Before(d.until) && f.deaf:
			w.delayed = append(w.delayed, d)
		case f.deaf || f.epoch != d.command.Start.Epoch || w.now.After(f.leaseUntil) || f.floorSet.After(d.sent):
		default:
			if _, found := f.running[d.command.Start.Task]; !found {
				w.run(f, d.command.Start)
			}
		}
	}
}

func (w *world) lapse(f *fakeWorker) {
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
	slices.SortFunc(ids, compareTasks)
	return ids
}

func (w *world) violationText() string {
	return strings.Join(w.violations, "\n")
}

// set gives the worker one fault, or none if it is called well.
// restart loses what runs.
func (f *fakeWorker) restart() {
	clear(f.running)
	f.epoch = cyclamendyke.Epoch{}
	f.restarts++
}

func (f *fakeWorker) set(fault string) {
	f.deaf = fault == "deaf"
	f.mute = fault == "mute"
	f.loseStarts = fault == "lose-starts"
	f.dropStarts = fault == "drop-starts"
	f.refuses = fault == "refuses"
	f.fails = fault == "fails"
}
