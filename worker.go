package cyclamendyke

import (
	"context"
	"time"
)

// SessionMode determines when a worker may give its session to another epoch.
type SessionMode string

// The session modes.
const (
	SessionPreemptible SessionMode = "preemptible" // A higher epoch takes it at once; the holder also needs the store's lease.
	SessionHeld        SessionMode = "held"        // Another epoch gets it only after it has expired or was released.
)

// Claim asks a worker for its session and sets its fence to the epoch.
type Claim struct {
	Epoch      Epoch         `json:"epoch"`
	Mode       SessionMode   `json:"mode"`
	StoreLease bool          `json:"store-lease"` // The store granted the epoch, so it may preempt a preemptible session.
	SessionTTL time.Duration `json:"session-ttl-ns"`
	TaskTTL    time.Duration `json:"task-ttl-ns"` // How long tasks keep running after the last renewal of an expired session.
	Ack        uint64        `json:"ack"`         // Highest report sequence received; the worker discards results up to it.
	Hold       time.Duration `json:"hold-ns"`     // How long a renewal may wait for something to report.
	// ModeVersion increases with each change of Mode within an epoch; a worker ignores a mode with
	// a lower version.
	ModeVersion uint64 `json:"mode-version,omitempty"`
	// StartFloor is above the Order of every start sent under the epoch before this call; the
	// worker refuses such starts if they arrive later.
	StartFloor uint64 `json:"start-floor,omitempty"`
}

// RunningTask is one task that a worker is running.
type RunningTask struct {
	Task      TaskID    `json:"task"`
	Job       Job       `json:"job"`
	Reserved  Resources `json:"reserved"`
	Started   time.Time `json:"started"`
	Throttled bool      `json:"throttled,omitempty"`
}

// TaskUsage is a measurement of the resources that a task uses; it is reported with a delay.
type TaskUsage struct {
	Task TaskID    `json:"task"`
	Used Resources `json:"used"`
}

// WorkerReport is a worker's response to a claim or renewal.
type WorkerReport struct {
	Worker WorkerName `json:"worker"`
	// Incarnation changes with each restart of the worker, which loses its tasks and results; zero if unknown.
	Incarnation uint64 `json:"incarnation,omitempty"`

	Capacity Resources     `json:"capacity"`
	Sequence uint64        `json:"sequence"`
	Running  []RunningTask `json:"running,omitempty"`  // Complete in the response to a claim, empty in the response to a renewal.
	Finished []TaskResult  `json:"finished,omitempty"` // Results after the acknowledged sequence.
	Usage    []TaskUsage   `json:"usage,omitempty"`    // Changes since the last report.
}

// TaskStart asks a worker to run one task.
type TaskStart struct {
	Epoch    Epoch     `json:"epoch"`
	Task     TaskID    `json:"task"`
	Job      Job       `json:"job"`
	Reserved Resources `json:"reserved"`
	Order    uint64    `json:"order,omitempty"` // Increases with each start sent under the epoch.
	Ack      uint64    `json:"ack,omitempty"`   // Highest report sequence received; a later result of the task shows that it ran, so it is not started again.
}

// StopMode determines how a task is stopped.
type StopMode string

// The stop modes, from mildest to harshest.
const (
	StopThrottle   StopMode = "throttle"   // The task keeps running with fewer resources.
	StopCheckpoint StopMode = "checkpoint" // The task saves its state, then ends.
	StopKill       StopMode = "kill"
)

// Workers sends requests to the platform's workers; its errors match KindFenced, KindSessionHeld,
// KindNoSession, KindNoRoom, KindNotFound, KindUnavailable or KindUnknown.
type Workers interface {
	// Claim acquires the worker's session for the epoch and lists all running tasks; it does not
	// extend the task leases.
	Claim(ctx context.Context, worker WorkerName, claim Claim) (WorkerReport, error)
	// Renew extends the session and every task lease, and waits up to claim.Hold for something to report.
	Renew(ctx context.Context, worker WorkerName, claim Claim) (WorkerReport, error)
	// Start runs a task. It is idempotent for the same task and epoch until the task's end is
	// acknowledged, and fails with KindNoSession if its order is below the epoch's StartFloor.
	Start(ctx context.Context, worker WorkerName, start TaskStart) error
	// Stop throttles, checkpoints or kills a task; a task that the worker does not have counts as stopped.
	Stop(ctx context.Context, worker WorkerName, epoch Epoch, task TaskID, mode StopMode) error
	// Release gives up the session; tasks keep their leases for the next holder of the session.
	Release(ctx context.Context, worker WorkerName, epoch Epoch) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM; one that is absent from the list has been removed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's list of worker VMs, which lags behind the actual state.
type VM struct {
	Name     WorkerName `json:"name"`
	Zone     ZoneName   `json:"zone"`
	Pool     PoolName   `json:"pool"`
	Rack     string     `json:"rack"`
	Address  string     `json:"address"` // IP and port of the worker's lease protocol.
	Capacity Resources  `json:"capacity"`
	State    VMState    `json:"state"`
}

// VMLister reads the platform's list of VMs.
type VMLister interface {
	// ListVMs returns the VMs of one zone, or KindUnavailable.
	ListVMs(ctx context.Context, zone ZoneName) ([]VM, error)
}
