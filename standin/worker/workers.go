package worker

import (
	"context"
	"errors"
	"time"

	"cyclamendyke"
)

var (
	errAnswerLost   = errors.New("answer lost")
	errNoConnection = errors.New("no connection")
)

// Workers calls the fleet's workers as one caller, to which the faults may apply.
type Workers struct {
	fleet  *Fleet
	caller string
}

var _ cyclamendyke.Workers = (*Workers)(nil)

// Claim acquires the worker's session for the epoch and lists all running tasks.
func (w *Workers) Claim(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	var report cyclamendyke.WorkerReport
	err := w.call(ctx, "claim", worker, func(m *machine, now time.Time) cyclamendyke.Kind {
		kind := m.claim(now, claim)
		if kind == "" {
			report = m.report(now, claim.Ack)
			report.Running = m.runningTasks()
		}
		return kind
	})
	return report, err
}

// Renew extends the session and every task lease, and waits up to claim.Hold for a result to report.
func (w *Workers) Renew(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	err := w.injectFaults(ctx, "renew", worker)
	if err != nil {
		return cyclamendyke.WorkerReport{}, err
	}
	holdTimer := time.NewTimer(claim.Hold)
	defer holdTimer.Stop()
	waiting := claim.Hold > 0
	for first := true; ; first = false {
		report, changed, err := w.poll(worker, claim, first, waiting)
		if err != nil || changed == nil {
			return report, err
		}
		select {
		case <-changed:
		case <-holdTimer.C:
			waiting = false
		case <-ctx.Done():
			return cyclamendyke.WorkerReport{}, newError("renew", cyclamendyke.KindUnknown, ctx.Err())
		}
	}
}

// poll extends the session if extend is set. It returns the report, or a channel to wait on if
// wait is set and there is no result to report.
func (w *Workers) poll(worker cyclamendyke.WorkerName, claim cyclamendyke.Claim, extend, wait bool) (cyclamendyke.WorkerReport, <-chan struct{}, error) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	m, err := w.findReachable("renew", worker)
	if err != nil {
		return cyclamendyke.WorkerReport{}, nil, err
	}
	now := time.Now()
	kind := m.checkSession(now, claim.Epoch)
	if extend {
		kind = m.renew(now, claim)
	}
	if kind != "" {
		return cyclamendyke.WorkerReport{}, nil, newErrorWithFence("renew", kind, m.fence)
	}
	if wait && !m.hasResultsAfter(claim.Ack) {
		return cyclamendyke.WorkerReport{}, m.changed, nil
	}
	report := m.report(now, claim.Ack)
	return report, nil, m.loseAnswer("renew")
}

// Start runs a task; a repeated start of the task is ignored until its result is acknowledged.
func (w *Workers) Start(ctx context.Context, worker cyclamendyke.WorkerName, start cyclamendyke.TaskStart) error {
	return w.call(ctx, "start", worker, func(m *machine, now time.Time) cyclamendyke.Kind {
		return m.start(now, start)
	})
}

// Stop throttles a task, or ends it in the same way for StopCheckpoint and StopKill; it succeeds if
// the task is not running.
func (w *Workers) Stop(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch, id cyclamendyke.TaskID, mode cyclamendyke.StopMode) error {
	return w.call(ctx, "stop", worker, func(m *machine, _ time.Time) cyclamendyke.Kind {
		return m.stop(epoch, id, mode)
	})
}

// Release gives up the session; tasks keep their leases for the next holder of the session.
func (w *Workers) Release(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch) error {
	return w.call(ctx, "release", worker, func(m *machine, now time.Time) cyclamendyke.Kind {
		return m.release(now, epoch)
	})
}

// call performs one call on a worker with the current faults: it may fail, or take effect and
// return KindUnknown.
func (w *Workers) call(ctx context.Context, op string, worker cyclamendyke.WorkerName, apply func(*machine, time.Time) cyclamendyke.Kind) error {
	if err := w.injectFaults(ctx, op, worker); err != nil {
		return err
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	m, err := w.findReachable(op, worker)
	if err != nil {
		return err
	}
	if kind := apply(m, time.Now()); kind != "" {
		return newErrorWithFence(op, kind, m.fence)
	}
	return m.loseAnswer(op)
}

// injectFaults simulates the faults that stop or delay a call before it takes effect.
func (w *Workers) injectFaults(ctx context.Context, op string, worker cyclamendyke.WorkerName) error {
	faults := w.fleet.Faults(worker)
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(faults.Delay)):
		}
	}
	if faults.Silent {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return newError(op, cyclamendyke.KindUnknown, ctx.Err())
	}
	return nil
}

// findReachable returns the worker if the caller can reach it, and increments the fleet's call count.
func (w *Workers) findReachable(op string, worker cyclamendyke.WorkerName) (*machine, error) {
	m, ok := w.fleet.machines[worker]
	if !ok {
		return nil, newError(op, cyclamendyke.KindNotFound, nil)
	}
	if m.closed || m.faults.blocks(w.caller) {
		return nil, newError(op, cyclamendyke.KindUnavailable, errNoConnection)
	}
	w.fleet.calls++
	return m, nil
}

func (m *machine) hasResultsAfter(ack uint64) bool {
	last := len(m.results) - 1
	return last >= 0 && m.results[last].sequence > ack
}

// loseAnswer returns KindUnknown if the response to the current call is to be lost.
func (m *machine) loseAnswer(op string) error {
	if m.faults.LoseAnswers == 0 {
		return nil
	}
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
	}
	return newError(op, cyclamendyke.KindUnknown, errAnswerLost)
}

func newError(op string, kind cyclamendyke.Kind, err error) error {
	return &cyclamendyke.Error{Op: "worker." + op, Kind: kind, Err: err}
}

// newErrorWithFence returns an error that reports the worker's fence to the caller.
func newErrorWithFence(op string, kind cyclamendyke.Kind, fence cyclamendyke.Epoch) error {
	return &cyclamendyke.Error{Op: "worker." + op, Kind: kind, Fence: fence}
}
