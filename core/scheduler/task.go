package scheduler

import (
	"time"

	"cyclamendyke"
)

type taskState int

const (
	taskReserved     taskState = iota // Resources are reserved, but no start was sent.
	taskStarting                      // A start was sent and is not yet answered.
	taskStartUnknown                  // The answer to the start was lost.
	taskRunning
)

// task is a task that is placed on a worker; a waiting task is only an index in its job.
type task struct {
	id                cyclamendyke.TaskID
	job               *job
	worker            *worker
	reserved          cyclamendyke.Resources
	state             taskState
	sentIncarnation   uint64 // The worker's known incarnation when the start was sent.
	stopping          bool
	throttled         bool
	startSentAt       time.Time // When the start was sent, or the task was adopted.
	startConfirmedAt  time.Time // When the start was known to have taken effect.
	startUnknownSince time.Time // When the answer to the start was found to be lost.
	placedAt          time.Time // When the task was placed or adopted.
	eviction          *eviction
}

// eviction is a set of tasks that are stopped to free capacity for one urgent task.
type eviction struct {
	job       *job
	remaining int // Tasks that have not ended yet.
}

// preemptible reports whether the task may be stopped for urgent work; jobAllows says whether
// its job's policy permits that.
func (t *task) preemptible(jobAllows bool) bool {
	return jobAllows && t.state == taskRunning && !t.stopping && !t.job.spec.Urgent && !t.job.spec.NotRepeatable
}
