package dispatch

import (
	"cyclamendyke"
	"cyclamendyke/core/crash"
	"cyclamendyke/core/progress"
)

// listedCrashes are the crashes under a task or a gang, as a list of runs tells the next epoch.
type listedCrashes struct {
	cyclamendyke.StepName
	Task    int            `json:"task"` // As of stepRun.crashIndex.
	Crashes []crash.Record `json:"crashes"`
}

// unstoredCrashes returns the crashes under tasks of workflows that are not stored with all their crashes.
func (s *Scheduler) unstoredCrashes() []listedCrashes {
	var out []listedCrashes
	for _, j := range s.jobs {
		if j.storedVersion >= j.crashVersion {
			continue
		}
		for step := range j.openSteps() {
			out = append(out, step.listCrashes()...)
		}
	}
	return out
}

func (step *stepRun) listCrashes() []listedCrashes {
	var out []listedCrashes
	add := func(index int, crashes []crash.Record) {
		if len(crashes) > 0 {
			out = append(out, listedCrashes{StepName: step.name(), Task: index, Crashes: crashes})
		}
	}
	add(progress.Gang, step.gangCrashes.Crashes)
	for i, task := range step.tasks.All() {
		add(i, task.crashes.Crashes)
	}
	return out
}

// addListedCrashes adds the crashes that the last epoch knew of and had not stored, and gives up the tasks that
// are to blame.
func (s *Scheduler) addListedCrashes(lists []listedCrashes) {
	for _, list := range lists {
		step := s.findUnfinished(cyclamendyke.TaskName{
			Workflow: list.Workflow, Occurrence: list.Occurrence, Step: list.Step, Index: max(0, list.Task),
		})
		if step == nil || step.job.state.IsFinal() || step.crashIndex(max(0, list.Task)) != list.Task {
			continue
		}
		history := step.crashHistory(max(0, list.Task))
		for _, c := range list.Crashes {
			if history.Add(c) {
				s.markDirty(step.job)
				step.job.hasCrashes, step.job.crashVersion = true, step.job.version
			}
		}
		s.giveUpIfBlamed(step)
	}
}

// giveUpIfBlamed fails a workflow if a task of the step is to blame for crashes that an earlier epoch counted.
func (s *Scheduler) giveUpIfBlamed(step *stepRun) {
	if step.spec.Gang {
		s.giveUp(step, 0, &step.gangCrashes)
		return
	}
	for i, task := range step.tasks.All() {
		s.giveUp(step, i, &task.crashes)
	}
}

// giveUp fails a workflow if its task, or its gang, is to blame for the crashes in a history.
func (s *Scheduler) giveUp(step *stepRun, index int, history *crash.History) {
	if step.job.state.IsFinal() || step.done.Has(index) || !history.Blamed() {
		return
	}
	s.cfg.LogDecision(Decision{
		Event: EventBlamed, Workflow: step.job.spec.ID, Task: step.taskName(index).String(), Reason: "by an earlier epoch",
		Count: len(history.Crashes),
	})
	s.finish(step.job, cyclamendyke.WorkflowFailed)
}
