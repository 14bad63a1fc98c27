package cyclamendyke

import (
	"fmt"
	"strings"
)

// ZoneName names an availability zone.
type ZoneName string

// RegionName names a region, a group of availability zones.
type RegionName string

// TeamName names a team, the customer that jobs and quotas belong to.
type TeamName string

// PoolName names a pool of VMs and joins the two tables.
type PoolName string

// RouteName names a route, which says where work handed in under it goes.
type RouteName string

// WorkerName names a worker VM.
type WorkerName string

// MemberName names one process of the system, unique in the cell.
type MemberName string

// RequestID identifies one accepted or refused request; its text before the last hyphen is the home zone.
type RequestID string

// NewRequestID joins the home zone and a unique suffix that holds no hyphen.
func NewRequestID(zone ZoneName, suffix string) RequestID {
	return RequestID(string(zone) + "-" + suffix)
}

// Zone returns the home zone named in the identifier, or an empty name if it holds none.
func (id RequestID) Zone() ZoneName {
	cut := strings.LastIndexByte(string(id), '-')
	if cut < 0 {
		return ""
	}
	return ZoneName(id[:cut])
}

// TaskID identifies one task of a job.
type TaskID struct {
	Request RequestID `json:"request"`
	Index   int       `json:"index"`
}

// String returns the identifier as request/index.
func (id TaskID) String() string {
	return fmt.Sprintf("%s/%d", id.Request, id.Index)
}

// OpenTeam is the team that work without a key, on routes open to all, is accounted to; its share and limit are set like any other's.
const OpenTeam TeamName = "open"
