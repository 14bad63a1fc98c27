package cyclamendyke

import (
	"context"
	"time"
)

// IntakeCall is a caller's request without its body.
type IntakeCall struct {
	Request string // Request identifier set by the caller, for the log.
	Host    string
	Path    string
	Key     string        // Empty if none was sent.
	Timeout time.Duration // How long the caller waits for a response.
}

// IntakeResult is the result of a caller's request.
type IntakeResult string

// The results of callers' requests.
const (
	IntakeAccepted     IntakeResult = "accepted"
	IntakeFound        IntakeResult = "found"
	IntakeCounted      IntakeResult = "counted"
	IntakeCancelled    IntakeResult = "cancelled"
	IntakeNoWorkflow   IntakeResult = "no such workflow"
	IntakeNoQueue      IntakeResult = "no such queue"
	IntakeBadKey       IntakeResult = "bad key"
	IntakeInvalid      IntakeResult = "invalid"
	IntakeTooLarge     IntakeResult = "too large"
	IntakeLimited      IntakeResult = "over limit"  // The workflow was not accepted and never runs.
	IntakeUnavailable  IntakeResult = "unavailable" // The workflow was not accepted and never runs.
	IntakeUnknown      IntakeResult = "unknown"     // The workflow may have been accepted.
	IntakeNotSupported IntakeResult = "not supported"
)

// IntakeReply is the response to a caller.
type IntakeReply struct {
	Result     IntakeResult
	RetryAfter time.Duration // How long the caller should wait before a retry; zero if not given.
	State      WorkflowState // With IntakeFound.
	Pending    int           // With IntakeCounted: how many of the queue's workflows have not started.
}

// Intake handles callers' requests.
type Intake interface {
	// Submit accepts the workflow that read returns; it is idempotent by workflow identifier.
	Submit(ctx context.Context, call IntakeCall, read func(limit int64) (*Workflow, error)) IntakeReply
	// Query returns a workflow's state, or how many of a queue's workflows have not started.
	Query(ctx context.Context, call IntakeCall) IntakeReply
	// Cancel cancels a workflow.
	Cancel(ctx context.Context, call IntakeCall) IntakeReply
	// Draining reports whether callers should close their connection and connect to another process.
	Draining() bool
}

// FleetCodec decodes what the platform writes into the store.
type FleetCodec interface {
	// Target decodes a target's description; an error means that the entry describes no usable target.
	Target(entry Entry) (Target, error)
	// Config decodes the operators' configuration.
	Config(value []byte) (*FleetConfig, error)
	// TargetsPrefix returns the key prefix of the targets' descriptions.
	TargetsPrefix() string
	// OperatorsPrefix returns the key prefix of everything that operators write.
	OperatorsPrefix() string
	// ConfigKey returns the key of the operators' configuration, below OperatorsPrefix.
	ConfigKey() string
	// EvacuationsPrefix returns the key prefix of the operators' requests to evacuate availability zones,
	// below OperatorsPrefix.
	EvacuationsPrefix() string
	// EvacuatedZone returns the zone that a request names, or an empty name if it names none. A request counts
	// for as long as its key exists; the error says only that its value cannot be read.
	EvacuatedZone(entry Entry) (ZoneName, error)
}
