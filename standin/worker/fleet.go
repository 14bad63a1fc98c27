package worker

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
)

// Config configures a fleet.
type Config struct {
	VMs      []cyclamendyke.VM
	UsageLag time.Duration // Delay before a task's usage is first reported.
}

// Fleet is a set of simulated workers; it is safe for concurrent use.
type Fleet struct {
	usageLag time.Duration

	mu          sync.Mutex
	machines    map[cyclamendyke.WorkerName]*machine
	startCounts map[string]int                                  // By payload.
	runningOn   map[cyclamendyke.TaskID]cyclamendyke.WorkerName // Worker that started each running task last.
	duplicates  []cyclamendyke.TaskID
	calls       uint64
}

// New returns a fleet of idle workers.
func New(config Config) *Fleet {
	fleet := &Fleet{
		usageLag:    config.UsageLag,
		machines:    map[cyclamendyke.WorkerName]*machine{},
		startCounts: map[string]int{},
		runningOn:   map[cyclamendyke.TaskID]cyclamendyke.WorkerName{},
	}
	for _, vm := range config.VMs {
		fleet.Add(vm)
	}
	return fleet
}

// As returns a client of the workers that makes its calls in the name of caller.
func (f *Fleet) As(caller string) *Workers {
	return &Workers{fleet: f, caller: caller}
}

// Add adds an idle worker.
func (f *Fleet) Add(vm cyclamendyke.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines[vm.Name] = newMachine(f, vm)
}

// Remove removes a worker; its running tasks end without results.
func (f *Fleet) Remove(worker cyclamendyke.WorkerName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.machines[worker]; ok {
		m.close()
		delete(f.machines, worker)
	}
}

// Faults returns one worker's current faults.
func (f *Fleet) Faults(worker cyclamendyke.WorkerName) Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.machines[worker]; ok {
		return m.faults
	}
	return Faults{}
}

// SetFaults replaces one worker's faults and reports whether there is such a worker.
func (f *Fleet) SetFaults(worker cyclamendyke.WorkerName, faults Faults) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.machines[worker]
	if !ok {
		return false
	}
	m.faults = faults
	if faults.Dead {
		m.crash()
	}
	m.wakeWaiters()
	return true
}

// Names returns the names of all workers, sorted.
func (f *Fleet) Names() []cyclamendyke.WorkerName {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.machines))
}

// StartCount returns the number of task starts with the given payload.
func (f *Fleet) StartCount(payload string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startCounts[payload]
}

// Running returns the tasks that a worker is running, sorted by task.
func (f *Fleet) Running(worker cyclamendyke.WorkerName) []cyclamendyke.RunningTask {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.machines[worker]; ok {
		return m.runningTasks()
	}
	return nil
}

// DuplicateTasks returns the tasks that were started on one worker while they were still running on another.
func (f *Fleet) DuplicateTasks() []cyclamendyke.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.duplicates)
}

// Calls returns the number of calls that have reached workers; a waiting renewal counts again each
// time it wakes up.
func (f *Fleet) Calls() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Close ends all tasks without storing results, stops all timers and makes later calls fail.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		m.close()
	}
}

// recordStart updates the data from which tests detect repeated and concurrent runs of a task.
func (f *Fleet) recordStart(worker cyclamendyke.WorkerName, start cyclamendyke.TaskStart) {
	f.startCounts[start.Job.Payload]++
	if _, ok := f.runningOn[start.Task]; ok {
		f.duplicates = append(f.duplicates, start.Task)
	}
	f.runningOn[start.Task] = worker
}

func (f *Fleet) recordEnd(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID) {
	if f.runningOn[task] == worker {
		delete(f.runningOn, task)
	}
}
