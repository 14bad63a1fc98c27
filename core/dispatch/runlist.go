package dispatch

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// runList is what is stored of all runs, so that the next epoch knows what may run or be done on targets
// that do not answer it. A scheduler whose term has ended gives the next one its final list directly.
type runList struct {
	WrittenAt time.Time       `json:"written"`
	Targets   []runListTarget `json:"targets"`
	Steps     []runListStep   `json:"steps"`
	Crashes   []listedCrashes `json:"crashes,omitempty"` // That are not stored with the progress of their workflows.

	// Only in a final list:
	Epoch           uint64 `json:"epoch,omitempty"`
	LeaseLeftMillis int64  `json:"lease-left-ms,omitempty"` // How long leases of earlier epochs can last on targets without an answer.
}

type runListTarget struct {
	ID            cyclamendyke.TargetID `json:"id"`
	StartedMillis int64                 `json:"born-ms"`
	Final         *finalTarget          `json:"final,omitempty"` // Only in a final list.
}

// runListStep holds the runs of one step, with what they count against, as the workflow may have ended.
type runListStep struct {
	cyclamendyke.StepName
	Team cyclamendyke.TeamName  `json:"team"`
	Need cyclamendyke.Resources `json:"need"`
	Runs []runListRun           `json:"runs"`
}

type runListRun struct {
	Task         int   `json:"task"`
	Target       int   `json:"target"`              // Index in runList.Targets.
	WorkMillis   int64 `json:"work-ms,omitempty"`   // How long it certainly works on from then.
	WorkedMillis int64 `json:"worked-ms,omitempty"` // How long it is known to have worked.
	Ended        bool  `json:"ended,omitempty"`     // It has ended, but that is not stored yet.
}

// The timing of storing the list of runs.
const (
	runListInterval = 200 * time.Millisecond // Minimum time between two lists.
	runListRate     = 64 << 10               // Bytes a second that lists take at most, so that long ones are stored less often.
	maxWorkLeft     = time.Hour              // Longest time for which a run is stored as certain to work.
	wallMargin      = time.Second            // Difference between the wall clocks of two processes that is allowed for.
)

// runConfirmed notes that a run has begun. The list of runs says so only if it certainly outlasts a lease.
func (s *Scheduler) runConfirmed(r *run) {
	if r.worksUntil() > s.now+lease.Longest(s.cfg.Bounds.MaxLease) {
		s.runListDirty = true
	}
}

// HasRunList reports whether the list of runs lacks some and can be stored now.
func (s *Scheduler) HasRunList() bool {
	return s.runListDirty && s.CanStoreRunList()
}

// CanStoreRunList reports whether the list of runs has changed and can be stored now, with other records if it
// lacks none.
func (s *Scheduler) CanStoreRunList() bool {
	return (s.runListDirty || s.runListStale) && !s.runListStoring && s.now >= s.nextRunListAt
}

// TakeRunList returns the list of runs to be stored in place of the last one.
func (s *Scheduler) TakeRunList() ([]byte, error) {
	value, err := s.buildRunList().encode()
	s.nextRunListAt = s.now + max(runListInterval, time.Duration(len(value))*time.Second/runListRate)
	if err != nil {
		return nil, NewError("run list", cyclamendyke.KindInvalid, err)
	}
	s.runListDirty, s.runListStale, s.runListStoring = false, false, true
	return value, nil
}

// RunListStored records that the list of runs that was taken last is stored.
func (s *Scheduler) RunListStored() {
	s.runListStoring = false
}

func (l *runList) encode() ([]byte, error) {
	var buffer bytes.Buffer
	compressed, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(compressed).Encode(l); err != nil {
		return nil, err
	}
	err = compressed.Close()
	return buffer.Bytes(), err
}

func decodeRunList(value []byte) (*runList, error) {
	compressed, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	list := &runList{}
	if err := json.NewDecoder(compressed).Decode(list); err != nil {
		return nil, err
	}
	for _, step := range list.Steps {
		for _, r := range step.Runs {
			if r.Target < 0 || r.Target >= len(list.Targets) {
				return nil, NewError("decode", cyclamendyke.KindInvalid, nil)
			}
		}
	}
	return list, nil
}

