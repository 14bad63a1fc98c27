package cyclamendyke

import "time"

// EventKind is the type of a timeline event.
type EventKind string

// The kinds of timeline event.
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

// TimelineEvent is one event of the timeline; fields that do not apply are empty.
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

// TimelineFilter selects timeline events; an empty field matches every event.
type TimelineFilter struct {
	Request RequestID
	Worker  WorkerName
	Team    TeamName
	Kind    EventKind
}

// AccountRecord is one accounting record of work that ran or was refused.
type AccountRecord struct {
	At      time.Time `json:"at"`
	Zone    ZoneName  `json:"zone"`
	Request RequestID `json:"request,omitempty"` // Empty if the record sums up refusals.
	Team    TeamName  `json:"team,omitempty"`
	Route   RouteName `json:"route,omitempty"`
	Verdict Verdict   `json:"verdict"`
	Reason  Reason    `json:"reason,omitempty"`
	Tasks   int       `json:"tasks,omitempty"`
	Count   int       `json:"count"` // Number of requests that the record covers.
	// CoreSeconds is the sum over the tasks of reserved cores times run time.
	CoreSeconds float64      `json:"core-seconds,omitempty"`
	Workers     []WorkerName `json:"workers,omitempty"`
}
