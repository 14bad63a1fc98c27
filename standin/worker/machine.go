package worker

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// exitStopped is the exit code of a task that was stopped.
const exitStopped = -1

// machine is one worker; the fleet's mutex guards it.
type machine struct {
	fleet   *Fleet
	vm      cyclamendyke.VM
	faults  Faults
	fence   cyclamendyke.Epoch
	session session
	tasks   map[cyclamendyke.TaskID]*task
	lapse   *time.Timer // Stops all tasks when their leases lapse.
	changed chan struct{}
	closed  bool

	incarnation uint64
	sequence    uint64
	reported    uint64 // Highest sequence that was put into an answer.
	results     []result
}

type session struct {
	epoch       cyclamendyke.Epoch
	mode        cyclamendyke.SessionMode
	modeVersion uint64
	startFloor  uint64
	expires     time.Time
}

type task struct {
	cyclamendyke.RunningTask
	program  program
	timer    *time.Timer
	reported cyclamendyke.Resources // Use, as last reported.
}

type result struct {
	sequence uint64
	cyclamendyke.TaskResult
}

func newMachine(fleet *Fleet, vm cyclamendyke.VM) *machine {
	return &machine{
		fleet:       fleet,
		vm:          vm,
		tasks:       map[cyclamendyke.TaskID]*task{},
		changed:     make(chan struct{}),
		incarnation: newIncarnation(),
	}
}

// newIncarnation returns a number that no earlier process of a worker has had.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixNano())
}

func (m *machine) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *machine) live(now time.Time) bool {
	return now.Before(m.session.expires)
}

// claim takes the session for the epoch, or says why not.
func (m *machine) claim(now time.Time, claim cyclamendyke.Claim) cyclamendyke.Kind {
	if claim.Epoch.Compare(m.fence) < 0 {
		return cyclamendyke.KindFenced
	}
	if m.live(now) && m.session.epoch != claim.Epoch && !m.yields(claim) {
		return cyclamendyke.KindSessionHeld
	}
	if m.fence != claim.Epoch {
		m.fence = claim.Epoch
		m.wake()
	}
	m.extend(now, claim)
	if len(m.tasks) == 0 {
		m.setTaskLapse(claim.TaskTTL)
	}
	return ""
}

// yields reports whether the live session gives way to the claim of another epoch.
func (m *machine) yields(claim cyclamendyke.Claim) bool {
	return m.session.mode == cyclamendyke.SessionPreemptible &&
		claim.StoreLease &&
		claim.Epoch.Compare(m.session.epoch) > 0
}

func (m *machine) renew(now time.Time, claim cyclamendyke.Claim) cyclamendyke.Kind {
	if kind := m.check(now, claim.Epoch); kind != "" {
		return kind
	}
	m.extend(now, claim)
	m.setTaskLapse(claim.TaskTTL)
	return ""
}

// check reports why a holder of the epoch may not act here, if it may not.
func (m *machine) check(now time.Time, epoch cyclamendyke.Epoch) cyclamendyke.Kind {
	if epoch.Compare(m.fence) < 0 {
		return cyclamendyke.KindFenced
	}
	if !m.live(now) || m.session.epoch != epoch {
		return cyclamendyke.KindNoSession
	}
	return ""
}

// extend renews the session and forgets acknowledged results; the mode of an older version is ignored.
func (m *machine) extend(now time.Time, claim cyclamendyke.Claim) {
	if m.session.epoch != claim.Epoch || claim.ModeVersion >= m.session.modeVersion {
		m.session.mode = claim.Mode
		m.session.modeVersion = claim.ModeVersion
	}
	if m.session.epoch != claim.Epoch {
		m.session.startFloor = 0
	}
	m.session.startFloor = max(m.session.startFloor, claim.StartFloor)
	m.session.epoch = claim.Epoch
	m.session.expires = now.Add(claim.SessionTTL)
	m.results = slices.DeleteFunc(m.results, func(r result) bool { return r.sequence <= claim.Ack })
}

func (m *machine) setTaskLapse(ttl time.Duration) {
	if m.lapse != nil {
		m.lapse.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(ttl, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		if m.lapse == timer {
			m.stopAll()
		}
	})
	m.lapse = timer
}

func (m *machine) stopAll() {
	for _, running := range m.list() {
		m.finish(running.Task, exitStopped, "", true)
	}
}

// lose drops every task without a result, as when the VM dies.
func (m *machine) lose() {
	m.incarnation = max(m.incarnation+1, newIncarnation())
	for id, running := range m.tasks {
		running.timer.Stop()
		delete(m.tasks, id)
		m.fleet.ended(m.vm.Name, id)
	}
}

func (m *machine) close() {
	m.lose()
	m.closed = true
	if m.lapse != nil {
		m.lapse.Stop()
	}
	m.wake()
}

