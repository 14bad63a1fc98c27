package bench

import (
	"time"

	"cyclamendyke"
)

// taskEnd is the scheduled end of a task.
type taskEnd struct {
	at      time.Time
	worker  cyclamendyke.WorkerName
	task    cyclamendyke.TaskID
	started time.Time // Distinguishes this run of the task from a later one.
}

// taskEndHeap is a heap of task ends, ordered by time.
type taskEndHeap []taskEnd

// Len returns the number of scheduled ends.
func (h taskEndHeap) Len() int { return len(h) }

// Less reports whether end i is before end j.
func (h taskEndHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap exchanges two ends.
func (h taskEndHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an end.
func (h *taskEndHeap) Push(x any) { *h = append(*h, x.(taskEnd)) }

// Pop removes the last end of the slice.
func (h *taskEndHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
