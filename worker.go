package cyclamendyke

import (
	"context"
	"time"
)

// SessionMode says when a worker may give its session to another epoch.
type SessionMode string

// The session modes.
const (
	SessionPreemptible SessionMode = "preemptible" // A higher epoch takes it at once; the holder also needs the store's lease.
	SessionHeld        SessionMode = "held"        // Another epoch gets it only after it has lapsed or was released.
)

// Claim asks a worker for its session and its fence.
type Claim struct {
	Epoch      Epoch         `json:"epoch"`
	Mode       SessionMode   `json:"mode"`
	StoreLease bool          `json:"store-lease"` // The epoch was granted by the store, so it may preempt a preemptible session.
	SessionTTL time.Duration `json:"session-ttl-ns"`
	TaskTTL    time.Duration `json:"task-ttl-ns"` // Tasks outlive a lapsed session until this has passed since its last renewal.
	Ack        uint64        `json:"ack"`         // Highest report sequence seen; the worker forgets results up to it.
	Hold       time.Duration `json:"hold-ns"`     // How long a renewal may wait for something to report.
	// ModeVersion rises with each change of Mode within an epoch; a worker ignores the mode of a lower version.
	ModeVersion uint64 `json:"mode-version,omitempty"`
	// StartFloor is above the Order of every start sent before this call under the epoch; the worker refuses those that arrive after it.
	StartFloor uint64 `json:"start-floor,omitempty"`
}

// RunningTask is one task that a worker holds.
type RunningTask struct {
	Task      TaskID    `json:"task"`
	Job       Job       `json:"job"`
	Reserved  Resources `json:"reserved"`
	Started   time.Time `json:"started"`
	Throttled bool      `json:"throttled,omitempty"`
}

// TaskUsage is the lagging measurement of what a task uses.
type TaskUsage struct {
	Task TaskID    `json:"task"`
	Used Resources `json:"used"`
}

// WorkerReport is a worker's answer to a claim or renewal.
type WorkerReport struct {
	Worker WorkerName `json:"worker"`
	// Incarnation is another number after each restart, which loses tasks and results; zero if it is not known.
	Incarnation uint64 `json:"incarnation,omitempty"`

	Capacity Resources     `json:"capacity"`
	Sequence uint64        `json:"sequence"`
	Running  []RunningTask `json:"running,omitempty"`  // Complete in the answer to a claim, empty in that to a renewal.
	Finished []TaskResult  `json:"finished,omitempty"` // Since the acknowledged sequence.
	Usage    []TaskUsage   `json:"usage,omitempty"`    // Changes since the last report.
}

// TaskStart asks a worker to run one task.
type TaskStart struct {
	Epoch    Epoch     `json:"epoch"`
	Task     TaskID    `json:"task"`
	Job      Job       `json:"job"`
	Reserved Resources `json:"reserved"`
	Order    uint64    `json:"order,omitempty"` // Rises with each start sent under the epoch.
	Ack      uint64    `json:"ack,omitempty"`   // Highest report sequence seen; a result of the task above it shows a repeat.
}

// StopMode says how a task is to be ended.
type StopMode string

// The stop modes, from the mildest.
const (
	StopThrottle   StopMode = "throttle"   // Keeps running with less.
	StopCheckpoint StopMode = "checkpoint" // Saves its state, then ends.
	StopKill       StopMode = "kill"
)

// Workers reaches the platform's workers; its errors match KindFenced, KindSessionHeld, KindNoSession, KindNoRoom, KindNotFound, KindUnavailable or KindUnknown.
type Workers interface {
	// Claim takes the worker's session for the epoch and lists everything it runs; it leaves the task leases as they are.
	Claim(ctx context.Context, worker WorkerName, claim Claim) (WorkerReport, error)
	// Renew extends the session and every task lease, and waits up to claim.Hold for something to report.
	Renew(ctx context.Context, worker WorkerName, claim Claim) (WorkerReport, error)
	// Start runs a task; it is idempotent for the same task under the same epoch until its end is acknowledged, and KindNoSession below the epoch's StartFloor.
	Start(ctx context.Context, worker WorkerName, start TaskStart) error
	// Stop throttles, checkpoints or kills a task; a task that is not there counts as stopped.
	Stop(ctx context.Context, worker WorkerName, epoch Epoch, task TaskID, mode StopMode) error
	// Release gives up the session; tasks keep their leases for the next holder.
	Release(ctx context.Context, worker WorkerName, epoch Epoch) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM; one that is absent from the list has been removed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's lagging list of worker VMs.
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
