package daemon

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// zoneLoad describes a zone's load with regard to one job.
type zoneLoad struct {
	zone         cyclamendyke.ZoneName
	freeTasks    int64 // Tasks of the job's size that fit into unreserved capacity.
	waitingTasks int   // Tasks waiting in the route's pools.
	isOwn        bool  // The zone is the one of this process.
}

// homeZone chooses the zone whose scheduler gets the job: this process's zone if it has room, then
// another zone with room, then the zone with the fewest waiting tasks.
func (d *Daemon) homeZone(tables *cyclamendyke.Tables, route cyclamendyke.Route, job cyclamendyke.Job) cyclamendyke.ZoneName {
	loads := zoneLoads(d.directory.schedulers(time.Now()), d.member.Zone, tables, route, job)
	if len(loads) == 0 {
		return d.fallbackZone(tables, route)
	}
	return slices.MinFunc(loads, func(a, b zoneLoad) int { return compareLoads(a, b, int64(job.Tasks)) }).zone
}

// fallbackZone returns the zone to use if zoneLoads finds none: this process's zone if the route may
// run there or has no zones, else the first of the route's zones by name.
func (d *Daemon) fallbackZone(tables *cyclamendyke.Tables, route cyclamendyke.Route) cyclamendyke.ZoneName {
	var zones []cyclamendyke.ZoneName
	for _, name := range route.Pools {
		zones = append(zones, tables.Pools[name].Zones...)
	}
	if len(zones) == 0 || slices.Contains(zones, d.member.Zone) {
		return d.member.Zone
	}
	return slices.Min(zones)
}

// zoneLoads returns the load of each zone whose pools can hold one task and whose scheduler is not
// stopping.
func zoneLoads(schedulers []cyclamendyke.MemberState, ownZone cyclamendyke.ZoneName, tables *cyclamendyke.Tables, route cyclamendyke.Route, job cyclamendyke.Job) []zoneLoad {
	loads := make([]zoneLoad, 0, len(schedulers))
	for _, state := range schedulers {
		load := zoneLoad{zone: state.Member.Zone, isOwn: state.Member.Zone == ownZone}
		workers := 0
		for _, name := range route.Pools {
			pool := state.Pools[name]
			if pool.Workers == 0 || !job.PerTask.FitsIn(tables.Pools[name].Shape) {
				continue
			}
			workers += pool.Workers
			load.waitingTasks += pool.Waiting
			load.freeTasks += fitCount(job.PerTask, pool.Capacity.Sub(pool.Reserved))
		}
		if workers > 0 && !state.Stopping {
			loads = append(loads, load)
		}
	}
	return loads
}

// compareLoads sorts zones with room for the whole job before the others, and those others by fewer
// waiting tasks. Ties go to this process's zone, then to more free capacity, then to the first name.
func compareLoads(a, b zoneLoad, tasks int64) int {
	roomRank := func(l zoneLoad) int {
		if l.waitingTasks == 0 && l.freeTasks >= tasks {
			return 0
		}
		return 1
	}
	ownZoneRank := func(l zoneLoad) int {
		if l.isOwn {
			return 0
		}
		return 1
	}
	if order := cmp.Compare(roomRank(a), roomRank(b)); order != 0 {
		return order
	}
	if roomRank(a) == 0 {
		return cmp.Or(cmp.Compare(ownZoneRank(a), ownZoneRank(b)), cmp.Compare(b.freeTasks, a.freeTasks), cmp.Compare(a.zone, b.zone))
	}
	return cmp.Or(cmp.Compare(a.waitingTasks, b.waitingTasks), cmp.Compare(ownZoneRank(a), ownZoneRank(b)), cmp.Compare(b.freeTasks, a.freeTasks), cmp.Compare(a.zone, b.zone))
}

// fitCount returns how many tasks fit into free, at most 1<<32.
func fitCount(task, free cyclamendyke.Resources) int64 {
	if free.IsNegative() {
		return 0
	}
	count := int64(1) << 32
	for _, pair := range [...][2]int64{
		{int64(task.Cores), int64(free.Cores)},
		{int64(task.Memory), int64(free.Memory)},
		{task.Accelerators, free.Accelerators},
		{task.Slots, free.Slots},
		{task.Connections, free.Connections},
	} {
		if pair[0] > 0 {
			count = min(count, pair[1]/pair[0])
		}
	}
	return count
}
