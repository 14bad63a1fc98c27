package peer

import (
	"context"

	"github.com/creachadair/jrpc2/handler"

	"cyclamendyke"
)

// Handler answers the calls of other processes; its errors match KindNotScheduler, KindNotFound or KindConflict.
type Handler interface {
	// Heartbeat takes in a peer's state.
	Heartbeat(ctx context.Context, state cyclamendyke.MemberState) error
	// Submit hands a job to the zone's scheduler and waits for its outcome; it is idempotent by request.
	Submit(ctx context.Context, job cyclamendyke.Job) (cyclamendyke.Outcome, error)
	// Status returns what the zone's scheduler knows of a request.
	Status(ctx context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error)
	// Cancel ends a job.
	Cancel(ctx context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error)
	// Watched returns this process's copy of the watched part of the store.
	Watched(ctx context.Context) ([]cyclamendyke.Entry, error)
	// Workers returns the state of the zone's workers.
	Workers(ctx context.Context) ([]cyclamendyke.WorkerState, error)
}

// The methods of the inner protocol.
const (
	methodHeartbeat = "heartbeat"
	methodSubmit    = "submit"
	methodStatus    = "status"
	methodCancel    = "cancel"
	methodWatched   = "watched"
	methodWorkers   = "workers"
)

// requestParams names the request that a call is about.
type requestParams struct {
	Request cyclamendyke.RequestID `json:"request"`
}

// assigner maps the methods of the inner protocol to h.
func assigner(h Handler) handler.Map {
	return handler.Map{
		methodHeartbeat: handler.New(func(ctx context.Context, state cyclamendyke.MemberState) error {
			return wireError(h.Heartbeat(ctx, state))
		}),
		methodSubmit: handler.New(func(ctx context.Context, job cyclamendyke.Job) (cyclamendyke.Outcome, error) {
			outcome, err := h.Submit(ctx, job)
			return outcome, wireError(err)
		}),
		methodStatus: handler.New(func(ctx context.Context, params requestParams) (cyclamendyke.JobStatus, error) {
			status, err := h.Status(ctx, params.Request)
			return status, wireError(err)
		}),
		methodCancel: handler.New(func(ctx context.Context, params requestParams) (cyclamendyke.JobStatus, error) {
			status, err := h.Cancel(ctx, params.Request)
			return status, wireError(err)
		}),
		methodWatched: handler.New(func(ctx context.Context) ([]cyclamendyke.Entry, error) {
			entries, err := h.Watched(ctx)
			return entries, wireError(err)
		}),
		methodWorkers: handler.New(func(ctx context.Context) ([]cyclamendyke.WorkerState, error) {
			workers, err := h.Workers(ctx)
			return workers, wireError(err)
		}),
	}
}
