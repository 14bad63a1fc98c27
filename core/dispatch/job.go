package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
)

// job is a workflow with its progress.
type job struct {
	spec                *cyclamendyke.Workflow
	acceptedAt          time.Duration // When the workflow was accepted, on this process's clock.
	inherited           bool          // Accepted before this epoch; an earlier epoch may have started some tasks.
	occurrences         []*occurrence
	releasedOccurrences int // Number of occurrences released so far.
	state               cyclamendyke.WorkflowState
	started             bool                  // A task has started.
	overShare           bool                  // The team exceeded its share when it submitted this workflow.
	finalAt             time.Duration         // When the state became final.
	version             int64                 // Version of the progress; increases with each change.
	storedVersion       int64                 // Last version that is stored.
	dirty               bool                  // In the scheduler's list of jobs to be stored.
	storing             bool                  // A record of it is being stored; the next one waits.
	revision            cyclamendyke.Revision // Revision of the stored progress record; zero if there is none.
	onStored            []func()              // Called once the current version is stored.
	onFinal             []*finalWaiter        // Notified once a final state is stored.
	runCount            int                   // Number of its runs, in any state.
	phaseTimes          phaseTimes            // Time that its steps have spent in each phase.
}

// occurrence is one repetition of a workflow's steps.
type occurrence struct {
	number       int
	steps        []*stepRun
	criticalPath time.Duration // Length of the longest chain of estimated work.
	stepsDone    int
}

// stepRun is one step of one occurrence.
type stepRun struct {
	job            *job
	occ            *occurrence
	index          int
	spec           *cyclamendyke.Step
	tasks          []task
	tasksDone      int
	criticalPath   time.Duration // Length of the longest chain of estimated work from this step on.
	released       bool          // Its occurrence is due and its preceding steps are done.
	active         bool          // Released, with tasks that are not done.
	inActiveList   bool          // Present in activeSteps.steps.
	releasedAt     time.Duration
	failedRuns     []int64 // Numbers of a gang's failed runs.
	advice         advice
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
	failedRuns  []int64 // Numbers of failed runs; stopped runs do not count.
	checkpoint  string
	preemptions int                   // How often a run was stopped for more urgent work.
	avoidTarget cyclamendyke.TargetID // Target on which it last failed or made no progress.
}

// runState says what is known of a run.
type runState int

// The states of a run; a run in any of them counts against its target and its team.
const (
	runStarting runState = iota
	runRunning
	runStartUnknown // The answer to its start was lost.
	runStopping
)

// run is one start of a task on a target.
type run struct {
	step           *stepRun
	taskIndex      int
	number         int64
	target         *target
	state          runState
	startedAt      time.Duration // When it was ordered or adopted, or when its start became uncertain.
	confirmedAt    time.Duration // When the target confirmed that it runs.
	progress       progress
	checkpoint     string  // Last reported checkpoint, at first the one that it was started from.
	load           float64 // Last reported load: for a serving task, its tail latency in milliseconds.
	pace           int     // Last ordered percentage of full speed.
	stopSentAt     time.Duration
	stopAcceptedAt time.Duration // When the target accepted the stop; zero before.
	stopInFlight   bool          // A stop request has no answer yet.
	urgent         bool          // Its queue had priority 0 when it was ordered.
	resumed        bool          // It began from a checkpoint.
	adopted        bool          // It was started by an earlier epoch.
}

func (r *run) taskName() cyclamendyke.TaskName {
	return r.step.taskName(r.taskIndex)
}

// urgent reports whether the step's queue has priority 0.
func (step *stepRun) urgent(s *Scheduler) bool {
	queue := step.job.queue(s)
	return queue != nil && queue.Priority == 0
}

func (j *job) queue(s *Scheduler) *cyclamendyke.Queue {
	return s.queues[j.spec.Queue]
}

// Submit adds a workflow that the store has held since revision; a known workflow is left
// unchanged.
func (s *Scheduler) Submit(spec *cyclamendyke.Workflow, revision cyclamendyke.Revision) {
	if _, hasEnded := s.endedJobs[spec.ID]; hasEnded || s.jobs[spec.ID] != nil {
		return
	}
	age := min(max(0, s.wall.Sub(spec.AcceptedAt)), maxAcceptedAge)
	j := &job{
		spec: spec, acceptedAt: s.now - age, inherited: revision <= s.cfg.ElectedRevision, state: cyclamendyke.WorkflowQueued,
	}
	j.overShare = !s.team(spec.Team).takeShareToken(j.acceptedAt)
	s.jobs[spec.ID] = j
	for k := range spec.Occurrences() {
		j.occurrences = append(j.occurrences, newOccurrence(j, k))
	}
	s.enterFirstPhase(j)
	s.unreleased[j] = struct{}{}
	s.expectUrgent(j)
	s.cfg.LogDecision(Decision{Event: EventAccepted, Workflow: spec.ID, Count: len(spec.Steps)})
}

// maxAcceptedAge bounds the age computed from a workflow's acceptance time, since clocks may jump.
const maxAcceptedAge = 2 * time.Minute

