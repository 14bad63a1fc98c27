package explain

import (
	"fmt"
	"strings"

	"cyclamendyke/core/dispatch"
)

// tellContext tells a record about the whole fleet or about a target.
func (h *history) tellContext(r *orderedRecord) string {
	switch r.Message {
	case messageElected:
		return fmt.Sprintf("elected as the scheduler, epoch %d", r.Epoch)
	case messageTermStarted:
		return fmt.Sprintf("the scheduler of epoch %d has loaded what the store holds", r.Epoch)
	case messageTermEnded:
		return fmt.Sprintf("the term of epoch %d ended: %s", r.Epoch, r.Reason)
	case messageSessionLost:
		return "lost its session in the store"
	case messageStoreState:
		return tellStoreState(r)
	case messageSettled:
		return h.tellSettled(r)
	case messageTargetCrashed:
		return fmt.Sprintf("target %s crashed under %s: %s", r.Target, plural(r.Count, "run"), r.Reason)
	case messageTargetAvoided:
		return tellAvoided(r)
	case messageEvacuation:
		return r.Reason
	case messageTargetChanged:
		return fmt.Sprintf("target %s: %s", r.Target, r.Reason)
	}
	return tellOther(r)
}

func tellAvoided(r *orderedRecord) string {
	if r.Reason == dispatch.ReasonCrashes {
		return fmt.Sprintf("target %s is avoided after %d crashes of its machine with no task to blame", r.Target, r.Count)
	}
	return fmt.Sprintf("target %s is avoided after %s of different workflows", r.Target, plural(r.Count, "failure"))
}

func tellStoreState(r *orderedRecord) string {
	if r.Err == "" {
		return "the store: " + r.State
	}
	return fmt.Sprintf("the store: %s; %s", r.State, r.Err)
}

func (h *history) tellSettled(r *orderedRecord) string {
	text := fmt.Sprintf("the scheduler of epoch %d knows what earlier epochs may have left running", r.Epoch)
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	unreported := h.unreported(r.Epoch)
	if len(unreported) == 0 {
		return text
	}
	var names []string
	for _, run := range unreported {
		names = append(names, run.description)
	}
	text += "; not reported by any target so far: " + strings.Join(names, ", ")
	if r.Reason == "" || leavesNoTasks(r.Reason) {
		for _, run := range unreported {
			run.close(endNotFound)
		}
	}
	return text
}

// noTasksLeft are the endings, of this and of earlier versions, of the reason of a scheduler that knows where
// all tasks run.
var noTasksLeft = [...]string{", 0 tasks may still run or be done there", ", 0 tasks may still run there"}

// leavesNoTasks reports whether a reason says that no task may run on a target that has not answered.
func leavesNoTasks(reason string) bool {
	for _, ending := range noTasksLeft {
		if strings.HasSuffix(reason, ending) {
			return true
		}
	}
	return false
}
