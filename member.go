package cyclamendyke

import "time"

// Member is one entry VM's process as it registers itself in the store.
type Member struct {
	Name    MemberName `json:"name"`
	Zone    ZoneName   `json:"zone"`
	Region  RegionName `json:"region"`
	Peer    string     `json:"peer"` // IP and port of the inner protocol.
	HTTP    string     `json:"http"` // IP and port of the callers' and operators' protocol.
	Started time.Time  `json:"started"`
}

// ZoneScheduler is the holder of a zone's scheduler role as written in the store.
type ZoneScheduler struct {
	Epoch  Epoch        `json:"epoch"`
	Member Member       `json:"member"`
	Roster []WorkerName `json:"roster"` // The workers whose majority this term needs.
	// Earlier holds the rosters of earlier terms, a majority of each of which this term needs until it is established.
	Earlier     [][]WorkerName `json:"earlier,omitempty"`
	Established bool           `json:"established,omitempty"`
}

// MemberState is what a process tells its peers in each heartbeat.
type MemberState struct {
	Member         Member                 `json:"member"`
	Scheduling     bool                   `json:"scheduling"`
	Epoch          Epoch                  `json:"epoch"`
	TablesRevision Revision               `json:"tables-revision"`
	KeysRevision   Revision               `json:"keys-revision"`
	StoreAge       time.Duration          `json:"store-age-ns"` // Since the store last confirmed this process's view.
	Stopping       bool                   `json:"stopping,omitempty"`
	Pools          map[PoolName]PoolState `json:"pools,omitempty"` // Only from the zone's scheduler.
}

// PoolState summarises the load of one pool in one zone.
type PoolState struct {
	Workers  int       `json:"workers"`
	Capacity Resources `json:"capacity"`
	Reserved Resources `json:"reserved"`
	Waiting  int       `json:"waiting"` // Tasks.
}
