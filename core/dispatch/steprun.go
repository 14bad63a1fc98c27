package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/crash"
	"cyclamendyke/core/indexset"
	"cyclamendyke/core/paged"
)

// stepRun is one step of one occurrence.
type stepRun struct {
	job            *job
	occ            *occurrence
	index          int
	spec           *cyclamendyke.Step
	tasks          paged.List[task]              // Of what tasks have beside being done; of most there is nothing.
	done           indexset.Bits                 // Tasks that are done.
	waiting        indexset.Bits                 // Tasks that are not done and have no run.
	runs           int                           // Number of runs of its tasks.
	zoneRuns       map[cyclamendyke.ZoneName]int // Number of runs of its tasks in each availability zone.
	released       bool                          // Its occurrence is due and its preceding steps are done.
	active         bool                          // Released, with tasks that are not done.
	inActiveList   bool                          // Present in activeSteps.steps.
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
	unplacedSince  time.Duration // Since when some of its tasks find no place; zero if none does.
	mayReserveAt   time.Duration // When it may ask for room to reserve again, after there were too few targets.
	soonSince      time.Duration // Since when it is expected to start soon on the room that it has reserved; zero if it is not.
	hasSuspects    bool          // Some of its waiting tasks are to be tried apart.
	claimedFrom    time.Duration // When it is expected to start on the targets that it claims.
	preemptedUntil time.Duration // Until then its claims are on room freed by preemption.
	measured       []measuredRun // Its first tasks that are done, until all are.
	measuredWork   float64       // Sum of their work.
}

// task is what is known of one task of a step beside whether it is done.
type task struct {
	runs        []*run
	failedRuns  []int64       // Numbers of failed runs; stopped runs do not count.
	crashes     crash.History // Of a gang's members, only stepRun.gangCrashes is used.
	checkpoint  string
	preemptions int                   // How often a run was stopped for more urgent work.
	avoidTarget cyclamendyke.TargetID // Target on which it last failed or made no progress.
}

func newStepRun(occ *occurrence, index int) *stepRun {
	spec := &occ.job.spec.Steps[index]
	return &stepRun{
		job: occ.job, occ: occ, index: index, spec: spec, tasks: paged.NewList[task](spec.Count),
		done: indexset.NewBits(spec.Count), waiting: indexset.FullBits(spec.Count), zoneRuns: map[cyclamendyke.ZoneName]int{},
		gangCrashes: crash.History{MayLack: occ.job.inherited},
	}
}

// isDone reports whether all tasks of the step are done.
func (step *stepRun) isDone() bool {
	return step.done.IsFull()
}

// completeAll notes that all tasks are done.
func (step *stepRun) completeAll() {
	step.done, step.waiting = indexset.FullBits(step.spec.Count), indexset.NewBits(step.spec.Count)
}

// avoidedTarget returns the target that a task had better avoid, or an empty name.
func (step *stepRun) avoidedTarget(index int) cyclamendyke.TargetID {
	if t := step.tasks.Peek(index); t != nil {
		return t.avoidTarget
	}
	return ""
}

// taskDone notes that a task is done, and reports whether it was not.
func (step *stepRun) taskDone(index int) bool {
	step.waiting.Remove(index)
	return step.done.Add(index)
}

// runsOf returns the runs of a task.
func (step *stepRun) runsOf(index int) []*run {
	if t := step.tasks.Peek(index); t != nil {
		return t.runs
	}
	return nil
}

// addRun adds a run of a task that was started or found.
func (step *stepRun) addRun(r *run) {
	t := step.tasks.At(r.taskIndex)
	t.runs = append(t.runs, r)
	step.waiting.Remove(r.taskIndex)
	r.zone = r.target.info.Zone
	step.zoneRuns[r.zone]++
	step.runs++
	step.occ.runs++
}

// removeRun removes a run that has ended or was refused.
func (step *stepRun) removeRun(r *run) {
	t := step.tasks.At(r.taskIndex)
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	if len(t.runs) == 0 && !step.done.Has(r.taskIndex) {
		step.waiting.Add(r.taskIndex)
	}
	if step.zoneRuns[r.zone]--; step.zoneRuns[r.zone] == 0 {
		delete(step.zoneRuns, r.zone)
	}
	step.runs--
	step.occ.runs--
	step.forgetDone(r.taskIndex)
}

// forgetDone frees the memory of a task that is done, once that of its neighbours is not needed either.
func (step *stepRun) forgetDone(index int) {
	if !step.done.Has(index) {
		return
	}
	step.tasks.Free(index, func(i int, t *task) bool { return !step.done.Has(i) || len(t.runs) > 0 })
}

// urgent reports whether the step's queue has priority 0.
func (step *stepRun) urgent(s *Scheduler) bool {
	queue := step.job.queue(s)
	return queue != nil && queue.Priority == 0
}
