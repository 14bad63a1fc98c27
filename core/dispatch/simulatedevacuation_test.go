package dispatch

import (
	"maps"
	"slices"
	"time"

	"cyclamendyke"
)

// simWatchDelay is the longest time until a scheduler hears of a change that the store has taken.
const simWatchDelay = 3 * time.Second

// simEvacuations holds the evacuated zones: those in the store, and those that the scheduler was told of.
type simEvacuations struct {
	stored, told map[cyclamendyke.ZoneName]bool
}

// evacuate stores a request to evacuate a zone, of which the scheduler hears after a delay.
func (sim *simulation) evacuate(zone cyclamendyke.ZoneName, watchDelay time.Duration) {
	sim.storeEvacuation(zone, true, watchDelay)
}

// evacuateFor stores a request as soon as the store is there, and deletes it some time after.
func (sim *simulation) evacuateFor(zone cyclamendyke.ZoneName, d time.Duration) {
	sim.whenStoreIsBack(func() {
		sim.evacuate(zone, sim.randomTime(simWatchDelay))
		sim.after(d, func() { sim.takeBack(zone, sim.randomTime(simWatchDelay)) })
	})
}

// takeBack deletes a request to evacuate a zone.
func (sim *simulation) takeBack(zone cyclamendyke.ZoneName, watchDelay time.Duration) {
	sim.storeEvacuation(zone, false, watchDelay)
}

// storeEvacuation changes a request as soon as the store is there. The scheduler is told what the store then
// holds, since a later change may have come first.
func (sim *simulation) storeEvacuation(zone cyclamendyke.ZoneName, evacuated bool, watchDelay time.Duration) {
	sim.whenStoreIsBack(func() {
		if sim.evacuations.stored == nil {
			sim.evacuations.stored = map[cyclamendyke.ZoneName]bool{}
		}
		if evacuated {
			sim.evacuations.stored[zone] = true
		} else {
			delete(sim.evacuations.stored, zone)
		}
		sim.after(watchDelay, func() { sim.whenStoreIsBack(sim.tellEvacuations) })
	})
}

// tellEvacuations tells the scheduler what the store holds.
func (sim *simulation) tellEvacuations() {
	sim.evacuations.told = maps.Clone(sim.evacuations.stored)
	sim.sched.Advance(sim.now, sim.wall())
	sim.sched.SetEvacuated(slices.Collect(maps.Keys(sim.evacuations.told))...)
}

// checkEvacuation checks that no start is sent to a zone that the scheduler knows to be evacuated.
func (sim *simulation) checkEvacuation(c StartCommand) {
	if sim.evacuations.told[sim.vms[c.Target.ID].info.Zone] {
		sim.reportViolation("%v is started on %s in an evacuated zone", c.Order.Task, c.Target.ID)
	}
}
