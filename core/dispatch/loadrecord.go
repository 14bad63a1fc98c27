package dispatch

import (
	"encoding/json"

	"cyclamendyke"
	"cyclamendyke/core/indexset"
	"cyclamendyke/core/progress"
)

// Load applies the stored progress of a submitted workflow.
func (s *Scheduler) Load(id cyclamendyke.WorkflowID, value []byte, revision cyclamendyke.Revision) error {
	j := s.jobs[id]
	if j == nil {
		return NewError("load", cyclamendyke.KindNotFound, nil)
	}
	j.revision = revision
	if len(value) == 0 {
		return nil
	}
	var stored progress.Workflow
	if err := json.Unmarshal(value, &stored); err != nil {
		return NewError("load", cyclamendyke.KindInvalid, err)
	}
	if stored.State.IsFinal() {
		j.state = stored.State
		j.finalAt = s.now
		j.started = true
		s.markDirty(j) // So that it is stored as a final record.
		return nil
	}
	s.loadProgress(j, &stored)
	return nil
}

// loadProgress applies the stored progress of a workflow that has not ended.
func (s *Scheduler) loadProgress(j *job, stored *progress.Workflow) {
	j.started = j.started || !stored.Over.IsZero()
	for _, over := range stored.Over.All() {
		for number := over[0]; number <= min(over[1], j.spec.Occurrences()-1); number++ {
			j.over.Add(number)
		}
	}
	for _, open := range stored.Open {
		done := indexset.NewBits(len(j.spec.Steps))
		done.AddBytes(open.Done)
		for step := range done.All() {
			s.loadStep(j, progress.Step{Occurrence: open.Number, Step: step, AllDone: true})
		}
	}
	for _, r := range stored.Steps {
		s.loadStep(j, r)
	}
	if j.isComplete() && !j.state.IsFinal() {
		s.finish(j, cyclamendyke.WorkflowCompleted)
	}
}

// loadStep applies the stored progress of a step, unless the workflow has no such step or its occurrence is over.
func (s *Scheduler) loadStep(j *job, r progress.Step) {
	j.hasCrashes = j.hasCrashes || len(r.Crashes) > 0
	if !j.hasTask(cyclamendyke.TaskName{Occurrence: r.Occurrence, Step: r.Step}) || j.over.Has(r.Occurrence) {
		return
	}
	j.started = true
	occ := j.find(r.Occurrence)
	if occ == nil {
		occ = s.open(j, r.Occurrence)
	}
	if occ.done.Has(r.Step) {
		return
	}
	if r.AllDone {
		occ.stepDone(r.Step)
		s.occurrenceChanged(occ)
		return
	}
	step := s.openStep(occ, r.Step)
	step.load(r)
	if step.isDone() {
		occ.stepDone(r.Step)
		s.closeStep(step)
		s.occurrenceChanged(occ)
		return
	}
	s.giveUpIfBlamed(step)
}

// load applies the stored progress of the step's tasks.
func (step *stepRun) load(r progress.Step) {
	done := indexset.NewBits(step.spec.Count)
	done.AddBytes(r.DoneBits)
	for _, i := range r.Done {
		done.Add(i)
	}
	for i := range done.All() {
		step.taskDone(i)
	}
	step.failedRuns = r.FailedRuns[progress.Gang]
	step.gangCrashes.Crashes = r.Crashes[progress.Gang]
	for i, runs := range r.FailedRuns {
		if step.isOpenTask(i) {
			step.tasks.At(i).failedRuns = runs
		}
	}
	for i, crashes := range r.Crashes {
		if step.isOpenTask(i) {
			step.tasks.At(i).crashes.Crashes = crashes
		}
	}
	for i, saved := range r.Checkpoints {
		if step.isOpenTask(i) {
			step.tasks.At(i).checkpoint = saved
		}
	}
}

// isOpenTask reports whether the step has a task that is not done.
func (step *stepRun) isOpenTask(index int) bool {
	return index >= 0 && index < step.spec.Count && !step.done.Has(index)
}
