package dispatch

import (
	"time"

	"cyclamendyke"
)

// job is a workflow with its progress.
type job struct {
	spec        *cyclamendyke.Workflow
	seen        time.Duration // When it was accepted, on this process's clock.
	inherited   bool          // An earlier epoch may have started some of it.
	occurrences []*occurrence
	released    int // Occurrences that are due.
	state       cyclamendyke.WorkflowState
	began       bool          // A task has started.
	over        bool          // Beyond its team's share when it came.
	finalAt     time.Duration // When the state became final.
	version     int64         // Of the part that must be kept.
	durable     int64         // The last version that is kept.
	queued      bool          // In the list of jobs to be kept.
	revision    cyclamendyke.Revision
	waiters     []func()
}

// occurrence is one run through all steps.
type occurrence struct {
	number int
	steps  []*stepRun
	chain  time.Duration // The longest chain of estimated work.
	done   int
}

// stepRun is one step of one occurrence.
type stepRun struct {
	job      *job
	occ      *occurrence
	index    int
	spec     *cyclamendyke.Step
	tasks    []task
	done     int
	chain    time.Duration // The longest chain of estimated work from it on.
	released bool
	active   bool          // Released, with tasks that are not done;
	listed   bool          // it is in the list of active steps.
	since    time.Duration // When it was released.
	fails    []int64       // Runs of a gang that failed.
	advice   advice
	order    orderKey
	noted    string // The last reason for not being placed.
	claims   int
}

// task is one task of a step.
type task struct {
	done       bool
	runs       []*run
	fails      []int64 // Runs that failed by themselves.
	checkpoint string
	avoid      cyclamendyke.TargetID // Where it failed last.
}

// runState says what is known of a run.
type runState int

// The states of a run; all of them count against target and team.
const (
	runStarting runState = iota
	runRunning
	runDoubted // The answer to its start was lost.
	runStopping
)

// run is one start of a task on a target.
type run struct {
	step       *stepRun
	index      int
	number     int64
	target     *target
	state      runState
	started    time.Duration
	confirmed  time.Duration // When the target said that it runs.
	percent    int
	moved      time.Duration // When the percentage changed last.
	checkpoint string
	load       float64
	pace       int
	stopSent   time.Duration
	stopped    time.Duration // When the stop was answered; zero before.
	stopping   bool          // A stop is under way.
}

func (r *run) name() cyclamendyke.TaskName {
	return r.step.taskName(r.index)
}

func (j *job) queue(s *Scheduler) *cyclamendyke.Queue {
	return s.queues[j.spec.Queue]
}

// Submit takes in a workflow that the store holds since revision; one that is known already is left as it is.
func (s *Scheduler) Submit(spec *cyclamendyke.Workflow, revision cyclamendyke.Revision) {
	if s.jobs[spec.ID] != nil {
		return
	}
	age := min(max(0, s.wall.Sub(spec.Accepted)), maxBacklogAge)
	j := &job{
		spec: spec, seen: s.now - age, inherited: revision <= s.cfg.Elected, state: cyclamendyke.WorkflowQueued,
	}
	j.over = !s.team(spec.Team).withinShare(j.seen)
	s.jobs[spec.ID] = j
	for k := range spec.Occurrences() {
		j.occurrences = append(j.occurrences, newOccurrence(j, k))
	}
	s.timed[j] = struct{}{}
	s.cfg.Decision(Decision{Event: EventAccepted, Workflow: spec.ID, Count: len(spec.Steps)})
}

// maxBacklogAge bounds how long ago a workflow may claim to have been accepted, since clocks may jump.
const maxBacklogAge = 2 * time.Minute

func newOccurrence(j *job, number int) *occurrence {
	occ := &occurrence{number: number, chain: wholeChain(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		occ.steps = append(occ.steps, &stepRun{
			job: j, occ: occ, index: i, spec: spec, tasks: make([]task, spec.Count), chain: chain(j.spec.Steps, i),
		})
	}
	return occ
}

// releaseDue releases the occurrences whose time has come.
func (s *Scheduler) releaseDue() {
	for j := range s.timed {
		for !j.state.IsFinal() && j.released < len(j.occurrences) && s.due(j, j.released) {
			s.releaseSteps(j.occurrences[j.released])
			j.released++
		}
		if j.released == len(j.occurrences) || j.state.IsFinal() {
			delete(s.timed, j)
		}
	}
}

func (s *Scheduler) due(j *job, number int) bool {
	if j.spec.Repeat == 0 || j.spec.First.IsZero() {
		return true
	}
	return !s.wall.Before(j.spec.First.Add(time.Duration(number) * j.spec.Interval))
}

// releaseSteps releases the steps whose earlier steps are done.
func (s *Scheduler) releaseSteps(occ *occurrence) {
	for _, step := range occ.steps {
		if step.released || !occ.ready(step) {
			continue
		}
		step.released = true
		step.since = s.now
		if step.done < len(step.tasks) {
			s.active.add(step)
		}
	}
}

func (o *occurrence) ready(step *stepRun) bool {
	for _, before := range step.spec.After {
		if o.steps[before].done < len(o.steps[before].tasks) {
			return false
		}
	}
	return true
}

// Cancel ends a workflow; kept is called once that is kept, and at once if the workflow had ended before. It returns false for an unknown one.
func (s *Scheduler) Cancel(id cyclamendyke.WorkflowID, kept func()) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.IsFinal() {
		s.cfg.Decision(Decision{Event: EventCancelled, Workflow: id})
		s.finish(j, cyclamendyke.WorkflowCancelled)
	}
	if j.durable >= j.version {
		kept()
	} else {
		j.waiters = append(j.waiters, kept)
	}
	return true
}

// finish gives the workflow its final state and stops what runs of it.
func (s *Scheduler) finish(j *job, state cyclamendyke.WorkflowState) {
	j.state = state
	j.finalAt = s.now
	s.keep(j)
	s.cfg.Decision(Decision{Event: EventFinal, Workflow: j.spec.ID, Reason: string(state), Age: s.now - j.seen})
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

// Status returns a workflow's state as far as it is kept, and its team.
func (s *Scheduler) Status(id cyclamendyke.WorkflowID) (cyclamendyke.WorkflowState, cyclamendyke.TeamName, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", "", false
	}
	state := j.state
	switch {
	case state.IsFinal() && j.durable < j.version:
		state = cyclamendyke.WorkflowRunning
	case !state.IsFinal() && j.began:
		state = cyclamendyke.WorkflowRunning
	}
	return state, j.spec.Team, true
}

// Pending counts the queue's workflows of which no task has started.
func (s *Scheduler) Pending(queue cyclamendyke.QueueName) int {
	count := 0
	for _, j := range s.jobs {
		if j.spec.Queue == queue && !j.began && !j.state.IsFinal() {
			count++
		}
	}
	return count
}

// Expired returns the workflows whose final state need not be kept any longer, and forgets them.
func (s *Scheduler) Expired(limit int) []Expired {
	var out []Expired
	for id, j := range s.jobs {
		if len(out) == limit {
			break
		}
		if !j.state.IsFinal() || j.durable < j.version || s.now-j.finalAt < s.cfg.Bounds.StatusKept+expiryMargin {
			continue
		}
		out = append(out, Expired{ID: id, Revision: j.revision})
		delete(s.jobs, id)
	}
	return out
}

// expiryMargin keeps final states for callers that repeat themselves late.
const expiryMargin = time.Minute

// Expired is a workflow whose record may be removed.
type Expired struct {
	ID       cyclamendyke.WorkflowID
	Revision cyclamendyke.Revision // Of its progress record.
}
