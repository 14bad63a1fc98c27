package scheduler

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

type jobState int

const (
	jobAwaitingRecord  jobState = iota // Until Persisted.
	jobAwaitingBarrier                 // Until nothing unknown of an earlier epoch can be running.
	jobActive
	jobClosing // Until the journal has its end, without which another term might start it.
	jobEnded
)

// job is one request; its waiting tasks are kept as ranges.
type job struct {
	spec           cyclamendyke.Job
	policy         policy.Policy
	seq            uint64
	state          jobState
	queue          *queue
	need           cyclamendyke.Resources // Of one task: as declared, or as reported if that is more.
	waiting        spans
	counted        int // Waiting tasks in the sums of team and pool.
	countedIn      cyclamendyke.PoolName
	waitingSince   time.Time
	lastPlaced     time.Time // When the latest task got its place.
	tasks          map[int]*task
	results        []cyclamendyke.TaskResult
	done, failed   int
	startsSent     int   // Starts that may have had an effect.
	sentOnce       spans // Tasks of a job that must not be repeated whose start may have had an effect.
	mayHaveStarted bool  // In an earlier epoch.
	doubt          bool  // Some task may have run without a result.
	orphan         bool  // Adopted from a worker; no caller is known.
	kept           bool  // In the journal.
	racks          map[string]int
	attempts       map[int]int // Failures of each task that has failed.
	gangAttempts   int
	gangBroken     bool // One task was lost and the others are being stopped.
	failedOn       []*worker
	restartDelay   time.Duration
	notBefore      time.Time
	pinned         *worker // Kept for its next task.
	evicting       int
	preemptTimer   bool
	outcome        cyclamendyke.Outcome
	recorded       time.Time            // When the journal was last given its results.
	ending         cyclamendyke.Outcome // Of a job that is closing.
	endedAt        time.Time
	ranOn          []cyclamendyke.WorkerName
	coreSeconds    float64
	charged        float64 // Core seconds in the account so far.
}

func newJob(spec cyclamendyke.Job, kind policy.Policy, seq uint64) *job {
	return &job{
		spec:         spec,
		policy:       kind,
		seq:          seq,
		need:         spec.PerTask,
		waiting:      newSpans(spec.Tasks),
		waitingSince: spec.Accepted,
		tasks:        make(map[int]*task),
		racks:        make(map[string]int),
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
	return j.startsSent == 0 && !j.mayHaveStarted && !j.doubt && len(j.results) == 0
}

func (j *job) avoids(w *worker) bool {
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
