package dispatch

import (
	"fmt"
	"time"

	"cyclamendyke"
)

// injectFault injects the fault of a kind, or none for a kind from 5 to 9; every fault but a takeover is
// undone after a random time.
func (sim *simulation) injectFault(kind int) {
	id := cyclamendyke.TargetID(fmt.Sprint("vm-", sim.random.IntN(len(sim.vms))))
	v := sim.vms[id]
	switch kind {
	case 0:
		sim.whenStoreIsBack(sim.elect)
	case 1:
		sim.crash(v)
		sim.after(time.Duration(sim.random.IntN(6000))*time.Millisecond, func() {
			if v.down {
				sim.boot(v)
			}
		})
	case 2:
		v.unreachable = true
		sim.after(time.Duration(sim.random.IntN(15000))*time.Millisecond, func() { v.unreachable = false })
	case 3:
		sim.removeDescription(v)
		sim.after(time.Duration(sim.random.IntN(12000))*time.Millisecond, func() { sim.restoreDescription(v) })
	case 4: // The VM is removed from the store and then becomes unreachable.
		sim.removeDescription(v)
		sim.after(time.Duration(sim.random.IntN(50))*time.Millisecond, func() { v.unreachable = true })
		sim.after(time.Duration(sim.random.IntN(12000))*time.Millisecond, func() {
			v.unreachable = false
			sim.restoreDescription(v)
		})
	case 10:
		sim.storeBackAt = sim.now + sim.randomTime(6*time.Second)
	case 11:
		sim.loseStoreAndVM(v)
	case 12:
		sim.evacuateFor(v.info.Zone, sim.randomTime(8*time.Second))
	}
}

func (sim *simulation) randomTime(longest time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(longest)))
}

// loseStoreAndVM makes the store take no writes and, a while later, a VM unreachable. When the store is
// back, the VM's description has lapsed, and soon after the next epoch begins.
func (sim *simulation) loseStoreAndVM(v *vm) {
	outage := sim.randomTime(6 * time.Second)
	sim.storeBackAt = sim.now + outage
	sim.after(sim.randomTime(outage+1), func() { v.unreachable = true })
	sim.after(outage, func() { sim.removeDescription(v) })
	sim.after(outage+sim.randomTime(simWriteRetry), func() { sim.whenStoreIsBack(sim.elect) })
	sim.after(outage+sim.randomTime(4*time.Second), func() {
		v.unreachable = false
		sim.restoreDescription(v)
	})
}

// endFaults undoes all faults.
func (sim *simulation) endFaults() {
	sim.faults = simFaults{}
	sim.storeBackAt = 0
	sim.evacuations.stored = nil
	sim.tellEvacuations()
	for _, v := range sim.vms {
		if v.replaced {
			continue
		}
		v.unreachable, v.removed = false, false
		if v.down {
			sim.boot(v)
		}
		sim.sched.UpdateTarget(v.info)
	}
}

// removeDescription removes a VM's description from the store, which a scheduler sees when it is back.
func (sim *simulation) removeDescription(v *vm) {
	v.removed = true
	sim.whenStoreIsBack(func() {
		if !v.removed {
			return
		}
		sim.sched.Advance(sim.now, sim.wall())
		sim.sched.RemoveTargetDescription(v.info.ID)
	})
}

// restoreDescription puts a VM's description back, as soon as the store is back.
func (sim *simulation) restoreDescription(v *vm) {
	sim.whenStoreIsBack(func() {
		v.removed = false
		if !v.down {
			sim.sched.Advance(sim.now, sim.wall())
			sim.sched.UpdateTarget(v.info)
		}
	})
}
