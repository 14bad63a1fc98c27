package dispatch

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/indexset"
)

// The limits of what open occurrences and steps may hold at a time, in bytes. Others are released once some of these are done.
const (
	maxOpenBytes    = 24 << 20 // Of all workflows.
	maxJobOpenBytes = 6 << 20  // Of one workflow. It may have one occurrence and one step, however large these are.
)

// stepBytes estimates the memory that an open step takes.
func stepBytes(spec *cyclamendyke.Step) int {
	return 800 + spec.Count*3/4
}

// occurrenceBytes estimates the memory that an open occurrence takes beside its open steps.
func occurrenceBytes(j *job) int {
	return 200 + 17*len(j.spec.Steps)
}

// occurrences holds the repetitions of a workflow. Those that are not due yet, and those that are done, take no memory of
// their own.
type occurrences struct {
	open []*occurrence   // By number.
	over indexset.Ranges // Those of which all steps are done.
	next int             // The first one that has not been released.

	openBytes int // Estimated memory of those that are open.
}

// find returns an occurrence that is open, or nil.
func (o *occurrences) find(number int) *occurrence {
	if at, isOpen := o.search(number); isOpen {
		return o.open[at]
	}
	return nil
}

func (o *occurrences) search(number int) (int, bool) {
	return slices.BinarySearchFunc(o.open, number, func(occ *occurrence, number int) int { return cmp.Compare(occ.number, number) })
}

// openSteps iterates over the steps of the workflow's open occurrences.
func (o *occurrences) openSteps() iter.Seq[*stepRun] {
	return func(yield func(*stepRun) bool) {
		for _, occ := range slices.Clone(o.open) {
			for _, step := range occ.steps {
				if step != nil && !yield(step) {
					return
				}
			}
		}
	}
}

// isComplete reports whether all occurrences of the workflow are over.
func (j *job) isComplete() bool {
	return j.over.Count() == j.spec.Occurrences()
}

// unopened returns the number of occurrences that are neither open nor over.
func (j *job) unopened() int {
	unopened := j.spec.Occurrences() - j.over.Count()
	for _, occ := range j.open {
		if !j.over.Has(occ.number) {
			unopened--
		}
	}
	return unopened
}

// open opens an occurrence of a workflow that is not open. One that is over is opened as such.
func (s *Scheduler) open(j *job, number int) *occurrence {
	occ := newOccurrence(j, number)
	at, _ := j.search(number)
	j.open = slices.Insert(j.open, at, occ)
	s.addOpenBytes(j, occurrenceBytes(j))
	return occ
}

// occurrenceChanged notes that steps of an occurrence are done.
func (s *Scheduler) occurrenceChanged(occ *occurrence) {
	s.releaseReady(occ)
	if occ.isDone() {
		occ.job.over.Add(occ.number)
		s.closeIfOver(occ)
	}
}

// closeIfOver frees the memory of an occurrence that is over, once its runs have ended.
func (s *Scheduler) closeIfOver(occ *occurrence) {
	j := occ.job
	at, isOpen := j.search(occ.number)
	if !isOpen || j.open[at] != occ || occ.runs > 0 || !j.over.Has(occ.number) {
		return
	}
	for _, step := range occ.steps {
		if step != nil {
			s.closeStep(step)
		}
	}
	j.open = slices.Delete(j.open, at, at+1)
	s.addOpenBytes(j, -occurrenceBytes(j))
}

// closeAll frees the memory of a workflow's occurrences, when the workflow is forgotten.
func (s *Scheduler) closeAll(j *job) {
	for _, occ := range j.open {
		delete(s.unreleasedSteps, occ)
	}
	s.addOpenBytes(j, -j.openBytes)
	j.open = nil
}

func (s *Scheduler) addOpenBytes(j *job, bytes int) {
	j.openBytes += bytes
	s.openBytes += bytes
}

