package daemon

import (
	"time"

	"cyclamendyke"
)

// setVMs takes in the platform's list of this zone's VMs.
func (c *controller) setVMs(vms []cyclamendyke.VM) {
	c.post(func(now time.Time) {
		c.vms = vms
		c.withRole(c.cfg.Role.SetVMs(now, vms))
		c.followVMs()
		if c.scheduler != nil {
			c.run(c.scheduler.SetVMs(now, vms))
		}
	})
}

// followVMs opens links to listed workers, which a candidate needs before it has a scheduler.
func (c *controller) followVMs() {
	listed := make(map[cyclamendyke.WorkerName]bool, len(c.vms))
	for _, vm := range c.vms {
		listed[vm.Name] = true
		c.openLinkIfNew(vm)
	}
	if c.scheduler != nil {
		return // The scheduler says when a worker that left the list may be forgotten.
	}
	for name := range c.links {
		if !listed[name] {
			c.closeLink(name)
		}
	}
}

// setTables puts a revision of the tables in force.
func (c *controller) setTables(tables *cyclamendyke.Tables) {
	c.post(func(now time.Time) {
		c.tables = tables
		if c.scheduler != nil {
			c.run(c.scheduler.SetTables(now, tables))
		}
	})
}

// setAllotments sets what each team may use in this zone; it reports false once the term is over.
func (c *controller) setAllotments(epoch cyclamendyke.Epoch, held map[cyclamendyke.TeamName]cyclamendyke.Resources) bool {
	current := false
	c.ask(func(now time.Time) {
		if c.scheduler == nil || c.epoch != epoch {
			return
		}
		current = true
		c.run(c.scheduler.SetAllotments(now, held))
	})
	return current
}

// setRecord takes in the holder of this zone's role as the store's watch gave it.
func (c *controller) setRecord(records []cyclamendyke.ZoneScheduler, zone cyclamendyke.ZoneName) {
	for _, record := range records {
		if record.Member.Zone == zone {
			c.post(func(now time.Time) { c.withRole(c.cfg.Role.SetRecord(now, record)) })
		}
	}
}

// summary returns the load of each pool if this process is the scheduler.
func (c *controller) summary() map[cyclamendyke.PoolName]cyclamendyke.PoolState {
	var pools map[cyclamendyke.PoolName]cyclamendyke.PoolState
	c.ask(func(time.Time) {
		if c.scheduler != nil {
			pools = c.scheduler.Summary()
		}
	})
	return pools
}
