package scheduler

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

type jobState int

const (
	jobAwaitingRecord  jobState = iota // Until its first record is stored.
	jobAwaitingBarrier                 // Until every task of an earlier term that can still be running is known.
	jobActive
	jobAwaitingFinalRecord // Until the journal has stored its end; without that, a later term might start it.
	jobEnded
)

// job is one request; its waiting tasks are stored as ranges of indices.
type job struct {
	spec                 cyclamendyke.Job
	policy               policy.Policy
	seq                  uint64 // The order of arrival.
	state                jobState
	queue                *queue
	need                 cyclamendyke.Resources // What one task needs: its declared resources, or more if running tasks report more.
	waiting              indexSet
	countedTasks         int                   // Waiting tasks included in the totals of the team and the pool.
	countedPool          cyclamendyke.PoolName // The pool whose total they are included in.
	waitingSince         time.Time             // When the job was submitted, or when an ended task or the whole gang was last requeued.
	holdWaitRestartedAt  time.Time             // When a task of a job other than a gang was last placed, or the job's hold last expired; the wait for a hold then starts again.
	tasks                map[int]*task         // Placed tasks by index.
	results              []cyclamendyke.TaskResult
	done, failed         int            // Tasks that succeeded and that failed; each exit of a service's task counts as failed.
	startsSent           int            // Starts sent, less those that certainly had no effect.
	sentIndices          indexSet       // Tasks of a non-repeatable job whose start may have had an effect.
	mayHaveStarted       bool           // A task may have started in an earlier term.
	outcomeUnknown       bool           // A task may have run without a result.
	orphan               bool           // Adopted from a worker, and not yet resubmitted or restored from the journal.
	journaled            bool           // The journal has, or may have, a record of the job.
	tasksPerRack         map[string]int // Placed tasks by rack.
	taskFailures         map[int]int    // Failures by task index; nil if there is none.
	gangFailures         int
	gangStopping         bool      // A task was lost or failed; the others are stopped before the gang restarts.
	failedOn             []*worker // Workers on which it failed; it avoids them where it can.
	restartDelay         time.Duration
	notBefore            time.Time // A restarted service's earliest next start.
	heldWorker           *worker   // The worker held for its next task.
	pendingEvictions     int       // Evictions for this job whose tasks have not all ended.
	preemptTimerSet      bool
	outcome              cyclamendyke.Outcome
	lastRecorded         time.Time            // When its results were last written to the journal.
	pendingOutcome       cyclamendyke.Outcome // Sent once the final record is stored.
	endedAt              time.Time            // When the job ended; pruneFinished sets it again if tasks still run.
	ranOn                []cyclamendyke.WorkerName
	coreSeconds          float64
	accountedCoreSeconds float64 // Core seconds already sent to the account.
}

func newJob(spec cyclamendyke.Job, kind policy.Policy, seq uint64) *job {
	return &job{
		spec:         spec,
		policy:       kind,
		seq:          seq,
		need:         spec.PerTask,
		waiting:      newIndexSet(spec.Tasks),
		waitingSince: spec.AcceptedAt,
		tasks:        make(map[int]*task),
		tasksPerRack: make(map[string]int),
		outcome:      cyclamendyke.Outcome{Request: spec.Request, Verdict: cyclamendyke.VerdictPending},
	}
}

// tasksInOrder returns the placed tasks by index.
func (j *job) tasksInOrder() []*task {
	placed := make([]*task, 0, len(j.tasks))
	for _, t := range j.tasks {
		placed = append(placed, t)
	}
	slices.SortFunc(placed, func(a, b *task) int { return a.id.Index - b.id.Index })
	return placed
}

// notRun reports whether certainly no task of the job has ever started.
func (j *job) notRun() bool {
	return j.startsSent == 0 && !j.mayHaveStarted && !j.outcomeUnknown && len(j.results) == 0
}

func (j *job) hasFailedOn(w *worker) bool {
	return slices.Contains(j.failedOn, w)
}

func (j *job) status() cyclamendyke.JobStatus {
	waiting := j.waiting.count
	if j.state == jobEnded {
		waiting = 0
	}
	return cyclamendyke.JobStatus{
		Job:     j.spec,
		Waiting: waiting,
		Running: len(j.tasks),
		Done:    j.done,
		Failed:  j.failed,
		Outcome: j.outcome,
	}
}
