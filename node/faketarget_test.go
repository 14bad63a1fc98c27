package node

import (
	"context"
	"sync"
	"time"

	"cyclamendyke"
)

// fakeTarget is a target that completes every run at once and refuses calls with an outdated fence.
type fakeTarget struct {
	mu           sync.Mutex
	fence        uint64                   // The highest fence received.
	ends         []cyclamendyke.EndReport // Ends that the scheduler has not acknowledged.
	lastSequence int64
	starts       map[cyclamendyke.TaskName]int   // Number of runs by task.
	lastRuns     map[cyclamendyke.TaskName]int64 // The highest run of each task, which has ended.
}

func (f *fakeTarget) checkFence(fence uint64) error {
	if fence < f.fence {
		return cyclamendyke.KindFenced
	}
	f.fence = fence
	return nil
}

// Renew returns the ends that the scheduler has not yet acknowledged.
func (f *fakeTarget) Renew(_ context.Context, _ cyclamendyke.Target, renewal cyclamendyke.Renewal) (cyclamendyke.Listing, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.ends) > 0 && f.ends[0].Sequence <= renewal.AckedSequence {
		f.ends = f.ends[1:]
	}
	return cyclamendyke.Listing{Clock: bootTime(), Ended: append([]cyclamendyke.EndReport(nil), f.ends...)}, f.checkFence(renewal.Fence)
}

// Start completes a run at once, and rejects a repetition of its order.
func (f *fakeTarget) Start(_ context.Context, _ cyclamendyke.Target, order cyclamendyke.StartOrder) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkFence(order.Fence); err != nil {
		return 0, err
	}
	if order.Run != 0 && order.Run <= f.lastRuns[order.Task] { // Runs are numbered from one; some tests send orders without a number.
		return 0, cyclamendyke.KindStaleRun
	}
	f.lastSequence++
	f.starts[order.Task]++
	if f.lastRuns == nil {
		f.lastRuns = map[cyclamendyke.TaskName]int64{}
	}
	f.lastRuns[order.Task] = order.Run
	f.ends = append(f.ends, cyclamendyke.EndReport{Sequence: f.lastSequence, Task: order.Task, Run: order.Run, Kind: cyclamendyke.EndDone})
	return bootTime(), nil
}

// Stop does nothing.
func (f *fakeTarget) Stop(_ context.Context, _ cyclamendyke.Target, _ cyclamendyke.TaskName, _ int64, _ uint64) error {
	return nil
}

// Pace does nothing.
func (f *fakeTarget) Pace(_ context.Context, _ cyclamendyke.Target, _ cyclamendyke.TaskName, _ int64, _ int, _ uint64) error {
	return nil
}

// awayTarget is a target that never answers.
type awayTarget struct{ *fakeTarget }

// Renew fails.
func (awayTarget) Renew(context.Context, cyclamendyke.Target, cyclamendyke.Renewal) (cyclamendyke.Listing, error) {
	return cyclamendyke.Listing{}, cyclamendyke.KindUnknown
}
