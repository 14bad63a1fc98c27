package scheduler

import (
	"slices"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

// pool is the part of a pool of VMs that is in this zone.
type pool struct {
	name     cyclamendyke.PoolName
	table    cyclamendyke.Pool
	index    *policy.Index
	workers  int
	capacity cyclamendyke.Resources
	reserved cyclamendyke.Resources
	waiting  int // Tasks that would go here first.
	blocked  *blockedSet
	holder   *job // The only gang that may hold room before it starts.
}

const percent = 100

// usable returns the part of capacity that declared sizes may fill.
func (p *pool) usable(capacity cyclamendyke.Resources) cyclamendyke.Resources {
	kept := int64(percent - p.table.Headroom)
	capacity.Cores = capacity.Cores * cyclamendyke.MilliCores(kept) / percent
	capacity.Memory = capacity.Memory * cyclamendyke.MiB(kept) / percent
	return capacity
}

// serves reports whether the pool may hold work of this kind in this zone; an empty list in the table stands for all.
func (p *pool) serves(zone cyclamendyke.ZoneName, kind cyclamendyke.JobKind) bool {
	if p.table.Name == "" {
		return false
	}
	zoneServed := len(p.table.Zones) == 0 || slices.Contains(p.table.Zones, zone)
	kindServed := len(p.table.Kinds) == 0 || slices.Contains(p.table.Kinds, kind)
	return zoneServed && kindServed
}
