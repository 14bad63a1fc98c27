package cyclamendyke

import (
	"context"
	"time"
)

// TargetID identifies a target VM over its restarts.
type TargetID string

// ServiceName names a pool of targets.
type ServiceName string

// Target is a VM that runs tasks, as it describes itself.
type Target struct {
	ID        TargetID      `json:"id"`
	Service   ServiceName   `json:"service"`
	Address   string        `json:"address"`
	Zone      ZoneName      `json:"zone"`
	Capacity  Resources     `json:"capacity"`
	Labels    []string      `json:"labels"`
	Draining  bool          `json:"draining,omitempty"`
	Remaining time.Duration `json:"remaining-ns,omitempty"` // While draining: the least time that is left; zero if not known.
	Born      int64         `json:"born-ms"`                // Unix milliseconds of the incarnation's start.
}

// EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed" // Its lease ran out.
	EndBroken  EndKind = "broken" // Another member of its gang ended.
	EndAlone   EndKind = "alone"  // The other members of its gang did not come.
)

// RunReport is one running task in a target's listing.
type RunReport struct {
	Task       TaskName `json:"task"`
	Run        int64    `json:"run"`
	Checkpoint string   `json:"checkpoint,omitempty"`
	Percent    int      `json:"percent,omitempty"`
	Load       float64  `json:"load,omitempty"` // Tail latency in milliseconds of a serving task, cores in use in thousandths of any other.
}

// EndReport is one ended run in a target's listing.
type EndReport struct {
	Sequence   int64    `json:"sequence"`
	Task       TaskName `json:"task"`
	Run        int64    `json:"run"`
	How        EndKind  `json:"how"`
	Checkpoint string   `json:"checkpoint,omitempty"`
}

// Listing is what a target answers to a renewal.
type Listing struct {
	Clock     time.Duration `json:"clock-ns"` // The target's clock when it answered.
	Born      int64         `json:"born-ms"`
	Running   []RunReport   `json:"running,omitempty"`
	Ended     []EndReport   `json:"ended,omitempty"`
	Draining  bool          `json:"draining,omitempty"`
	Remaining time.Duration `json:"remaining-ns,omitempty"`
}

// Renewal extends the lease of all that runs on a target and asks for its listing.
type Renewal struct {
	Until    time.Duration `json:"until-ns,omitempty"` // On the target's clock; zero leaves the lease as it is.
	Fence    uint64        `json:"fence"`
	LastSeen int64         `json:"last-seen"`         // Ends up to this sequence are recorded and may be forgotten.
	Wait     time.Duration `json:"wait-ns,omitempty"` // How long the target may wait for an end before it answers.
}

// StartOrder starts one run of a task.
type StartOrder struct {
	Task       TaskName      `json:"task"`
	Run        int64         `json:"run"`
	Spec       string        `json:"spec"`
	Until      time.Duration `json:"until-ns"` // On the target's clock.
	Fence      uint64        `json:"fence"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	Ticket     string        `json:"ticket,omitempty"`
}

// The kinds of error with which targets refuse an order; nothing was started.
const (
	KindOldRun       Kind = "a run as high ended or was stopped there"
	KindLateOrder    Kind = "the lease in the order has passed"
	KindBadTicket    Kind = "the ticket is not valid"
	KindNotTheTarget Kind = "another incarnation answered"
)

// Targets gives orders to target VMs; its errors match KindFenced, KindOldRun, KindLateOrder, KindNoRoom, KindBadTicket, KindNotTheTarget, KindLimited, KindInvalid, KindUnavailable or KindUnknown.
type Targets interface {
	// Renew extends the target's lease and returns its listing.
	Renew(ctx context.Context, target Target, renewal Renewal) (Listing, error)
	// Start starts a run and returns the target's clock.
	Start(ctx context.Context, target Target, order StartOrder) (time.Duration, error)
	// Stop ends a run, or makes sure that it never starts.
	Stop(ctx context.Context, target Target, task TaskName, run int64, fence uint64) error
	// Pace lets a run work at a percentage of its speed.
	Pace(ctx context.Context, target Target, task TaskName, run int64, percent int, fence uint64) error
}

// Ticket permits the tasks of one step to start on one target.
type Ticket struct {
	Target TargetID `json:"target"`
	Text   string   `json:"text"`
}

// Advice names the targets, of those asked for, that may run a step.
type Advice struct {
	Tickets []Ticket
	Valid   time.Duration
}

// Adviser decides which targets may run a step.
type Adviser interface {
	// Advise asks for the named targets.
	Advise(ctx context.Context, step StepName, targets []TargetID) (Advice, error)
}
