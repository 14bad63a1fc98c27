package cyclamendyke

import "time"

// EventKind types an event of the time line.
type EventKind string

// The kinds of event.
const (
	EventAccepted     EventKind = "accepted"
	EventRefused      EventKind = "refused"
	EventPlaced       EventKind = "placed"
	EventStarted      EventKind = "started"
	EventStopped      EventKind = "stopped"
	EventFinished     EventKind = "finished"
	EventAdopted      EventKind = "adopted"
	EventPreempted    EventKind = "preempted"
	EventRenewedLate  EventKind = "renewed-late"
	EventWorkerLost   EventKind = "worker-lost"
	EventWorkerBack   EventKind = "worker-back"
	EventBackOff      EventKind = "back-off"
	EventRoleTaken    EventKind = "role-taken"
	EventRoleLost     EventKind = "role-lost"
	EventRevision     EventKind = "revision-in-force"
	EventQuotaMoved   EventKind = "quota-moved"
	EventStoreLost    EventKind = "store-lost"
	EventStoreBack    EventKind = "store-back"
	EventPeerLost     EventKind = "peer-lost"
	EventPeerBack     EventKind = "peer-back"
	EventAnswered     EventKind = "answered"
	EventKeyWithdrawn EventKind = "key-withdrawn"
)

// Timestamp is a hybrid logical clock reading, ordered by wall time and then by counter.
type Timestamp struct {
	Wall    time.Time `json:"wall"`
	Counter uint32    `json:"counter"`
}

// TimelineEvent is one typed event; fields that do not apply are empty.
type TimelineEvent struct {
	At      Timestamp  `json:"at"`
	Member  MemberName `json:"member"`
	Kind    EventKind  `json:"kind"`
	Request RequestID  `json:"request,omitempty"`
	Task    int        `json:"task,omitempty"`
	Worker  WorkerName `json:"worker,omitempty"`
	Team    TeamName   `json:"team,omitempty"`
	Epoch   Epoch      `json:"epoch,omitzero"`
	Detail  string     `json:"detail,omitempty"`
}

// TimelineFilter selects events; empty fields select everything.
type TimelineFilter struct {
	Request RequestID
	Worker  WorkerName
	Team    TeamName
	Kind    EventKind
}

// AccountRecord is one line of the account of what ran and what was refused.
type AccountRecord struct {
	At      time.Time `json:"at"`
	Zone    ZoneName  `json:"zone"`
	Request RequestID `json:"request,omitempty"` // Empty for a sum of refusals.
	Team    TeamName  `json:"team,omitempty"`
	Route   RouteName `json:"route,omitempty"`
	Verdict Verdict   `json:"verdict"`
	Reason  Reason    `json:"reason,omitempty"`
	Tasks   int       `json:"tasks,omitempty"`
	Count   int       `json:"count"` // Requests that this record stands for.
	// CoreSeconds is what the tasks reserved times how long they ran, in core seconds.
	CoreSeconds float64      `json:"core-seconds,omitempty"`
	Workers     []WorkerName `json:"workers,omitempty"`
}
