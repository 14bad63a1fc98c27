package dispatch

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// The timing of stalls.
const (
	simKeeperInterval = 100 * time.Millisecond
	simLateTimeout    = 800 * time.Millisecond
	simLongestStall   = 12 * time.Second
)

// simStalls are the schedulers that are busy with one pass or change, so that they send and handle nothing.
type simStalls struct {
	areDrawn bool
	until    map[*Scheduler]time.Duration
}

// stall keeps a scheduler busy for some time, while its leases are renewed beside it.
func (sim *simulation) stall(duration time.Duration) {
	if sim.stalls.until == nil {
		sim.stalls.until = map[*Scheduler]time.Duration{}
	}
	sim.stalls.until[sim.sched] = sim.now + duration
	sim.keepLeases(sim.sched)
}

// stalledFor returns how much longer a scheduler is busy.
func (sim *simulation) stalledFor(sched *Scheduler) time.Duration {
	return max(0, sim.stalls.until[sched]-sim.now)
}

// keepLeases renews the leases of a scheduler that is late until it is busy no more.
func (sim *simulation) keepLeases(sched *Scheduler) {
	if !sim.acts(sched) || sim.stalledFor(sched) == 0 {
		return
	}
	if sched.Leases().Lateness(sim.now) > 0 {
		if sim.sched == sched {
			if statement, isTaken := sched.Leases().TakeIfDue(sim.now); isTaken {
				sim.after(sim.writeDelay(), func() { sim.writeStatement(sched, statement) })
			}
		}
		for _, renewal := range sched.Leases().TakeLateRenewals(sim.now) {
			sim.renewLate(sched, renewal)
		}
	}
	sim.after(simKeeperInterval, func() { sim.keepLeases(sched) })
}

// renewLate delivers a late renewal and its answer with the configured faults.
func (sim *simulation) renewLate(sched *Scheduler, renewal lease.LateRenewal) {
	delay, isAnswered := sim.drawFault()
	isDone := false
	fail := func() {
		if !isDone {
			isDone = true
			sched.Leases().Unanswered(renewal.Target)
		}
	}
	sim.after(simLateTimeout, fail)
	sim.after(delay, func() {
		v := sim.vms[renewal.Target.ID]
		if v.down || v.unreachable {
			return
		}
		if v.replaced || sched.cfg.Epoch < v.fence {
			sim.after(simLatency, fail)
			return
		}
		v.fence = sched.cfg.Epoch
		if renewal.Until > 0 {
			sim.extendLease(v, renewal.Until)
		}
		listing := sim.list(v)
		if isAnswered {
			sim.after(sim.transit(), func() { sim.answerLate(sched, renewal.Target, &listing, &isDone) })
		}
	})
}

func (sim *simulation) answerLate(sched *Scheduler, target cyclamendyke.Target, listing *cyclamendyke.Listing, isDone *bool) {
	if !*isDone {
		*isDone = true
		sched.Leases().Answered(target, listing.Clock, listing.StartedMillis, sim.now)
	}
}