// mayOpen reports whether an occurrence or a step of a workflow may take more memory. A workflow whose open steps are all done
// always may.
func (s *Scheduler) mayOpen(j *job, bytes int) bool {
	if j.openBytes+bytes <= maxJobOpenBytes && s.openBytes+bytes <= maxOpenBytes {
		return true
	}
	for range j.openSteps() {
		return false
	}
	return true
}

// releaseDue releases the occurrences that are due, and the steps that are ready, as far as there is room for them.
func (s *Scheduler) releaseDue() {
	for occ := range s.unreleasedSteps {
		s.releaseReady(occ)
	}
	for j := range s.unreleased {
		for !j.state.IsFinal() && s.releaseNext(j) {
		}
		if j.next >= j.spec.Occurrences() || j.state.IsFinal() {
			delete(s.unreleased, j)
		}
	}
}

// releaseNext releases the next occurrence of a workflow, and reports whether another one may be due.
func (s *Scheduler) releaseNext(j *job) bool {
	j.next = j.over.NextMissing(j.next)
	if j.next >= j.spec.Occurrences() || !s.due(j, j.next) {
		return false
	}
	occ := j.find(j.next)
	if occ == nil {
		if !s.mayOpen(j, occurrenceBytes(j)) {
			return false
		}
		occ = s.open(j, j.next)
	}
	s.releaseSteps(occ)
	j.next++
	return true
}

func (s *Scheduler) due(j *job, number int) bool {
	if j.spec.Repeat == 0 || j.spec.First.IsZero() {
		return true
	}
	return !s.wall.Before(j.spec.First.Add(time.Duration(number) * j.spec.Interval))
}

// hasTask reports whether a workflow has a task, whether its occurrence is open or not.
func (j *job) hasTask(name cyclamendyke.TaskName) bool {
	return name.Occurrence >= 0 && name.Occurrence < j.spec.Occurrences() && name.Step >= 0 && name.Step < len(j.spec.Steps) &&
		name.Index >= 0 && name.Index < j.spec.Steps[name.Step].Count
}

// findStep returns the step of a task, or nil if the task belongs to no workflow. It opens the step for that.
func (s *Scheduler) findStep(name cyclamendyke.TaskName) *stepRun {
	j := s.jobs[name.Workflow]
	if j == nil || !j.hasTask(name) {
		return nil
	}
	occ := j.find(name.Occurrence)
	if occ == nil {
		occ = s.open(j, name.Occurrence)
	}
	return s.openStep(occ, name.Step)
}

// findUnfinished is findStep, but returns nil if the task's step is done and its runs have ended.
func (s *Scheduler) findUnfinished(name cyclamendyke.TaskName) *stepRun {
	j := s.jobs[name.Workflow]
	if j == nil || !j.hasTask(name) {
		return nil
	}
	occ := j.find(name.Occurrence)
	isOver := occ == nil && j.over.Has(name.Occurrence)
	if isOver || occ != nil && occ.done.Has(name.Step) && occ.steps[name.Step] == nil {
		return nil
	}
	return s.findStep(name)
}

// taskState is what is known of a task.
type taskState struct {
	job     *job
	spec    *cyclamendyke.Step
	isDone  bool
	hasRuns bool
}

// lookUp returns what is known of a task without opening its step, or false if the task belongs to no workflow.
func (s *Scheduler) lookUp(name cyclamendyke.TaskName) (taskState, bool) {
	j := s.jobs[name.Workflow]
	if j == nil || !j.hasTask(name) {
		return taskState{}, false
	}
	state := taskState{job: j, spec: &j.spec.Steps[name.Step], isDone: j.over.Has(name.Occurrence)}
	occ := j.find(name.Occurrence)
	if occ == nil {
		return state, true
	}
	state.isDone = occ.done.Has(name.Step)
	if step := occ.steps[name.Step]; step != nil {
		state.isDone, state.hasRuns = step.done.Has(name.Index), len(step.runsOf(name.Index)) > 0
	}
	return state, true
}
