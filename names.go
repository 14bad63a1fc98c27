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

// PoolName names a pool of VMs; rows of the table of routes refer to pools by it.
type PoolName string

// RouteName names a route, which determines the pools that run the work submitted under it.
type RouteName string

// WorkerName names a worker VM.
type WorkerName string

// MemberName names one process of the scheduler; it is unique in the cluster.
type MemberName string

// RequestID identifies an accepted or refused request; the text before its last hyphen is the home zone,
// whose scheduler handles the request.
type RequestID string

// NewRequestID joins the home zone and a unique suffix, which must not contain a hyphen.
func NewRequestID(zone ZoneName, suffix string) RequestID {
	return RequestID(string(zone) + "-" + suffix)
}

// Zone returns the home zone in the identifier, or an empty name if it has none.
func (id RequestID) Zone() ZoneName {
	hyphen := strings.LastIndexByte(string(id), '-')
	if hyphen < 0 {
		return ""
	}
	return ZoneName(id[:hyphen])
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

// OpenTeam is the team to which work without a key on open routes is charged; its share and limit
// are set like any other team's.
const OpenTeam TeamName = "open"
