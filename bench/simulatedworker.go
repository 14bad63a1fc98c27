package bench

import (
	"time"

	"cyclamendyke"
)

// failingTaskRunTime is the run time of a task on a worker that fails every task.
const failingTaskRunTime = 200 * time.Millisecond

// simulatedWorker is a worker whose tasks end at times given by the simulation.
type simulatedWorker struct {
	vm                cyclamendyke.VM
	running           map[cyclamendyke.TaskID]cyclamendyke.RunningTask
	unreportedResults []cyclamendyke.TaskResult
	sequence          uint64
	crashed           bool // It is unreachable and runs no tasks.
	failsEveryTask    bool // Tasks that start fail after failingTaskRunTime.
}

// exitCode returns the exit code of a task that ends now.
func (w *simulatedWorker) exitCode() int {
	if w.failsEveryTask {
		return 1
	}
	return 0
}
