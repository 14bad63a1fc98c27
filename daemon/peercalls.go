package daemon

import (
	"context"
	"errors"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/config"
	"cyclamendyke/io/peer"
)

// peerHandler implements the peer protocol's calls.
type peerHandler struct {
	*Daemon
}

// Submit passes a peer's job to this process's scheduler.
func (h peerHandler) Submit(ctx context.Context, job cyclamendyke.Job) (cyclamendyke.Outcome, error) {
	return h.controller.submit(ctx, job)
}

// Status returns the status of a request from this process's scheduler.
func (h peerHandler) Status(ctx context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	return h.controller.status(ctx, request)
}

// Cancel cancels a job of this process's scheduler.
func (h peerHandler) Cancel(ctx context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	return h.controller.cancelJob(ctx, request)
}

// WatchedCopy returns this process's copy of the watched part of the store.
func (h peerHandler) WatchedCopy(context.Context) (config.Copy, error) {
	return h.configView.Snapshot().Copy, nil
}

// Workers returns the zone's workers.
func (h peerHandler) Workers(context.Context) ([]cyclamendyke.WorkerState, error) {
	if _, isScheduler := h.controller.currentEpoch(); !isScheduler {
		return nil, notSchedulerError("workers")
	}
	return h.controller.workers(), nil
}

func notSchedulerError(op string) error {
	return peer.NewError(op, peer.KindNotScheduler, errors.New("the role is held elsewhere"))
}

// status returns the status of a request, or an error if the scheduler does not have it.
func (c *controller) status(_ context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	var status cyclamendyke.JobStatus
	err := notSchedulerError("status")
	c.postAndWait(func(time.Time) {
		if c.scheduler == nil {
			return
		}
		var ok bool
		if status, ok = c.scheduler.Status(request); ok {
			err = nil
			return
		}
		err = newError("status", cyclamendyke.KindNotFound, errors.New("the zone's scheduler knows no such request"))
	})
	return status, err
}

// cancelJob cancels a job and returns its status; it is idempotent.
func (c *controller) cancelJob(ctx context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error) {
	c.postAndWait(func(now time.Time) {
		if c.scheduler != nil {
			c.runCommands(c.scheduler.Cancel(now, request))
		}
	})
	return c.status(ctx, request)
}

// workers returns the state of each worker.
func (c *controller) workers() []cyclamendyke.WorkerState {
	var states []cyclamendyke.WorkerState
	c.postAndWait(func(time.Time) {
		if c.scheduler != nil {
			states = c.scheduler.Workers()
		}
	})
	return states
}
