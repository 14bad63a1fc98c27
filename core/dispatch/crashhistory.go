package dispatch

import (
	"fmt"

	"cyclamendyke/core/crash"
	"cyclamendyke/core/progress"
)

// crashHistory returns the crashes under a task, or under its gang, to be changed.
func (step *stepRun) crashHistory(index int) *crash.History {
	if step.spec.Gang {
		return &step.gangCrashes
	}
	return &step.tasks.At(index).crashes
}

// crashes returns the crashes under a task, or under its gang.
func (step *stepRun) crashes(index int) crash.History {
	if step.spec.Gang {
		return step.gangCrashes
	}
	if t := step.tasks.Peek(index); t != nil {
		return t.crashes
	}
	return crash.History{}
}

// isSuspected reports whether a task, or its gang, must be tried apart from other work.
func (step *stepRun) isSuspected(index int) bool {
	history := step.crashes(index)
	return history.Suspected()
}

// crashIndex returns the index under which a task's crashes are kept: its own, or that of its gang.
func (step *stepRun) crashIndex(index int) int {
	if step.spec.Gang {
		return progress.Gang
	}
	return index
}

// crashMembers returns what a crash under a task names as the member of its gang, which is nil if it has none.
func (step *stepRun) crashMembers(index int) []int {
	if step.spec.Gang {
		return []int{index}
	}
	return nil
}

// crashesStored reports whether the next epoch would know of all crashes under a task.
func (step *stepRun) crashesStored(index int) bool {
	return len(step.crashes(index).Crashes) == 0 || step.job.storedVersion >= step.job.crashVersion
}

// crashNote says in a log line how many crashes there were under a task that is started.
func (step *stepRun) crashNote(index int) string {
	count := len(step.crashes(index).Crashes)
	if count == 0 {
		return ""
	}
	return fmt.Sprintf(", after %d crashes", count)
}
