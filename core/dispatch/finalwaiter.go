package dispatch

import (
	"slices"

	"cyclamendyke"
)

// finalWaiter waits for a workflow's final state to be stored.
type finalWaiter struct {
	notify func()
}

// NotifyFinal calls notify once a final state of a workflow is stored, at once if it is or if the workflow
// is unknown, unless the caller calls the returned function before.
func (s *Scheduler) NotifyFinal(id cyclamendyke.WorkflowID, notify func()) (cancel func()) {
	j := s.jobs[id]
	if j == nil || j.state.IsFinal() && j.storedVersion >= j.version {
		notify()
		return func() {}
	}
	waiter := &finalWaiter{notify: notify}
	j.onFinal = append(j.onFinal, waiter)
	return func() {
		j.onFinal = slices.DeleteFunc(j.onFinal, func(w *finalWaiter) bool { return w == waiter })
	}
}
