package dispatch

import (
	"time"
)

// occurrence is one repetition of a workflow's steps.
type occurrence struct {
	number       int
	steps        []*stepRun
	criticalPath time.Duration // Length of the longest chain of estimated work.
	stepsDone    int
}

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
