package dispatch

import (
	"slices"

	"cyclamendyke"
)

// finalWaiter waits for a workflow's final state to be stored.
type finalWaiter struct {
	notify func()
}

// NotifyFinal calls notify once the workflow's final state is stored. It calls it at once if that is so
// already or if the workflow is unknown. The returned function cancels the notification.
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
