package cyclamendyke

import (
	"fmt"
	"time"
)

// ZoneLoss says what happens to a route's work when its whole zone falls silent.
type ZoneLoss string

// ZoneLossStay leaves the work with its zone, which may be cut off and still running it.
const ZoneLossStay ZoneLoss = "stay"

// Route is one row of the table of routes.
type Route struct {
	Name     RouteName
	Kind     JobKind
	Pools    []PoolName // In order of preference.
	Teams    []TeamName // Empty only when the route is open.
	Open     bool       // Accepts work without a key.
	Urgent   bool       // Accepts urgent work.
	MaxQueue int        // Waiting jobs a team may have here, in each zone.
	ZoneLoss ZoneLoss
}

// Team is one team with its share and upper limit, part of the table of routes.
type Team struct {
	Name  TeamName
	Share int       // Weight when the fleet is full.
	Limit Resources // Upper limit of what runs across the whole fleet; a zero component is not limited.
}

// Pool is one row of the table of pools.
type Pool struct {
	Name     PoolName
	Shape    Resources // What one VM of the pool holds.
	Zones    []ZoneName
	Kinds    []JobKind // The kinds of job it may hold.
	Headroom int       // Percentage of cores and memory kept free for declared sizes that prove too small.
}

// Tables is one accepted revision of both tables, validated together.
type Tables struct {
	Revision Revision
	Routes   map[RouteName]Route
	Teams    map[TeamName]Team
	Pools    map[PoolName]Pool
}

// TablesText is the text of both tables as operators write them and as the store keeps it.
type TablesText struct {
	Routes string `json:"routes"`
	Pools  string `json:"pools"`
}

// Fault is one thing wrong with a table or with a settings file.
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

// KeyRecord is one key of a team as the store keeps it; the secret itself is never stored.
type KeyRecord struct {
	ID        string    `json:"id"`
	Team      TeamName  `json:"team"`
	Hash      string    `json:"hash"` // SHA-256 of the secret in hexadecimal.
	Granted   time.Time `json:"granted"`
	Withdrawn time.Time `json:"withdrawn,omitzero"`
}

// Allotment is the part of a team's upper limit that one zone may use.
type Allotment struct {
	Held Resources `json:"held"` // Counts as used by the zone whether or not it is reachable.
	Want Resources `json:"want"` // What the zone would use if it could.
}

// TeamAllotments is the division of one team's upper limit over the zones.
type TeamAllotments struct {
	Limit Resources              `json:"limit"`
	Zones map[ZoneName]Allotment `json:"zones"`
}
