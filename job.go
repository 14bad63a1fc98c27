package cyclamendyke

import "time"

// JobKind selects the scheduling policy of a job.
type JobKind string

// The kinds of job.
const (
	KindService JobKind = "service" // Long-running, restarted, spread over racks.
	KindBatch   JobKind = "batch"   // Independent tasks, packed tightly.
	KindGang    JobKind = "gang"    // All tasks at once or none.
)

// Job is a request to run tasks, as passed to a zone scheduler, which keeps only the number of its
// tasks until they are placed.
type Job struct {
	Request        RequestID     `json:"request"`
	Team           TeamName      `json:"team"`
	Route          RouteName     `json:"route"`
	Kind           JobKind       `json:"kind"`
	Tasks          int           `json:"tasks"`
	PerTask        Resources     `json:"per-task"`
	RunTime        time.Duration `json:"run-time-ns"` // Declared by the caller; zero if unknown.
	Urgent         bool          `json:"urgent,omitempty"`
	Detach         bool          `json:"detach,omitempty"`         // Kept in the journal and answered before it has run.
	NotRepeatable  bool          `json:"not-repeatable,omitempty"` // Runs at most once.
	IdempotencyKey string        `json:"idempotency-key,omitempty"`
	Payload        string        `json:"payload,omitempty"` // Opaque to the scheduler; passed to the worker.
	AcceptedAt     time.Time     `json:"accepted"`
	Resubmitted    bool          `json:"resubmitted,omitempty"` // An earlier epoch may have started some of its tasks.
}

// Verdict is the outcome of a request.
type Verdict string

// The verdicts; the last three are final.
const (
	VerdictPending    Verdict = "pending"
	VerdictRan        Verdict = "ran"
	VerdictNotRun     Verdict = "not-run"
	VerdictMayHaveRun Verdict = "may-have-run"
)

// IsFinal reports whether the verdict can no longer change.
func (v Verdict) IsFinal() bool {
	return v != VerdictPending
}

// Reason is the cause of a refusal or of an uncertain outcome.
type Reason string

// The reasons given to callers.
const (
	ReasonNone             Reason = ""
	ReasonBadRequest       Reason = "bad-request"
	ReasonBadKey           Reason = "bad-key"
	ReasonWrongTeam        Reason = "wrong-team"
	ReasonKeysStale        Reason = "keys-stale" // The process's view of the keys is too old to show whether the key was withdrawn.
	ReasonUnknownRoute     Reason = "unknown-route"
	ReasonNeverFits        Reason = "never-fits"
	ReasonOverLimit        Reason = "over-limit" // A task, or a job whose tasks all run at once, exceeds the team's upper limit.
	ReasonQueueFull        Reason = "queue-full"
	ReasonOverload         Reason = "overload"
	ReasonNoScheduler      Reason = "no-scheduler"
	ReasonStoreUnavailable Reason = "store-away" // The store is unavailable and the request needs it, such as for a detached or non-repeatable job.
	ReasonStopping         Reason = "stopping"
	ReasonCancelled        Reason = "cancelled"
	ReasonAnswerLost       Reason = "answer-lost"
	ReasonWorkerLost       Reason = "worker-lost"
	ReasonFailsEverywhere  Reason = "fails-everywhere"
	ReasonDeadline         Reason = "deadline"
	ReasonNotFound         Reason = "not-found"
	ReasonConflict         Reason = "conflict"
)

// TaskResult is a worker's report of a task that ended.
type TaskResult struct {
	Task     TaskID     `json:"task"`
	Worker   WorkerName `json:"worker"`
	ExitCode int        `json:"exit-code"`
	Output   string     `json:"output,omitempty"`
	Stopped  bool       `json:"stopped,omitempty"` // Ended by a stop or by an expired lease, not by itself.
	Started  time.Time  `json:"started"`
	Finished time.Time  `json:"finished"`
}

// Outcome is the answer to a request.
type Outcome struct {
	Request    RequestID     `json:"request"`
	Verdict    Verdict       `json:"verdict"`
	Reason     Reason        `json:"reason,omitempty"`
	Detail     string        `json:"detail,omitempty"`         // One sentence for the caller, such as what to do next.
	RetryAfter time.Duration `json:"retry-after-ns,omitempty"` // How long to wait before a retry; zero if a retry is pointless.
	Results    []TaskResult  `json:"results,omitempty"`
}

// JobStatus is a zone scheduler's view of a job.
type JobStatus struct {
	Job     Job     `json:"job"`
	Waiting int     `json:"waiting"` // Waiting, Running, Done and Failed count tasks.
	Running int     `json:"running"`
	Done    int     `json:"done"`
	Failed  int     `json:"failed"`
	Outcome Outcome `json:"outcome"`
}
