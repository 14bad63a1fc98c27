package scheduler

import (
	"slices"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

// pool is the part of a VM pool that lies in this zone.
type pool struct {
	name         cyclamendyke.PoolName
	config       cyclamendyke.Pool
	index        *policy.Index
	workerCount  int
	capacity     cyclamendyke.Resources
	reserved     cyclamendyke.Resources
	waitingTasks int // Waiting tasks of jobs whose first eligible pool is this one.
	blocked      *blockedSet
	holder       *job // The one job that capacity in the pool is held for, or nil.
}

const percent = 100

// usable returns the capacity left for reservations after the pool's headroom.
func (p *pool) usable(capacity cyclamendyke.Resources) cyclamendyke.Resources {
	usablePercent := int64(percent - p.config.Headroom)
	capacity.Cores = capacity.Cores * cyclamendyke.MilliCores(usablePercent) / percent
	capacity.Memory = capacity.Memory * cyclamendyke.MiB(usablePercent) / percent
	return capacity
}

// serves reports whether the pool accepts this kind of job in this zone; an empty list in the table accepts all.
func (p *pool) serves(zone cyclamendyke.ZoneName, kind cyclamendyke.JobKind) bool {
	if p.config.Name == "" {
		return false
	}
	zoneServed := len(p.config.Zones) == 0 || slices.Contains(p.config.Zones, zone)
	kindServed := len(p.config.Kinds) == 0 || slices.Contains(p.config.Kinds, kind)
	return zoneServed && kindServed
}
