package dispatch

import (
	"time"

	"cyclamendyke"
)

// Event names a kind of decision or of change in the scheduler's state.
type Event string

// The events.
const (
	EventAccepted      Event = "accepted"
	EventPlaced        Event = "placed"
	EventStartRefused  Event = "start refused"
	EventStartUnknown  Event = "start in doubt"
	EventAdopted       Event = "adopted"
	EventEnded         Event = "ended"
	EventPreempted     Event = "preempted"
	EventStopOrdered   Event = "stop ordered"
	EventFinal         Event = "final"
	EventCancelled     Event = "cancelled"
	EventTargetChanged Event = "target"
	EventTargetCrashed Event = "target crashed" // Its incarnation is known to have ended without draining.
	EventSettled       Event = "settled"        // The runs left from earlier epochs are known.
	EventAdvised       Event = "advised"
	EventCrashExcused  Event = "crash excused"   // No task is suspected of a crash.
	EventSuspected     Event = "task suspected"  // A target crashed under it.
	EventTrusted       Event = "task trusted"    // A suspected task has worked for longer than before any crash.
	EventBlamed        Event = "task blamed"     // It crashes targets, so that its workflow fails.
	EventCapacities    Event = "capacities"      // Whether the capacities of targets are known.
	EventOverfull      Event = "target overfull" // More runs on it than it has room for.
	EventRecordTooLong Event = "record too long" // The progress of a workflow is not stored, since the store would refuse it.
	EventTargetAvoided Event = "target avoided"
	EventUnplaced      Event = "unplaced"
	EventLate          Event = "late"       // A workflow became final after its target time.
	EventEvacuation    Event = "evacuation" // Operators evacuate an availability zone, or no longer do.
)

// The reasons of EventTargetAvoided.
const (
	ReasonFailures = "consecutive failures"
	ReasonCrashes  = "unexplained crashes" // Of its machine, with no task to blame.
)

// Decision is one decision with the values that led to it, for the log.
type Decision struct {
	Event    Event
	Workflow cyclamendyke.WorkflowID
	Task     string
	Target   cyclamendyke.TargetID
	Run      int64
	Reason   string
	// Age is the age of the target's last answer, a run time, the time since acceptance or the
	// duration of a request, depending on the event.
	Age time.Duration
	// Count is a number of steps, tasks, runs, tickets, targets or failures, or the sequence number of an
	// end, depending on the event.
	Count int
}
