package dispatch

import (
	"time"
)

// occurrence is one repetition of a workflow's steps.
type occurrence struct {
	number    int
	steps     []*stepRun
	waitsFor  []int32 // By step: its dependencies that are not done.
	isDue     bool    // Its steps are released once their dependencies are done.
	stepsDone int
}

func newOccurrence(j *job, number int) *occurrence {
	occ := &occurrence{number: number, waitsFor: j.graph.Predecessors()}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		occ.steps = append(occ.steps, &stepRun{job: j, occ: occ, index: i, spec: spec, tasks: make([]task, spec.Count)})
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

// releaseSteps releases the steps of an occurrence that has become due, as far as their dependencies are done.
func (s *Scheduler) releaseSteps(occ *occurrence) {
	occ.isDue = true
	for _, step := range occ.steps {
		if occ.waitsFor[step.index] == 0 {
			s.releaseStep(step)
		}
	}
}

// releaseStep has a step take part in the passes until all its tasks are done.
func (s *Scheduler) releaseStep(step *stepRun) {
	if step.released {
		return
	}
	step.released = true
	step.releasedAt = s.now
	if step.tasksDone == len(step.tasks) {
		step.enterPhase(s.now, phaseNone)
		return
	}
	step.enterPhase(s.now, phasePass)
	s.active.add(step)
}

// stepDone counts a step as done, and returns the steps whose last dependency it was.
func (o *occurrence) stepDone(step *stepRun) []*stepRun {
	o.stepsDone++
	if o.isDone() {
		step.job.completed++
	}
	var ready []*stepRun
	for _, next := range step.job.graph.Successors(step.index) {
		o.waitsFor[next]--
		if o.waitsFor[next] == 0 {
			ready = append(ready, o.steps[next])
		}
	}
	return ready
}

// isDone reports whether all steps of the occurrence are done.
func (o *occurrence) isDone() bool {
	return o.stepsDone == len(o.steps)
}
