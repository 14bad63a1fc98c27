package cyclamendyke

import "time"

// Authority is a zone scheduler's right to act, as its holder knows it.
type Authority struct {
	Epoch Epoch
	Until time.Time // On the holder's own monotonic clock; zero when there is none.
}

// Valid reports whether the holder may act at now.
func (a Authority) Valid(now time.Time) bool {
	return now.Before(a.Until)
}

// Scheduler decides for one zone.
//
// It does no I/O, keeps no clock and is not safe for concurrent use: one
// control goroutine calls it and carries out the commands that each call
// returns, in their order.
type Scheduler interface {
	// SetAuthority tells whether this scheduler may act; a new epoch starts it with no worker claimed.
	SetAuthority(now time.Time, authority Authority) []Command
	// SetTables puts a revision of the tables in force; an older one is ignored.
	SetTables(now time.Time, tables *Tables) []Command
	// SetAllotments sets what each team may use in this zone; a team that is absent may use nothing.
	SetAllotments(now time.Time, held map[TeamName]Resources) []Command
	// SetVMs brings the platform's list of this zone's VMs up to date.
	SetVMs(now time.Time, vms []VM) []Command
	// Submit accepts, refuses or answers a job; an identifier seen before gets the earlier outcome.
	Submit(now time.Time, job Job) []Command
	// Persisted reports that a record asked for by PersistCommand is kept (ok), is refused for good, or is in doubt.
	Persisted(now time.Time, request RequestID, result PersistResult) []Command
	// Recover restores the jobs found in the journal at a takeover.
	Recover(now time.Time, jobs []JournalRecord) []Command
	// Cancel ends a job in constant time; its waiting tasks never start.
	Cancel(now time.Time, request RequestID) []Command
	// Claimed reports the complete listing that a worker gave with its session.
	Claimed(now time.Time, report WorkerReport, sent time.Time) []Command
	// Renewed reports the changes that a worker gave with a renewal sent at sent.
	Renewed(now time.Time, report WorkerReport, sent time.Time) []Command
	// Unreachable reports that a worker failed a renewal on an old and on a fresh connection.
	Unreachable(now time.Time, worker WorkerName) []Command
	// StartAnswered reports the answer to a StartCommand; an error of KindUnknown leaves the task held.
	StartAnswered(now time.Time, worker WorkerName, task TaskID, err error) []Command
	// StopAnswered reports the answer to a StopCommand.
	StopAnswered(now time.Time, worker WorkerName, task TaskID, mode StopMode, err error) []Command
	// Tick places waiting work and expires timers; it is called at least once every TickInterval and after a batch of other calls.
	Tick(now time.Time) []Command
	// Status returns what is known of a job.
	Status(request RequestID) (JobStatus, bool)
	// Summary returns the load of each pool in this zone.
	Summary() map[PoolName]PoolState
	// Demand returns for each team what it has reserved and what it would use besides.
	Demand() map[TeamName]TeamDemand
	// Workers returns the state of each worker in order of name.
	Workers() []WorkerState
}

// TickInterval is the longest time between two calls of Scheduler.Tick.
const TickInterval = 100 * time.Millisecond

// TeamDemand is one team's use of a zone.
type TeamDemand struct {
	Reserved Resources
	Waiting  Resources // Beyond what is reserved.
	Unlisted Resources // At most this may run besides, on workers that a new scheduler has not listed yet.
}

// WorkerState is what a scheduler knows of one worker.
type WorkerState struct {
	VM       VM            `json:"vm"`
	Claimed  bool          `json:"claimed"`
	Healthy  bool          `json:"healthy"` // False while it is silent or on back-off.
	Reserved Resources     `json:"reserved"`
	Tasks    int           `json:"tasks"`
	BackOff  time.Duration `json:"back-off-ns,omitempty"`
}

// PersistResult is the outcome of keeping a record.
type PersistResult string

// The outcomes of keeping a record.
const (
	PersistKept      PersistResult = "kept"
	PersistDuplicate PersistResult = "duplicate" // The idempotency key belongs to an earlier request.
	PersistRefused   PersistResult = "refused"   // Certainly not kept.
	PersistUnknown   PersistResult = "unknown"   // The answer was lost and could not be read back.
)

// JournalRecord is the latest state of one kept job in a zone's journal.
type JournalRecord struct {
	Job     Job          `json:"job"`
	Started bool         `json:"started,omitempty"` // A start may have been sent.
	Done    []TaskResult `json:"done,omitempty"`
	Outcome Outcome      `json:"outcome"`
}

// Command is something that a Scheduler asks its caller to carry out.
type Command interface{ command() }

// StartCommand asks for a task to be started on a worker, unless NotAfter has passed when it is about to be sent.
type StartCommand struct {
	Worker   WorkerName
	Start    TaskStart
	NotAfter time.Time
}

// StopCommand asks for a task to be throttled, checkpointed or killed.
type StopCommand struct {
	Worker WorkerName
	Epoch  Epoch
	Task   TaskID
	Mode   StopMode
}

// ClaimCommand asks for a worker to be claimed, anew for a fresh listing if it is claimed already, and then renewed until a ForgetCommand.
type ClaimCommand struct {
	VM VM
}

// ForgetCommand asks for a worker's renewals to end: until the next ClaimCommand nothing may be sent that could extend its leases.
type ForgetCommand struct {
	Worker WorkerName
}

// AnswerCommand gives a request its outcome; a request gets one final answer.
type AnswerCommand struct {
	Outcome Outcome
}

// PersistCommand asks for a record to be kept; with AwaitResult the job waits for Persisted before its first start or its answer.
type PersistCommand struct {
	Record      JournalRecord
	AwaitResult bool
}

// EventCommand asks for an event on the time line; At and Member are filled in by the caller.
type EventCommand struct {
	Event TimelineEvent
}

// AccountCommand asks for a record in the account; Zone is filled in by the caller.
type AccountCommand struct {
	Record AccountRecord
}

func (StartCommand) command()   {}
func (StopCommand) command()    {}
func (ClaimCommand) command()   {}
func (ForgetCommand) command()  {}
func (AnswerCommand) command()  {}
func (PersistCommand) command() {}
func (EventCommand) command()   {}
func (AccountCommand) command() {}
