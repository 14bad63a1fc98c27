package cyclamendyke

import "time"

// Authority is a zone scheduler's right to act, as determined by the scheduler itself.
type Authority struct {
	Epoch Epoch
	Until time.Time // On the holder's monotonic clock; zero if there is no right to act.
}

// Valid reports whether the holder may act at now.
func (a Authority) Valid(now time.Time) bool {
	return now.Before(a.Until)
}

// Scheduler makes the scheduling decisions for one zone.
//
// It does no I/O, reads no clock and is not safe for concurrent use: one
// control goroutine calls it and carries out the commands that each call
// returns, in order.
type Scheduler interface {
	// SetAuthority sets whether this scheduler may act; a new epoch starts without any claimed worker.
	SetAuthority(now time.Time, authority Authority) []Command
	// SetTables applies a revision of the tables; an older one is ignored.
	SetTables(now time.Time, tables *Tables) []Command
	// SetAllotments sets what each team may use in this zone; a team that is absent may use nothing.
	SetAllotments(now time.Time, allotments map[TeamName]Resources) []Command
	// SetVMs updates the platform's list of this zone's VMs.
	SetVMs(now time.Time, vms []VM) []Command
	// Submit accepts, refuses or answers a job; a request identifier that was submitted before
	// gets the earlier outcome.
	Submit(now time.Time, job Job) []Command
	// Persisted reports the result of a PersistCommand.
	Persisted(now time.Time, request RequestID, result PersistResult) []Command
	// Recover restores the jobs read from the journal at a takeover.
	Recover(now time.Time, jobs []JournalRecord) []Command
	// Cancel cancels a job in constant time; its waiting tasks never start.
	Cancel(now time.Time, request RequestID) []Command
	// Claimed reports the complete listing in a worker's response to a claim sent at sent.
	Claimed(now time.Time, report WorkerReport, sent time.Time) []Command
	// Renewed reports the changes in a worker's response to a renewal sent at sent.
	Renewed(now time.Time, report WorkerReport, sent time.Time) []Command
	// Unreachable reports that renewals of a worker failed on an existing and on a new connection.
	Unreachable(now time.Time, worker WorkerName) []Command
	// StartAnswered reports the result of a StartCommand; after an error of KindUnknown the task
	// keeps its reservation.
	StartAnswered(now time.Time, worker WorkerName, task TaskID, err error) []Command
	// StopAnswered reports the result of a StopCommand.
	StopAnswered(now time.Time, worker WorkerName, task TaskID, mode StopMode, err error) []Command
	// Tick expires timers and places waiting tasks; it must be called at least once every
	// TickInterval and after a batch of other calls.
	Tick(now time.Time) []Command
	// Status returns the state of a job and whether the job is known.
	Status(request RequestID) (JobStatus, bool)
	// Summary returns the load of each pool in this zone.
	Summary() map[PoolName]PoolState
	// Demand returns the reserved and the waiting resources of each team.
	Demand() map[TeamName]TeamDemand
	// Workers returns the state of each worker, sorted by name.
	Workers() []WorkerState
}

// TickInterval is the longest time between two calls of Scheduler.Tick.
const TickInterval = 100 * time.Millisecond

// TeamDemand is one team's demand for resources in a zone.
type TeamDemand struct {
	Reserved      Resources
	Waiting       Resources // Needed by waiting tasks, on top of Reserved.
	UnlistedBound Resources // Upper bound on other tasks on workers whose listing a new scheduler has not yet received.
}

// WorkerState is a scheduler's view of one worker.
type WorkerState struct {
	VM       VM            `json:"vm"`
	Claimed  bool          `json:"claimed"`
	Healthy  bool          `json:"healthy"` // False while it does not answer or is in back-off.
	Reserved Resources     `json:"reserved"`
	Tasks    int           `json:"tasks"`
	BackOff  time.Duration `json:"back-off-ns,omitempty"`
}

// PersistResult is the result of writing a record to the journal.
type PersistResult string

// The results of writing a record.
const (
	PersistKept      PersistResult = "kept"
	PersistDuplicate PersistResult = "duplicate" // The idempotency key belongs to an earlier request.
	PersistRefused   PersistResult = "refused"   // The record was definitely not written.
	PersistUnknown   PersistResult = "unknown"   // The response was lost and the record could not be read back.
)

// JournalRecord is the latest state of one job in a zone's journal.
type JournalRecord struct {
	Job     Job          `json:"job"`
	Started bool         `json:"started,omitempty"` // A start may have been sent.
	Done    []TaskResult `json:"done,omitempty"`
	Outcome Outcome      `json:"outcome"`
}

// Command is an action that a Scheduler asks its caller to carry out.
type Command interface{ command() }

// StartCommand asks to start a task on a worker; it must not be sent after NotAfter.
type StartCommand struct {
	Worker   WorkerName
	Start    TaskStart
	NotAfter time.Time
}

// StopCommand asks to throttle, checkpoint or kill a task.
type StopCommand struct {
	Worker WorkerName
	Epoch  Epoch
	Task   TaskID
	Mode   StopMode
}

// ClaimCommand asks to claim a worker and then renew it until an EndRenewalsCommand. A worker that is
// already claimed is claimed again for a new listing.
type ClaimCommand struct {
	VM VM
}

// EndRenewalsCommand asks to stop the renewals of a worker: until the next ClaimCommand nothing may be
// sent that could extend its leases.
type EndRenewalsCommand struct {
	Worker WorkerName
}

// AnswerCommand asks to answer a request with its outcome; each request gets one final answer.
type AnswerCommand struct {
	Outcome Outcome
}

// PersistCommand asks to write a record to the journal; with AwaitResult the job waits for
// Persisted before its first start or its answer.
type PersistCommand struct {
	Record      JournalRecord
	AwaitResult bool
}

// EventCommand asks to add an event to the timeline; the caller fills in At and Member.
type EventCommand struct {
	Event TimelineEvent
}

// AccountCommand asks to add an accounting record; the caller fills in Zone.
type AccountCommand struct {
	Record AccountRecord
}

func (StartCommand) command()       {}
func (StopCommand) command()        {}
func (ClaimCommand) command()       {}
func (EndRenewalsCommand) command() {}
func (AnswerCommand) command()      {}
func (PersistCommand) command()     {}
func (EventCommand) command()       {}
func (AccountCommand) command()     {}
