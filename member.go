package cyclamendyke

import "time"

// Member describes the process of one entry VM, as it registers itself in the store.
type Member struct {
	Name    MemberName `json:"name"`
	Zone    ZoneName   `json:"zone"`
	Region  RegionName `json:"region"`
	Peer    string     `json:"peer"` // IP and port of the protocol between members.
	HTTP    string     `json:"http"` // IP and port of the HTTP interface for callers and operators.
	Started time.Time  `json:"started"`
}

// ZoneScheduler is the store's record of the member that holds a zone's scheduler role.
type ZoneScheduler struct {
	Epoch  Epoch        `json:"epoch"`
	Member Member       `json:"member"`
	Roster []WorkerName `json:"roster"` // Workers of which this term needs a majority.
	// EarlierRosters holds the rosters of earlier terms; until this term is established it also needs a majority of each.
	EarlierRosters [][]WorkerName `json:"earlier,omitempty"`
	Established    bool           `json:"established,omitempty"` // This term has had authority.
}

// MemberState is what a process sends to its peers in each heartbeat.
type MemberState struct {
	Member         Member                 `json:"member"`
	Scheduling     bool                   `json:"scheduling"` // The process has the zone's scheduler role and may act.
	Epoch          Epoch                  `json:"epoch"`
	TablesRevision Revision               `json:"tables-revision"`
	KeysRevision   Revision               `json:"keys-revision"`
	StoreAge       time.Duration          `json:"store-age-ns"` // Time since the store last confirmed this process's view.
	Stopping       bool                   `json:"stopping,omitempty"`
	Pools          map[PoolName]PoolState `json:"pools,omitempty"` // Sent only by the zone's scheduler.
}

// PoolState summarizes the load of one pool in one zone.
type PoolState struct {
	Workers  int       `json:"workers"`
	Capacity Resources `json:"capacity"`
	Reserved Resources `json:"reserved"`
	Waiting  int       `json:"waiting"` // Number of tasks.
}