// start runs a task; one that runs, or whose end the caller has not seen yet, is not started again.
func (m *machine) start(now time.Time, start cyclamendyke.TaskStart) cyclamendyke.Kind {
	if kind := m.check(now, start.Epoch); kind != "" {
		return kind
	}
	if start.Order < m.session.startFloor {
		return cyclamendyke.KindNoSession
	}
	if m.isRepeat(start) {
		return ""
	}
	if !m.reserved().Add(start.Reserved).FitsIn(m.vm.Capacity) {
		return cyclamendyke.KindNoRoom
	}
	m.run(now, start)
	return ""
}

func (m *machine) isRepeat(start cyclamendyke.TaskStart) bool {
	if _, ok := m.tasks[start.Task]; ok {
		return true
	}
	return slices.ContainsFunc(m.results, func(r result) bool {
		return r.Task == start.Task && r.sequence > start.Ack
	})
}

func (m *machine) run(now time.Time, start cyclamendyke.TaskStart) {
	m.fleet.began(m.vm.Name, start)
	program := parseProgram(start.Job.Payload)
	if m.faults.FailAll {
		program.sleep, program.exit, program.output = 0, 1, ""
	}
	running := &task{
		RunningTask: cyclamendyke.RunningTask{
			Task:     start.Task,
			Job:      start.Job,
			Reserved: start.Reserved,
			Started:  now,
		},
		program: program,
	}
	m.tasks[start.Task] = running
	if program.sleep <= 0 {
		m.finish(start.Task, program.exit, program.output, false)
		return
	}
	running.timer = time.AfterFunc(program.sleep, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		if m.tasks[start.Task] == running {
			m.finish(start.Task, program.exit, program.output, false)
		}
	})
}

// finish ends a task and keeps its result until it is acknowledged.
func (m *machine) finish(id cyclamendyke.TaskID, exit int, output string, stopped bool) {
	running := m.tasks[id]
	if running.timer != nil {
		running.timer.Stop()
	}
	delete(m.tasks, id)
	m.fleet.ended(m.vm.Name, id)
	m.sequence++
	m.results = append(m.results, result{
		sequence: m.sequence,
		TaskResult: cyclamendyke.TaskResult{
			Task:     id,
			Worker:   m.vm.Name,
			ExitCode: exit,
			Output:   output,
			Stopped:  stopped,
			Started:  running.Started,
			Finished: time.Now(),
		},
	})
	m.wake()
}

func (m *machine) stop(epoch cyclamendyke.Epoch, id cyclamendyke.TaskID, mode cyclamendyke.StopMode) cyclamendyke.Kind {
	if epoch.Compare(m.fence) < 0 {
		return cyclamendyke.KindFenced
	}
	running, ok := m.tasks[id]
	if !ok {
		return ""
	}
	if mode == cyclamendyke.StopThrottle {
		running.Throttled = true
		return ""
	}
	m.finish(id, exitStopped, "", true)
	return ""
}

func (m *machine) release(now time.Time, epoch cyclamendyke.Epoch) cyclamendyke.Kind {
	if epoch.Compare(m.fence) < 0 {
		return cyclamendyke.KindFenced
	}
	if m.session.epoch == epoch {
		m.session.expires = now
	}
	return ""
}

func (m *machine) reserved() cyclamendyke.Resources {
	sum := cyclamendyke.Resources{}
	for _, running := range m.tasks {
		sum = sum.Add(running.Reserved)
	}
	return sum
}

// list returns the running tasks in order.
func (m *machine) list() []cyclamendyke.RunningTask {
	listed := make([]cyclamendyke.RunningTask, 0, len(m.tasks))
	for _, running := range m.tasks {
		listed = append(listed, running.RunningTask)
	}
	slices.SortFunc(listed, func(a, b cyclamendyke.RunningTask) int { return compareTasks(a.Task, b.Task) })
	return listed
}

func compareTasks(a, b cyclamendyke.TaskID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Index, b.Index))
}

// report returns the results past ack and the changes of use.
func (m *machine) report(now time.Time, ack uint64) cyclamendyke.WorkerReport {
	report := cyclamendyke.WorkerReport{
		Worker:      m.vm.Name,
		Incarnation: m.incarnation,
		Capacity:    m.vm.Capacity,
		Sequence:    max(ack, m.reported),
		Usage:       m.usage(now),
	}
	for _, kept := range m.results {
		if kept.sequence > ack {
			report.Finished = append(report.Finished, kept.TaskResult)
			report.Sequence = kept.sequence
			m.reported = max(m.reported, kept.sequence)
		}
	}
	return report
}

func (m *machine) usage(now time.Time) []cyclamendyke.TaskUsage {
	var changes []cyclamendyke.TaskUsage
	for id, running := range m.tasks {
		used := running.use()
		if now.Sub(running.Started) < m.fleet.usageLag || used == running.reported {
			continue
		}
		running.reported = used
		changes = append(changes, cyclamendyke.TaskUsage{Task: id, Used: used})
	}
	slices.SortFunc(changes, func(a, b cyclamendyke.TaskUsage) int { return compareTasks(a.Task, b.Task) })
	return changes
}

// use is what the task uses, which a throttled one keeps within its reservation's cores.
func (t *task) use() cyclamendyke.Resources {
	used := t.program.used
	if t.Throttled {
		used.Cores = min(used.Cores, t.Reserved.Cores)
	}
	return used
}
