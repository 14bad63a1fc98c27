package worker

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
)

// Logging is a Workers that logs each call at level debug.
type Logging struct {
	workers cyclamendyke.Workers
	log     *log.Logger
}

var _ cyclamendyke.Workers = (*Logging)(nil)

// NewLogging wraps workers so that its calls are logged.
func NewLogging(workers cyclamendyke.Workers, logger *log.Logger) *Logging {
	return &Logging{workers: workers, log: logger}
}

// Claim acquires the worker's session and logs the call.
func (l *Logging) Claim(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	began := time.Now()
	report, err := l.workers.Claim(ctx, worker, claim)
	l.log.Debug("worker claim", "worker", worker, "epoch", claim.Epoch, "running", len(report.Running), "finished", len(report.Finished), "took", time.Since(began), "err", err)
	return report, err
}

// Renew extends the session and logs the call.
func (l *Logging) Renew(ctx context.Context, worker cyclamendyke.WorkerName, claim cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
	began := time.Now()
	report, err := l.workers.Renew(ctx, worker, claim)
	l.log.Debug("worker renew", "worker", worker, "epoch", claim.Epoch, "finished", len(report.Finished), "took", time.Since(began), "err", err)
	return report, err
}

// Start runs a task and logs the call.
func (l *Logging) Start(ctx context.Context, worker cyclamendyke.WorkerName, start cyclamendyke.TaskStart) error {
	began := time.Now()
	err := l.workers.Start(ctx, worker, start)
	l.log.Debug("worker start", "worker", worker, "epoch", start.Epoch, "task", start.Task, "took", time.Since(began), "err", err)
	return err
}

// Stop throttles, checkpoints or kills a task and logs the call.
func (l *Logging) Stop(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch, task cyclamendyke.TaskID, mode cyclamendyke.StopMode) error {
	began := time.Now()
	err := l.workers.Stop(ctx, worker, epoch, task, mode)
	l.log.Debug("worker stop", "worker", worker, "epoch", epoch, "task", task, "mode", mode, "took", time.Since(began), "err", err)
	return err
}

// Release gives up the session and logs the call.
func (l *Logging) Release(ctx context.Context, worker cyclamendyke.WorkerName, epoch cyclamendyke.Epoch) error {
	began := time.Now()
	err := l.workers.Release(ctx, worker, epoch)
	l.log.Debug("worker release", "worker", worker, "epoch", epoch, "took", time.Since(began), "err", err)
	return err
}
