package cyclamendyke

import (
	"fmt"
	"time"
)

// ZoneLoss determines what happens to a route's work when its whole zone becomes unreachable.
type ZoneLoss string

// ZoneLossStay leaves the work to its zone, which may be partitioned and still running it.
const ZoneLossStay ZoneLoss = "stay"

// Route is one row of the table of routes.
type Route struct {
	Name     RouteName
	Kind     JobKind
	Pools    []PoolName // In order of preference.
	Teams    []TeamName // Empty only when the route is open.
	Open     bool       // Accepts work without a key.
	Urgent   bool       // Accepts urgent work.
	MaxQueue int        // Maximum number of waiting jobs per team and zone.
	ZoneLoss ZoneLoss
}

// Team is one team with its share and upper limit, part of the table of routes.
type Team struct {
	Name  TeamName
	Share int       // Relative weight when the fleet is full.
	Limit Resources // Upper limit of what runs in the whole fleet; a zero component is unlimited.
}

// Pool is one row of the table of pools.
type Pool struct {
	Name     PoolName
	Shape    Resources // Capacity of one VM of the pool.
	Zones    []ZoneName
	Kinds    []JobKind // Kinds of job that may run in the pool; empty stands for all.
	Headroom int       // Percentage of cores and memory kept free for tasks that use more than they declared.
}

// Tables is one accepted revision of the tables of routes and pools, which are validated together.
type Tables struct {
	Revision Revision
	Routes   map[RouteName]Route
	Teams    map[TeamName]Team
	Pools    map[PoolName]Pool
}

// TablesText is the text of both tables, as written by operators and kept in the store.
type TablesText struct {
	Routes string `json:"routes"`
	Pools  string `json:"pools"`
}

// Fault is one error in a table or in a settings file.
type Fault struct {
	File   string `json:"file"` // "routes", "pools" or the name of a settings file.
	Line   int    `json:"line"`
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// String returns the fault as file:line: key: reason.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Reason)
}

// KeyRecord is one API key of a team as kept in the store; the secret itself is never stored.
type KeyRecord struct {
	ID          string    `json:"id"`
	Team        TeamName  `json:"team"`
	Hash        string    `json:"hash"` // SHA-256 of the secret in hexadecimal.
	GrantedAt   time.Time `json:"granted"`
	WithdrawnAt time.Time `json:"withdrawn,omitzero"` // Zero while the key is valid.
}

// Allotment is the part of a team's upper limit that one zone may use.
type Allotment struct {
	Held Resources `json:"held"` // What the zone may use; not available to other zones, even while the zone is unreachable.
	Want Resources `json:"want"` // What the zone would use if its allotment were large enough.
}

// TeamAllotments is the division of one team's upper limit among the zones.
type TeamAllotments struct {
	Limit Resources              `json:"limit"`
	Zones map[ZoneName]Allotment `json:"zones"`
}
