package cyclamendyke

import (
	"context"
	"time"
)

// TargetID identifies a target VM and stays the same when the VM restarts.
type TargetID string

// ServiceName names a pool of targets.
type ServiceName string

// Target is a VM that runs tasks, as described by itself in the store.
type Target struct {
	ID            TargetID      `json:"id"`
	Service       ServiceName   `json:"service"`
	Address       string        `json:"address"`
	Zone          ZoneName      `json:"zone"`
	Capacity      Resources     `json:"capacity"`
	Labels        []string      `json:"labels"`
	Draining      bool          `json:"draining,omitempty"`
	Remaining     time.Duration `json:"remaining-ns,omitempty"` // While draining: the minimum time left; zero if unknown.
	ColdFor       time.Duration `json:"cold-for-ns,omitempty"`  // How much longer the VM stays slow after its start.
	StartedMillis int64         `json:"born-ms"`                // Start of the current incarnation, in Unix milliseconds.
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone            EndKind = "done"
	EndFailed          EndKind = "failed"
	EndStopped         EndKind = "stopped"
	EndLeaseExpired    EndKind = "lapsed" // Its lease expired.
	EndGangMemberEnded EndKind = "broken" // Another member of its gang ended.
	EndGangIncomplete  EndKind = "alone"  // The other members of its gang did not start.

	EndTargetEnded EndKind = "target ended" // Not reported: the incarnation of the target that ran it has ended.
)

// RunReport is one running task in a target's listing.
type RunReport struct {
	Task       TaskName `json:"task"`
	Run        int64    `json:"run"`
	Checkpoint string   `json:"checkpoint,omitempty"`
	Percent    int      `json:"percent,omitempty"`
	Load       float64  `json:"load,omitempty"` // Tail latency in milliseconds if the step has a latency target, otherwise thousandths of a core in use.
}

// EndReport is one ended run in a target's listing.
type EndReport struct {
	Sequence   int64    `json:"sequence"`
	Task       TaskName `json:"task"`
	Run        int64    `json:"run"`
	Kind       EndKind  `json:"how"`
	Checkpoint string   `json:"checkpoint,omitempty"`
}

// Listing is a target's response to a renewal.
type Listing struct {
	Clock         time.Duration `json:"clock-ns"` // The target's clock at the time of the response.
	StartedMillis int64         `json:"born-ms"`
	Running       []RunReport   `json:"running,omitempty"`
	Ended         []EndReport   `json:"ended,omitempty"`
	MoreEnds      bool          `json:"more-ends,omitempty"` // Ended is cut at its length: later ends may be missing from it.
	Draining      bool          `json:"draining,omitempty"`
	Remaining     time.Duration `json:"remaining-ns,omitempty"`
}

// Renewal asks a target to extend the lease of all its running tasks and to return its listing.
type Renewal struct {
	Until         time.Duration `json:"until-ns,omitempty"` // On the target's clock; zero leaves the lease as it is.
	Fence         uint64        `json:"fence"`
	AckedSequence int64         `json:"last-seen"`         // Ended runs up to this sequence are recorded; the target may discard them.
	Wait          time.Duration `json:"wait-ns,omitempty"` // How long the target may wait for a run to end before it responds.
}

// StartOrder asks a target to start one run of a task.
type StartOrder struct {
	Task       TaskName      `json:"task"`
	Run        int64         `json:"run"`
	Spec       string        `json:"spec"`
	Until      time.Duration `json:"until-ns"` // On the target's clock.
	Fence      uint64        `json:"fence"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	Ticket     string        `json:"ticket,omitempty"`
}

// The kinds of error with which a target refuses a request; nothing was started.
const (
	KindStaleRun    Kind = "a run as high ended or was stopped there"
	KindLeaseInPast Kind = "the lease in the order has passed"
	KindBadTicket   Kind = "the ticket is not valid"
	KindWrongTarget Kind = "another incarnation answered"
	KindEvacuated   Kind = "the target's zone is evacuated" // Not sent: the sender knows of an evacuation.
)

// Targets sends requests to target VMs; its errors match KindFenced, KindStaleRun, KindLeaseInPast,
// KindNoRoom, KindBadTicket, KindWrongTarget, KindLimited, KindInvalid, KindUnavailable or
// KindUnknown.
type Targets interface {
	// Renew extends the target's lease and returns its listing.
	Renew(ctx context.Context, target Target, renewal Renewal) (Listing, error)
	// Start starts a run and returns the time on the target's clock.
	Start(ctx context.Context, target Target, order StartOrder) (time.Duration, error)
	// Stop ends a run, or prevents its start if it has not started yet.
	Stop(ctx context.Context, target Target, task TaskName, run int64, fence uint64) error
	// Pace throttles a run to a percentage of its full speed.
	Pace(ctx context.Context, target Target, task TaskName, run int64, percent int, fence uint64) error
}

// Ticket permits the tasks of one step to start on one target.
type Ticket struct {
	Target TargetID `json:"target"`
	Text   string   `json:"text"`
}

// Advice holds the tickets for those of the requested targets that may run a step.
type Advice struct {
	Tickets []Ticket
	Valid   time.Duration // How long the tickets are valid.
}

// Adviser decides which targets may run a step.
type Adviser interface {
	// Advise returns which of the given targets may run the step.
	Advise(ctx context.Context, step StepName, targets []TargetID) (Advice, error)
}