// each passes the runs to visit; writtenAt is the earliest time at which the list may have been written.
func (l *runList) each(writtenAt time.Duration, visit func(runListTarget, earlierRun)) {
	for _, step := range l.Steps {
		for _, r := range step.Runs {
			name := cyclamendyke.TaskName{Workflow: step.Workflow, Occurrence: step.Occurrence, Step: step.Step, Index: r.Task}
			earlier := earlierRun{task: name, team: step.Team, need: step.Need, ended: r.Ended, worked: time.Duration(r.WorkedMillis) * time.Millisecond}
			if r.WorkMillis > 0 {
				earlier.worksUntil = writtenAt + time.Duration(r.WorkMillis)*time.Millisecond
			}
			visit(l.Targets[r.Target], earlier)
		}
	}
}

// runListBuilder gathers runs by step.
type runListBuilder struct {
	now   time.Duration
	list  runList
	steps map[cyclamendyke.StepName]int // Indexes in list.Steps.
}

func (s *Scheduler) buildRunList() *runList {
	b := runListBuilder{now: s.now, steps: map[cyclamendyke.StepName]int{}}
	b.list.WrittenAt = s.wall
	b.list.Crashes = s.unstoredCrashes()
	for id, t := range s.targets {
		b.list.Targets = append(b.list.Targets, runListTarget{ID: id, StartedMillis: t.info.StartedMillis})
		for _, r := range t.runs {
			b.add(r.describe())
		}
		for _, end := range t.unstoredEnds {
			b.add(earlierRun{task: end.task, team: end.job.spec.Team, ended: true})
		}
		mayBeLeft := len(t.earlierRuns) > 0 && s.mayHaveUnlistedRuns(t) // It looks at all of them.
		for _, r := range t.earlierRuns {
			if mayBeLeft || t.hasOrphan(r.task) {
				b.add(r)
			}
		}
	}
	return &b.list
}

func (r *run) describe() earlierRun {
	out := earlierRun{task: r.taskName(), team: r.step.job.spec.Team, need: r.step.spec.Reserved()}
	if r.state == runRunning {
		out.worksUntil = r.worksUntil()
		out.worked = max(0, r.target.answeredAt-r.confirmedAt)
	}
	return out
}

// add adds a run on the last target.
func (b *runListBuilder) add(r earlierRun) {
	name := cyclamendyke.StepName{Workflow: r.task.Workflow, Occurrence: r.task.Occurrence, Step: r.task.Step}
	index, isKnown := b.steps[name]
	if !isKnown {
		index = len(b.list.Steps)
		b.steps[name] = index
		b.list.Steps = append(b.list.Steps, runListStep{StepName: name, Team: r.team})
	}
	step := &b.list.Steps[index]
	if !r.ended {
		step.Need = r.need
	}
	left := min(max(0, r.worksUntil-b.now), maxWorkLeft)
	step.Runs = append(step.Runs, runListRun{
		Task: r.task.Index, Target: len(b.list.Targets) - 1, WorkMillis: left.Milliseconds(), Ended: r.ended,
		WorkedMillis: min(r.worked, maxWorkLeft).Milliseconds(),
	})
}

// AddRunList adds the list of runs that an earlier epoch stored, after the known targets.
func (s *Scheduler) AddRunList(value []byte) error {
	list, err := decodeRunList(value)
	if err != nil {
		return NewError("run list", cyclamendyke.KindInvalid, err)
	}
	writtenAt := s.now - max(0, s.wall.Sub(list.WrittenAt)) - wallMargin
	list.each(writtenAt, s.addEarlierRun)
	s.addListedCrashes(list.Crashes)
	return nil
}

// sameTarget returns the target that a list names, or nil if it has gone or restarted since.
func (s *Scheduler) sameTarget(on runListTarget) *target {
	t := s.targets[on.ID]
	if t == nil || on.StartedMillis < t.info.StartedMillis {
		return nil
	}
	return t
}

// addEarlierRun adds a stored run, unless its target has gone or restarted since, or is closed and its
// record names all tasks and not this one.
func (s *Scheduler) addEarlierRun(on runListTarget, r earlierRun) {
	t := s.sameTarget(on)
	if t == nil {
		s.countRestartedCrash(on, r)
		return
	}
	if !t.earlierRunsComplete {
		t.earlierRuns = append(t.earlierRuns, r)
		return
	}
	for i := range t.earlierRuns {
		if t.earlierRuns[i].task == r.task {
			t.earlierRuns[i] = r
		}
	}
}
