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

// Job is one request for work, as handed to a zone scheduler; its tasks are held as a count until they are placed.
type Job struct {
	Request        RequestID     `json:"request"`
	Team           TeamName      `json:"team"`
	Route          RouteName     `json:"route"`
	Kind           JobKind       `json:"kind"`
	Tasks          int           `json:"tasks"`
	PerTask        Resources     `json:"per-task"`
	RunTime        time.Duration `json:"run-time-ns"` // As declared; zero when not known.
	Urgent         bool          `json:"urgent,omitempty"`
	Detach         bool          `json:"detach,omitempty"`         // Kept in the journal, answered before it has run.
	NotRepeatable  bool          `json:"not-repeatable,omitempty"` // Runs at most once.
	IdempotencyKey string        `json:"idempotency-key,omitempty"`
	Payload        string        `json:"payload,omitempty"` // Opaque to the scheduler, handed to the worker.
	Accepted       time.Time     `json:"accepted"`
	Resubmitted    bool          `json:"resubmitted,omitempty"` // An earlier epoch may have started some of it.
}

// Verdict says what became of a request.
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

// Reason is the typed cause of a refusal or of a doubtful outcome.
type Reason string

// The reasons given to callers.
const (
	ReasonNone            Reason = ""
	ReasonBadRequest      Reason = "bad-request"
	ReasonBadKey          Reason = "bad-key"
	ReasonWrongTeam       Reason = "wrong-team"
	ReasonKeysStale       Reason = "keys-stale" // The process cannot know whether the key was withdrawn.
	ReasonUnknownRoute    Reason = "unknown-route"
	ReasonNeverFits       Reason = "never-fits"
	ReasonOverLimit       Reason = "over-limit" // More than the team's upper limit can ever hold.
	ReasonQueueFull       Reason = "queue-full"
	ReasonOverload        Reason = "overload"
	ReasonNoScheduler     Reason = "no-scheduler"
	ReasonStoreAway       Reason = "store-away" // A kept or non-repeatable job needs the store.
	ReasonStopping        Reason = "stopping"
	ReasonCancelled       Reason = "cancelled"
	ReasonAnswerLost      Reason = "answer-lost"
	ReasonWorkerLost      Reason = "worker-lost"
	ReasonFailsEverywhere Reason = "fails-everywhere"
	ReasonDeadline        Reason = "deadline"
	ReasonNotFound        Reason = "not-found"
	ReasonConflict        Reason = "conflict"
)

// TaskResult is what a worker reports of a task that ended.
type TaskResult struct {
	Task     TaskID     `json:"task"`
	Worker   WorkerName `json:"worker"`
	ExitCode int        `json:"exit-code"`
	Output   string     `json:"output,omitempty"`
	Stopped  bool       `json:"stopped,omitempty"` // Ended by a stop or by a lapsed lease, not by itself.
	Started  time.Time  `json:"started"`
	Finished time.Time  `json:"finished"`
}

// Outcome is the answer to a request.
type Outcome struct {
	Request    RequestID     `json:"request"`
	Verdict    Verdict       `json:"verdict"`
	Reason     Reason        `json:"reason,omitempty"`
	Detail     string        `json:"detail,omitempty"`         // What to do, in a sentence.
	RetryAfter time.Duration `json:"retry-after-ns,omitempty"` // When to come back; zero when it is no use.
	Results    []TaskResult  `json:"results,omitempty"`
}

// JobStatus is what a zone scheduler knows of a job.
type JobStatus struct {
	Job     Job     `json:"job"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Done    int     `json:"done"`
	Failed  int     `json:"failed"`
	Outcome Outcome `json:"outcome"`
}
