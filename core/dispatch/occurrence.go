package dispatch

import (
	"time"

	"cyclamendyke/core/indexset"
)

// occurrence is one repetition of a workflow's steps, from when it is due until it is done and its runs have ended. Its steps
// take memory from their release until they are done and their runs have ended.
type occurrence struct {
	job      *job
	number   int
	steps    []*stepRun    // Nil for those that are not open.
	done     indexset.Bits // Steps of which all tasks are done.
	waitsFor []int32       // By step: its dependencies that are not done.
	ready    []int32       // Steps that can be released once there is room for them.
	isDue    bool          // Its steps are released once their dependencies are done.
	dueAt    time.Duration
	runs     int // Number of runs of its tasks.
}

func newOccurrence(j *job, number int) *occurrence {
	occ := &occurrence{
		job: j, number: number, steps: make([]*stepRun, len(j.spec.Steps)), waitsFor: j.graph.Predecessors(),
		done: indexset.NewBits(len(j.spec.Steps)),
	}
	if j.over.Has(number) {
		occ.done = indexset.FullBits(len(j.spec.Steps))
	}
	return occ
}

// isDone reports whether all steps of the occurrence are done.
func (o *occurrence) isDone() bool {
	return o.done.IsFull()
}

// openStep returns a step of an occurrence, and opens it if it is not open. One that is done is opened as such.
func (s *Scheduler) openStep(occ *occurrence, index int) *stepRun {
	if step := occ.steps[index]; step != nil {
		return step
	}
	step := newStepRun(occ, index)
	if occ.done.Has(index) {
		step.completeAll()
	}
	occ.steps[index] = step
	s.addOpenBytes(occ.job, stepBytes(step.spec))
	return step
}

// closeStep frees the memory of a step that is done and has no runs.
func (s *Scheduler) closeStep(step *stepRun) {
	occ := step.occ
	if occ.steps[step.index] != step || !occ.done.Has(step.index) || step.runs > 0 {
		return
	}
	occ.steps[step.index] = nil
	s.addOpenBytes(occ.job, -stepBytes(step.spec))
}

// releaseSteps releases the steps of an occurrence that has become due, as far as their dependencies are done.
func (s *Scheduler) releaseSteps(occ *occurrence) {
	occ.isDue, occ.dueAt = true, s.now
	for i, count := range occ.waitsFor {
		if count == 0 && !occ.done.Has(i) {
			occ.ready = append(occ.ready, int32(i))
		}
	}
	s.releaseReady(occ)
}

// releaseReady releases the steps that wait for nothing but room, and remembers the occurrence if some are left.
func (s *Scheduler) releaseReady(occ *occurrence) {
	for len(occ.ready) > 0 && !occ.job.state.IsFinal() {
		index := int(occ.ready[0])
		if occ.steps[index] == nil && !s.mayOpen(occ.job, stepBytes(&occ.job.spec.Steps[index])) {
			s.unreleasedSteps[occ] = struct{}{}
			return
		}
		occ.ready = occ.ready[1:]
		s.releaseStep(s.openStep(occ, index))
	}
	delete(s.unreleasedSteps, occ)
	occ.ready = nil
}

// releaseStep has a step take part in the passes until all its tasks are done.
func (s *Scheduler) releaseStep(step *stepRun) {
	if step.released {
		return
	}
	step.released = true
	step.releasedAt = s.now
	if step.job.spec.Repeat == 0 && len(step.spec.After) == 0 {
		step.phase, step.phaseSince = phasePass, step.job.submittedAt // It has waited for this since the submission.
	}
	step.enterPhase(s.now, phasePass)
	s.active.add(step)
}

// stepDone counts a step as done, and notes which steps it was the last dependency of.
func (o *occurrence) stepDone(index int) {
	if !o.done.Add(index) {
		return
	}
	for _, next := range o.job.graph.Successors(index) {
		o.waitsFor[next]--
		if o.waitsFor[next] == 0 && o.isDue {
			o.ready = append(o.ready, next)
		}
	}
}
