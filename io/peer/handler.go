package peer

import (
	"context"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/handler"

	"cyclamendyke"
	"cyclamendyke/core/config"
)

// Heartbeat contains the sender's state only if the receiver does not have its current state.
type Heartbeat struct {
	Member   cyclamendyke.MemberName   `json:"member"`
	StoreAge time.Duration             `json:"store-age-ns"` // Time since the store last confirmed the sender's view.
	State    *cyclamendyke.MemberState `json:"state,omitempty"`
}

// HeartbeatReply contains the age and revisions of the replying process's view of the store.
type HeartbeatReply struct {
	StoreAge       time.Duration         `json:"store-age-ns"` // Time since the store last confirmed the view.
	TablesRevision cyclamendyke.Revision `json:"tables-revision"`
	KeysRevision   cyclamendyke.Revision `json:"keys-revision"`
	NeedsState     bool                  `json:"state-wanted,omitempty"` // The replying process lacks the sender's state and requests it.
}

// Handler handles calls from peers. Errors of other kinds than KindNotScheduler, KindNotFound and
// KindConflict reach the caller as KindUnknown.
type Handler interface {
	// Heartbeat records a peer's state and returns the age and revisions of this process's view.
	Heartbeat(ctx context.Context, heartbeat Heartbeat) (HeartbeatReply, error)
	// Submit passes a job to the zone's scheduler and waits for its outcome; it is idempotent per request ID.
	Submit(ctx context.Context, job cyclamendyke.Job) (cyclamendyke.Outcome, error)
	// Status returns the status of a request from the zone's scheduler.
	Status(ctx context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error)
	// Cancel cancels a job.
	Cancel(ctx context.Context, request cyclamendyke.RequestID) (cyclamendyke.JobStatus, error)
	// WatchedCopy returns this process's copy of the watched part of the store.
	WatchedCopy(ctx context.Context) (config.Copy, error)
	// Workers returns the state of the zone's workers.
	Workers(ctx context.Context) ([]cyclamendyke.WorkerState, error)
}

// The JSON-RPC methods.
const (
	methodHeartbeat   = "heartbeat"
	methodSubmit      = "submit"
	methodStatus      = "status"
	methodCancel      = "cancel"
	methodWatchedCopy = "watched"
	methodWorkers     = "workers"
)

// Clock is the process's hybrid logical clock; every message carries its sender's reading.
type Clock interface {
	// Now returns a reading later than all previous ones.
	Now() cyclamendyke.Timestamp
	// Observe advances the clock past a peer's reading, or returns false if it rejects the reading.
	Observe(reading cyclamendyke.Timestamp) bool
}

// message wraps the parameters and result of every call with the sender's clock reading.
type message[T any] struct {
	At   cyclamendyke.Timestamp `json:"at"`
	Body T                      `json:"body"`
}

// empty is the body of calls without parameters.
type empty struct{}

// rpcHandler adapts a Handler method to JSON-RPC: it observes the caller's clock and timestamps the reply.
func rpcHandler[P, R any](clock Clock, method func(context.Context, P) (R, error)) jrpc2.Handler {
	return handler.New(func(ctx context.Context, call message[P]) (message[R], error) {
		clock.Observe(call.At)
		result, err := method(ctx, call.Body)
		return message[R]{At: clock.Now(), Body: result}, errorCodes.Encode(err)
	})
}

// assigner maps the JSON-RPC methods to the methods of h.
func assigner(clock Clock, h Handler) handler.Map {
	return handler.Map{
		methodHeartbeat: rpcHandler(clock, h.Heartbeat),
		methodSubmit:    rpcHandler(clock, h.Submit),
		methodStatus:    rpcHandler(clock, h.Status),
		methodCancel:    rpcHandler(clock, h.Cancel),
		methodWatchedCopy: rpcHandler(clock, func(ctx context.Context, _ empty) (config.Copy, error) {
			return h.WatchedCopy(ctx)
		}),
		methodWorkers: rpcHandler(clock, func(ctx context.Context, _ empty) ([]cyclamendyke.WorkerState, error) {
			return h.Workers(ctx)
		}),
	}
}
