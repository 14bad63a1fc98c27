package main

import (
	"fmt"
	"sync"
	"time"
)

// span is one run of a task, as a minion has seen it.
type span struct {
	minion string
	run    int64
	began  time.Time
	ended  time.Time // Zero while it runs.
	how    string
}

// watcher keeps what the minions have run.
type watcher struct {
	mu    sync.Mutex
	spans map[string][]*span // By task.
}

func newWatcher() *watcher {
	return &watcher{spans: map[string][]*span{}}
}

// started notes that a run has begun.
func (w *watcher) started(minion, task string, run int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spans[task] = append(w.spans[task], &span{minion: minion, run: run, began: time.Now()})
}

// ended notes that a run has ended.
func (w *watcher) ended(minion, task string, run int64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.spans[task] {
		if s.minion == minion && s.run == run && s.ended.IsZero() {
			s.ended, s.how = time.Now(), how
		}
	}
}

// last returns the last run of a task.
func (w *watcher) last(task string) (span, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.spans[task]
	if len(all) == 0 {
		return span{}, false
	}
	return *all[len(all)-1], true
}

// isRunning reports whether a task runs.
func (w *watcher) isRunning(task string) bool {
	last, ok := w.last(task)
	return ok && last.ended.IsZero()
}

// await waits until a condition holds.
func await(limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting for %s", what)
}

// doubleRuns finds tasks that run twice at the same time.
type doubleRuns struct {
	*watcher
	record *record
	mu     sync.Mutex
	found  []string
}

// started notes that a run has begun, and whether another run of the task has not ended.
func (d *doubleRuns) started(minion, task string, run int64) {
	if last, ok := d.last(task); ok && last.ended.IsZero() {
		text := fmt.Sprintf("%s runs on %s (run %d) and on %s (run %d)", task, last.minion, last.run, minion, run)
		d.record.log("TWICE: %s", text)
		d.mu.Lock()
		d.found = append(d.found, text)
		d.mu.Unlock()
	}
	d.watcher.started(minion, task, run)
}

// verdict returns an error if any task ran twice.
func (d *doubleRuns) verdict() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.found) == 0 {
		return nil
	}
	return errBroken(fmt.Sprintf("%d tasks ran twice at the same time, first %s", len(d.found), d.found[0]))
}
