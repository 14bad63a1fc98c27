package dispatch

import (
	"time"

	"cyclamendyke"
)

// simHeartbeat is the longest time until a VM's description shows a change.
const simHeartbeat = 1500 * time.Millisecond

// pastCapacity is a capacity that a VM had until a given time.
type pastCapacity struct {
	capacity cyclamendyke.Resources
	until    time.Duration
}

// changeCapacity changes a VM's capacity, which its description shows with its next heartbeat.
func (sim *simulation) changeCapacity(v *vm, capacity cyclamendyke.Resources) {
	v.pastCapacities = append(v.pastCapacities, pastCapacity{v.info.Capacity, sim.now})
	v.info.Capacity = capacity
	sim.after(sim.randomTime(simHeartbeat), func() { sim.whenStoreIsBack(func() { sim.showCapacity(v) }) })
}

// showCapacity shows a VM's capacity.
func (sim *simulation) showCapacity(v *vm) {
	if !v.down && !v.removed && !v.replaced {
		sim.sched.Advance(sim.now, sim.wall())
		sim.sched.UpdateTarget(v.info)
	}
}

// capacityThatCounts returns the most that a VM may run: what it has, or had until not long ago.
func (sim *simulation) capacityThatCounts(v *vm) cyclamendyke.Resources {
	most := v.info.Capacity
	for _, past := range v.pastCapacities {
		if sim.now < past.until+sim.maxCapacityAge+simHeartbeat {
			most = most.Max(past.capacity)
		}
	}
	return most
}
