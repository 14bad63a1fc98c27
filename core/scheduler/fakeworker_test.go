package scheduler

import (
	"time"

	"cyclamendyke"
)

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
