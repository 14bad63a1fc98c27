package dispatch

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/crash"
)

// stepRun is one step of one occurrence.
type stepRun struct {
	job            *job
	occ            *occurrence
	index          int
	spec           *cyclamendyke.Step
	tasks          []task
	tasksDone      int
	released       bool // Its occurrence is due and its preceding steps are done.
	active         bool // Released, with tasks that are not done.
	inActiveList   bool // Present in activeSteps.steps.
	releasedAt     time.Duration
	failedRuns     []int64 // Numbers of a gang's failed runs.
	gangCrashes    crash.History
	needsStable    bool          // A suspected task waits for a target whose machine has not crashed lately.
	stableUntil    time.Duration // How long suspected tasks wait for such a target.
	advice         stepAdvice
	rankKey        rankKey
	haste          float64 // How much it gains by a fast target, from -1 to 1.
	unplacedReason string  // Last logged reason for not being placed.
	phase          phase
	phaseSince     time.Duration
	claims         []*claim
	claimedFrom    time.Duration // When it is expected to start on the targets that it claims.
	preemptedUntil time.Duration // Until then its claims are on room freed by preemption.
	measured       []measuredRun // Its tasks that are done, until all are.
	measuredWork   float64       // Sum of their work.
}

// task is one task of a step.
type task struct {
	done        bool
	runs        []*run
	failedRuns  []int64       // Numbers of failed runs; stopped runs do not count.
	crashes     crash.History // Of a gang's members, only stepRun.gangCrashes is used.
	checkpoint  string
	preemptions int                   // How often a run was stopped for more urgent work.
	avoidTarget cyclamendyke.TargetID // Target on which it last failed or made no progress.
}

// urgent reports whether the step's queue has priority 0.
func (step *stepRun) urgent(s *Scheduler) bool {
	queue := step.job.queue(s)
	return queue != nil && queue.Priority == 0
}
