package scheduler

import (
	"time"

	"cyclamendyke"
)

type taskState int

const (
	taskHeld     taskState = iota // Room is reserved, no start was sent.
	taskStarting                  // A start was sent and not yet answered.
	taskDoubtful                  // The answer to the start was lost.
	taskRunning
)

// task is one task that has a place.
type task struct {
	id        cyclamendyke.TaskID
	job       *job
	worker    *worker
	reserved  cyclamendyke.Resources
	state     taskState
	sentTo    uint64 // The worker's incarnation that was known when the start was sent.
	stopping  bool
	throttled bool
	sent      time.Time // When the latest start was sent.
	confirmed time.Time // When its start was known to have taken effect.
	doubted   time.Time // When the answer to its start was found to be lost.
	since     time.Time // When it was placed or adopted.
	evicted   *eviction
}

// eviction is a set of tasks that are stopped to make room for one urgent task.
type eviction struct {
	job  *job
	left int
}

// preemptible reports whether urgent work may stop the task.
func (t *task) preemptible(restartable bool) bool {
	return restartable && t.state == taskRunning && !t.stopping && !t.job.spec.Urgent && !t.job.spec.NotRepeatable
}
