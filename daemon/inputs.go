package daemon

import (
	"time"

	"cyclamendyke"
)

// setVMs applies the platform's list of this zone's VMs.
func (c *controller) setVMs(vms []cyclamendyke.VM) {
	c.post(func(now time.Time) {
		c.vms = vms
		c.applyRoleUpdate(c.cfg.Role.SetVMs(now, vms))
		c.syncLinks()
		if c.scheduler != nil {
			c.runCommands(c.scheduler.SetVMs(now, vms))
		}
	})
}

// syncLinks opens links to the listed workers, which a candidate for the role needs before it has a
// scheduler. Without a scheduler it also closes the links to unlisted workers.
func (c *controller) syncLinks() {
	listed := make(map[cyclamendyke.WorkerName]bool, len(c.vms))
	for _, vm := range c.vms {
		listed[vm.Name] = true
		c.openLinkIfNew(vm)
	}
	if c.scheduler != nil {
		return // The scheduler decides when to forget an unlisted worker.
	}
	for name := range c.links {
		if !listed[name] {
			c.closeLink(name)
		}
	}
}

// setTables applies a revision of the tables.
func (c *controller) setTables(tables *cyclamendyke.Tables) {
	c.post(func(now time.Time) {
		c.tables = tables
		if c.scheduler != nil {
			c.runCommands(c.scheduler.SetTables(now, tables))
		}
	})
}

// setAllotments sets what each team may use in this zone; it reports false if the epoch's term has
// ended.
func (c *controller) setAllotments(epoch cyclamendyke.Epoch, usable map[cyclamendyke.TeamName]cyclamendyke.Resources) bool {
	applied := false
	c.postAndWait(func(now time.Time) {
		if c.scheduler == nil || c.epoch != epoch {
			return
		}
		applied = true
		c.runCommands(c.scheduler.SetAllotments(now, usable))
	})
	return applied
}

// setRoleRecord passes this zone's record in the watched part of the store to the role.
func (c *controller) setRoleRecord(records []cyclamendyke.ZoneScheduler, zone cyclamendyke.ZoneName) {
	for _, record := range records {
		if record.Member.Zone == zone {
			c.post(func(now time.Time) { c.applyRoleUpdate(c.cfg.Role.SetRecord(now, record)) })
		}
	}
}

// poolStates returns the load of each pool, or nil if this process is not the scheduler.
func (c *controller) poolStates() map[cyclamendyke.PoolName]cyclamendyke.PoolState {
	var pools map[cyclamendyke.PoolName]cyclamendyke.PoolState
	c.postAndWait(func(time.Time) {
		if c.scheduler != nil {
			pools = c.scheduler.Summary()
		}
	})
	return pools
}
