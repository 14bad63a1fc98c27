package worker

import (
	"slices"
	"time"

	"cyclamendyke"
)

// exitStopped is the exit code of a task that was stopped.
const exitStopped = -1

// machine is one simulated worker; the fleet's mutex guards its fields.
type machine struct {
	fleet          *Fleet
	vm             cyclamendyke.VM
	faults         Faults
	fence          cyclamendyke.Epoch // Highest epoch that has claimed the session; lower ones are refused.
	session        session
	tasks          map[cyclamendyke.TaskID]*task
	taskLeaseTimer *time.Timer   // Stops all tasks when it fires; all task leases expire together.
	changed        chan struct{} // Closed and replaced to wake waiting renewals.
	closed         bool

	incarnation      uint64
	sequence         uint64   // Sequence of the last result.
	reportedSequence uint64   // Highest sequence included in a response.
	results          []result // Results that are not acknowledged, by ascending sequence.
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

// newIncarnation returns a number that no earlier worker process has used.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixNano())
}

func (m *machine) wakeWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// resetTaskLeaseTimer makes all task leases expire after ttl.
func (m *machine) resetTaskLeaseTimer(ttl time.Duration) {
	if m.taskLeaseTimer != nil {
		m.taskLeaseTimer.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(ttl, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		if m.taskLeaseTimer == timer {
			m.stopAll()
		}
	})
	m.taskLeaseTimer = timer
}

func (m *machine) stopAll() {
	for _, running := range m.runningTasks() {
		m.finish(running.Task, exitStopped, "", true)
	}
}

// crash ends all tasks without storing results and changes the incarnation, as when the VM stops.
func (m *machine) crash() {
	m.incarnation = max(m.incarnation+1, newIncarnation())
	for id, running := range m.tasks {
		running.timer.Stop()
		delete(m.tasks, id)
		m.fleet.recordEnd(m.vm.Name, id)
	}
}

func (m *machine) close() {
	m.crash()
	m.closed = true
	if m.taskLeaseTimer != nil {
		m.taskLeaseTimer.Stop()
	}
	m.wakeWaiters()
}

// start runs a task, unless the task is already running or has a result that the caller has not
// acknowledged.
func (m *machine) start(now time.Time, start cyclamendyke.TaskStart) cyclamendyke.Kind {
	if kind := m.checkSession(now, start.Epoch); kind != "" {
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
	m.fleet.recordStart(m.vm.Name, start)
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

// finish ends a task and stores its result until it is acknowledged.
func (m *machine) finish(id cyclamendyke.TaskID, exit int, output string, stopped bool) {
	running := m.tasks[id]
	if running.timer != nil {
		running.timer.Stop()
	}
	delete(m.tasks, id)
	m.fleet.recordEnd(m.vm.Name, id)
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
	m.wakeWaiters()
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

func (m *machine) reserved() cyclamendyke.Resources {
	sum := cyclamendyke.Resources{}
	for _, running := range m.tasks {
		sum = sum.Add(running.Reserved)
	}
	return sum
}

// runningTasks returns the running tasks, sorted.
func (m *machine) runningTasks() []cyclamendyke.RunningTask {
	tasks := make([]cyclamendyke.RunningTask, 0, len(m.tasks))
	for _, running := range m.tasks {
		tasks = append(tasks, running.RunningTask)
	}
	slices.SortFunc(tasks, func(a, b cyclamendyke.RunningTask) int { return compareTasks(a.Task, b.Task) })
	return tasks
}

// report returns the results after sequence ack and the changes of usage since the last report.
func (m *machine) report(now time.Time, ack uint64) cyclamendyke.WorkerReport {
	report := cyclamendyke.WorkerReport{
		Worker:      m.vm.Name,
		Incarnation: m.incarnation,
		Capacity:    m.vm.Capacity,
		Sequence:    max(ack, m.reportedSequence),
		Usage:       m.usageChanges(now),
	}
	for _, r := range m.results {
		if r.sequence > ack {
			report.Finished = append(report.Finished, r.TaskResult)
			report.Sequence = r.sequence
			m.reportedSequence = max(m.reportedSequence, r.sequence)
		}
	}
	return report
}

// usageChanges returns the usage of each task that differs from its last reported usage, once the
// task has run for the fleet's usage lag.
func (m *machine) usageChanges(now time.Time) []cyclamendyke.TaskUsage {
	var changes []cyclamendyke.TaskUsage
	for id, running := range m.tasks {
		used := running.usage()
		if now.Sub(running.Started) < m.fleet.usageLag || used == running.reportedUsage {
			continue
		}
		running.reportedUsage = used
		changes = append(changes, cyclamendyke.TaskUsage{Task: id, Used: used})
	}
	slices.SortFunc(changes, func(a, b cyclamendyke.TaskUsage) int { return compareTasks(a.Task, b.Task) })
	return changes
}
