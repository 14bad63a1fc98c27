package explain

import (
	"strings"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
)

// Messages of the log besides the scheduler's decisions.
const (
	messageSubmit        = "submit"
	messageCancel        = "cancel"
	messageLook          = "look"
	messageElected       = "elected"
	messageTermStarted   = "term started"
	messageTermEnded     = "term ended"
	messageSessionLost   = "session lost"
	messageStoreState    = "store state changed"
	messageLinesDropped  = "log lines dropped"
	messageCannotNotify  = "cannot notify scheduler"
	messageAdviceFailed  = "advice request failed"
	messageStartFailed   = "start failed"
	messagePace          = "pace"
	messageSettled       = string(dispatch.EventSettled)
	messageTargetChanged = string(dispatch.EventTargetChanged)
	messageTargetCrashed = string(dispatch.EventTargetCrashed)
	messageTargetAvoided = string(dispatch.EventTargetAvoided)
	messageEvacuation    = string(dispatch.EventEvacuation)
)

// isTargetRoutine reports whether the reason of a target record explains nothing.
func isTargetRoutine(reason string) bool {
	return reason == "listed" || reason == "new" || strings.HasPrefix(reason, "new at ")
}

// isContext reports whether records with a message are about the whole fleet or about a target.
func isContext(message string) bool {
	switch message {
	case messageElected, messageTermStarted, messageTermEnded, messageSessionLost, messageStoreState,
		messageLinesDropped, messageSettled, messageTargetChanged, messageTargetCrashed, messageTargetAvoided, messageEvacuation:
		return true
	}
	return false
}

// isAboutTarget reports whether a context record matters only for runs on its target.
func isAboutTarget(message string) bool {
	return message == messageTargetChanged || message == messageTargetCrashed || message == messageTargetAvoided
}

// isDecision reports whether a record is of a scheduler, which always names its epoch.
func isDecision(message string) bool {
	switch dispatch.Event(message) {
	case dispatch.EventAccepted, dispatch.EventPlaced, dispatch.EventStartRefused, dispatch.EventStartUnknown,
		dispatch.EventAdopted, dispatch.EventEnded, dispatch.EventPreempted, dispatch.EventStopOrdered,
		dispatch.EventFinal, dispatch.EventCancelled, dispatch.EventTargetChanged, dispatch.EventTargetCrashed, dispatch.EventSettled,
		dispatch.EventCrashExcused, dispatch.EventCapacities, dispatch.EventSuspected, dispatch.EventTrusted, dispatch.EventBlamed,
		dispatch.EventAdvised, dispatch.EventTargetAvoided, dispatch.EventUnplaced, dispatch.EventLate,
		dispatch.EventEvacuation:
		return true
	}
	return message == messageElected || message == messageTermStarted || message == messageTermEnded
}

// isIncomplete reports whether a record lacks a field that its message always has, so that its line
// must have been cut.
func isIncomplete(record *cyclamendyke.LogRecord) bool {
	switch record.Message {
	case messageSubmit, messageCancel, messageLook:
		return record.Result == ""
	}
	return isDecision(record.Message) && record.Epoch == 0
}
