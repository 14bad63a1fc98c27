package peer

import (
	"context"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/handler"

	"cyclamendyke"
	"cyclamendyke/core/config"
)

// Beat is a heartbeat; it holds the whole state only after a change.
type Beat struct {
	Member   cyclamendyke.MemberName   `json:"member"`
	StoreAge time.Duration             `json:"store-age-ns"` // Since the store last confirmed the sender's view.
	State    *cyclamendyke.MemberState `json:"state,omitempty"`
}

// ViewState is the answer to a heartbeat: how fresh the answering process's view of the store is.
type ViewState struct {
	StoreAge       time.Duration         `json:"store-age-ns"` // Since the store last confirmed the view.
	TablesRevision cyclamendyke.Revision `json:"tables-revision"`
	KeysRevision   cyclamendyke.Revision `json:"keys-revision"`
	StateWanted    bool                  `json:"state-wanted,omitempty"` // The answering process does not know the sender's state.
}

// Handler answers the calls of other processes; its errors match KindNotScheduler, KindNotFound or KindConflict.
type Handler interface {
	// Heartbeat takes in a peer's state and returns how fresh this process's view is.
	Heartbeat(ctx context.Context, beat Beat) (ViewState, error)
	// Submit hands a job to the zone's scheduler and waits for its outcome; it is idempotent by request.
	Submit(ctx context.Context, job cyclamendyke.Job) (cyclamendyke.Outcome, error)
	// Status returns what the zone's scheduler knows of a request.
	Status(ctx context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error)
	// Cancel ends a job.
	Cancel(ctx context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error)
	// Watched returns this process's copy of the watched part of the store.
	Watched(ctx context.Context) (config.Copy, error)
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

// Clock is the process's hybrid logical clock, whose readings every message carries.
type Clock interface {
	// Now returns a reading later than all before it.
	Now() cyclamendyke.Timestamp
	// Observe takes in a peer's reading, and reports false if it was left out.
	Observe(reading cyclamendyke.Timestamp) bool
}

// message is the body of every call and answer.
type message[T any] struct {
	At   cyclamendyke.Timestamp `json:"at"`
	Body T                      `json:"body"`
}

// nothing is the body of calls and answers that say no more than that they were made.
type nothing struct{}

// served wraps a handler's method: it observes the caller's clock and stamps the answer.
func served[P, R any](clock Clock, serve func(context.Context, P) (R, error)) jrpc2.Handler {
	return handler.New(func(ctx context.Context, call message[P]) (message[R], error) {
		clock.Observe(call.At)
		result, err := serve(ctx, call.Body)
		return message[R]{At: clock.Now(), Body: result}, codes.Encode(err)
	})
}

// assigner maps the methods of the inner protocol to h.
func assigner(clock Clock, h Handler) handler.Map {
	return handler.Map{
		methodHeartbeat: served(clock, h.Heartbeat),
		methodSubmit:    served(clock, h.Submit),
		methodStatus:    served(clock, h.Status),
		methodCancel:    served(clock, h.Cancel),
		methodWatched: served(clock, func(ctx context.Context, _ nothing) (config.Copy, error) {
			return h.Watched(ctx)
		}),
		methodWorkers: served(clock, func(ctx context.Context, _ nothing) ([]cyclamendyke.WorkerState, error) {
			return h.Workers(ctx)
		}),
	}
}