func newOccurrence(j *job, number int) *occurrence {
	occ := &occurrence{number: number, criticalPath: criticalPath(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		occ.steps = append(occ.steps, &stepRun{
			job: j, occ: occ, index: i, spec: spec, tasks: make([]task, spec.Count), criticalPath: criticalPathFrom(j.spec.Steps, i),
		})
	}
	return occ
}

// releaseDue releases the occurrences that are due.
func (s *Scheduler) releaseDue() {
	for j := range s.unreleased {
		for !j.state.IsFinal() && j.releasedOccurrences < len(j.occurrences) && s.due(j, j.releasedOccurrences) {
			s.releaseSteps(j.occurrences[j.releasedOccurrences])
			j.releasedOccurrences++
		}
		if j.releasedOccurrences == len(j.occurrences) || j.state.IsFinal() {
			delete(s.unreleased, j)
		}
	}
}

func (s *Scheduler) due(j *job, number int) bool {
	if j.spec.Repeat == 0 || j.spec.First.IsZero() {
		return true
	}
	return !s.wall.Before(j.spec.First.Add(time.Duration(number) * j.spec.Interval))
}

// releaseSteps releases the steps whose preceding steps are done.
func (s *Scheduler) releaseSteps(occ *occurrence) {
	occ.leavePhases(s.now)
	for _, step := range occ.steps {
		if step.released || !occ.ready(step) {
			continue
		}
		step.released = true
		step.releasedAt = s.now
		step.enterPhase(s.now, phasePass)
		if step.tasksDone < len(step.tasks) {
			s.active.add(step)
		}
	}
}

func (o *occurrence) ready(step *stepRun) bool {
	for _, predecessor := range step.spec.After {
		if o.steps[predecessor].tasksDone < len(o.steps[predecessor].tasks) {
			return false
		}
	}
	return true
}

// Cancel ends a workflow and returns false if it is unknown.
//
// It calls onStored once the final state is stored, or at once if it already is.
func (s *Scheduler) Cancel(id cyclamendyke.WorkflowID, onStored func()) bool {
	j := s.jobs[id]
	if j == nil {
		if _, hasEnded := s.endedJobs[id]; hasEnded {
			onStored()
			return true
		}
		return false
	}
	if !j.state.IsFinal() {
		s.cfg.LogDecision(Decision{Event: EventCancelled, Workflow: id})
		s.finish(j, cyclamendyke.WorkflowCancelled)
	}
	if j.storedVersion >= j.version {
		onStored()
	} else {
		j.onStored = append(j.onStored, onStored)
	}
	return true
}

// finish sets the workflow's final state and stops its runs.
func (s *Scheduler) finish(j *job, state cyclamendyke.WorkflowState) {
	j.state = state
	j.finalAt = s.now
	s.markDirty(j)
	s.cfg.LogDecision(Decision{Event: EventFinal, Workflow: j.spec.ID, Reason: string(state), Age: s.now - j.acceptedAt})
	s.logPhases(j)
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			s.active.remove(step)
			for i := range step.tasks {
				for _, r := range step.tasks[i].runs {
					s.stop(r, string(state))
				}
			}
		}
	}
}

// Status returns a workflow's state and team, and whether it is known; a final state that is not
// stored yet is returned as running.
func (s *Scheduler) Status(id cyclamendyke.WorkflowID) (cyclamendyke.WorkflowState, cyclamendyke.TeamName, bool) {
	if ended, ok := s.endedJobs[id]; ok {
		return ended.state, ended.team, true
	}
	j := s.jobs[id]
	if j == nil {
		return "", "", false
	}
	state := j.state
	switch {
	case state.IsFinal() && j.storedVersion < j.version:
		state = cyclamendyke.WorkflowRunning
	case !state.IsFinal() && j.started:
		state = cyclamendyke.WorkflowRunning
	}
	return state, j.spec.Team, true
}

// IsUnfinished reports whether a workflow is known and has no final state.
func (s *Scheduler) IsUnfinished(id cyclamendyke.WorkflowID) bool {
	j := s.jobs[id]
	return j != nil && !j.state.IsFinal()
}

// finalWaiter waits for a workflow's final state to be stored.
type finalWaiter struct {
	notify func()
}

// NotifyFinal calls notify once a final state of a workflow is stored, at once if it is or if the workflow
// is unknown, unless the caller calls the returned function before.
func (s *Scheduler) NotifyFinal(id cyclamendyke.WorkflowID, notify func()) (cancel func()) {
	j := s.jobs[id]
	if j == nil || j.state.IsFinal() && j.storedVersion >= j.version {
		notify()
		return func() {}
	}
	waiter := &finalWaiter{notify: notify}
	j.onFinal = append(j.onFinal, waiter)
	return func() {
		j.onFinal = slices.DeleteFunc(j.onFinal, func(w *finalWaiter) bool { return w == waiter })
	}
}

// Pending counts the queue's workflows that are not final and of which no task has started.
func (s *Scheduler) Pending(queue cyclamendyke.QueueName) int {
	count := 0
	for _, j := range s.jobs {
		if j.spec.Queue == queue && !j.started && !j.state.IsFinal() {
			count++
		}
	}
	return count
}

// endedJob is a workflow whose final state is stored.
type endedJob struct {
	state cyclamendyke.WorkflowState
	team  cyclamendyke.TeamName
	at    time.Duration // When the state became final.
}

// forgetEnded keeps only the state of workflows that have ended, once their runs have ended too, and
// that only for as long as it must stay available.
func (s *Scheduler) forgetEnded() {
	s.ended = slices.DeleteFunc(s.ended, func(j *job) bool {
		if j.runCount > 0 {
			return false
		}
		delete(s.jobs, j.spec.ID)
		s.endedJobs[j.spec.ID] = endedJob{state: j.state, team: j.spec.Team, at: j.finalAt}
		return true
	})
	if s.now < s.forgetAt {
		return
	}
	s.forgetAt = s.now + forgetInterval
	for id, j := range s.endedJobs {
		if s.now-j.at >= s.cfg.Bounds.StatusRetention+expiryMargin {
			delete(s.endedJobs, id)
		}
	}
}

// forgetInterval is the time between two searches for ended workflows to forget.
const forgetInterval = 10 * time.Second
