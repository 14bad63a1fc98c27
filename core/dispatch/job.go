package dispatch

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/backlog"
	"cyclamendyke/core/stepgraph"
)

// job is a workflow with its progress.
type job struct {
	spec        *cyclamendyke.Workflow
	acceptedAt  time.Duration // When the workflow was accepted, on this process's clock.
	submittedAt time.Duration // When this epoch heard of it.
	inherited   bool          // An earlier epoch may have started some tasks.
	graph       *stepgraph.Graph
	occurrences
	state         cyclamendyke.WorkflowState
	started       bool                  // A task has started.
	overShare     bool                  // The team exceeded its share when it submitted this workflow.
	finalAt       time.Duration         // When the state became final.
	version       int64                 // Version of the progress; increases with each change.
	storedVersion int64                 // Last version that is stored.
	hasCrashes    bool                  // There are or were crashes under its tasks.
	crashVersion  int64                 // Version that has all crashes under its tasks.
	dirty         bool                  // In the scheduler's list of jobs to be stored.
	storing       bool                  // A record of it is being stored; the next one waits.
	revision      cyclamendyke.Revision // Revision of the stored progress record; zero if there is none.
	onStored      []func()              // Called once the current version is stored.
	onFinal       []*finalWaiter        // Notified once a final state is stored.
	encodeAt      time.Duration         // After its record was too long: when it is encoded next.
	isTooLong     bool                  // Its record was too long to be stored.
	footprint     int64                 // Its part of Scheduler.heldBytes.
	runCount      int                   // Number of its runs, in any state.
	phaseTimes    phaseTimes            // Time that its steps have spent in each phase.
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
	s.learnQueue(spec)
	age := min(max(0, s.wall.Sub(spec.AcceptedAt)), maxAcceptedAge)
	j := &job{
		spec: spec, acceptedAt: s.now - age, submittedAt: s.now, inherited: s.mayBeStarted(spec, revision), state: cyclamendyke.WorkflowQueued,
		graph: stepgraph.New(spec.Steps),
	}
	j.overShare = !s.team(spec.Team).takeShareToken(j.acceptedAt)
	s.jobs[spec.ID] = j
	j.footprint = backlog.Footprint(spec)
	s.heldBytes += j.footprint
	s.enterFirstPhase(j)
	s.unreleased[j] = struct{}{}
	s.expectUrgent(j)
	s.cfg.LogDecision(Decision{Event: EventAccepted, Workflow: spec.ID, Count: len(spec.Steps)})
}

// learnQueue takes over the settings of a workflow's queue that no configuration of this epoch has named, from the
// workflow that was accepted last.
func (s *Scheduler) learnQueue(spec *cyclamendyke.Workflow) {
	learntFrom, isLearnt := s.learntQueues[spec.Queue]
	isNamed := s.queues[spec.Queue] != nil && !isLearnt
	if spec.QueueSettings == nil || isNamed || isLearnt && spec.AcceptedAt.Before(learntFrom) {
		return
	}
	s.queues[spec.Queue] = spec.QueueSettings.Queue(spec.Queue)
	s.learntQueues[spec.Queue] = spec.AcceptedAt
}

// mayBeStarted reports whether an earlier epoch may have started tasks of a workflow.
func (s *Scheduler) mayBeStarted(spec *cyclamendyke.Workflow, revision cyclamendyke.Revision) bool {
	return revision <= s.cfg.ElectedRevision && spec.AfterEpoch+1 != s.cfg.Epoch
}

// maxAcceptedAge bounds the age computed from a workflow's acceptance time, since clocks may jump.
const maxAcceptedAge = 2 * time.Minute

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
	for step := range j.openSteps() {
		s.active.remove(step)
		s.dropTickets(step)
		for _, task := range step.tasks.All() {
			for _, r := range task.runs {
				s.stop(r, string(state))
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

// HeldBytes estimates the memory that the workflows take which have not ended.
func (s *Scheduler) HeldBytes() int64 {
	return s.heldBytes
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
