package dispatch

import (
	"time"

	"cyclamendyke/core/lease"
)

// The members that see what a scheduler states about leases.
const (
	simWitnesses    = 3
	simSightDelay   = 300 * time.Millisecond // After which a statement is seen at most.
	simFreshMember  = 0.3                    // Part of the elections that a member wins which has just begun.
	simReportAnswer = 0.7                    // Part of the members that tell a new scheduler what they have seen.
)

// simLeases is what is stored about leases, and what members have seen of it.
type simLeases struct {
	stored    lease.Statement
	witnesses [simWitnesses]lease.Sightings
	areSeen   bool // New schedulers use what members have seen; otherwise leases count from the election.
}

// storeStatement starts writing a statement about leases that is due.
func (sim *simulation) storeStatement(sched *Scheduler) {
	if !sched.LeaseStatementDue() {
		return
	}
	if statement, isTaken := sched.TakeLeaseStatement(); isTaken {
		sim.after(sim.writeDelay(), func() { sim.writeStatement(sched, statement) })
	}
}

// writeStatement writes a statement, later if the store is away, unless another scheduler was elected meanwhile.
func (sim *simulation) writeStatement(sched *Scheduler, statement lease.Statement) {
	if sim.sched != sched {
		return
	}
	if sim.storeAway() {
		pause := sim.randomTime(simWriteRetry)
		sim.after(sim.storeBackAt-sim.now+pause, func() { sim.writeStatement(sched, statement) })
		return
	}
	sim.putStatement(statement)
	sim.after(simLatency, func() {
		if sim.sched == sched {
			sched.Leases().Stored()
			sim.answer(sched, func() {})
		}
	})
}

// putStatement replaces the stored statement, which members see a while later.
func (sim *simulation) putStatement(statement lease.Statement) {
	sim.leases.stored = statement
	for i := range sim.leases.witnesses {
		sim.after(sim.randomTime(simSightDelay), func() { sim.see(&sim.leases.witnesses[i], statement) })
	}
}

// see has a member see a statement, unless a later one is stored.
func (sim *simulation) see(witness *lease.Sightings, statement lease.Statement) {
	if statement.Round != sim.leases.stored.Round {
		return
	}
	witness.SeeRound(statement.Round, sim.now)
	witness.SeeSilent(statement.Silent, sim.now)
}

// tellLeases tells a new scheduler what is stored about leases and, if it uses that, when members have seen it.
func (sim *simulation) tellLeases(sched *Scheduler) {
	stored := sim.leases.stored
	sched.SetStoredSilent(stored.Silent)
	claim := lease.Statement{Round: lease.Round{Epoch: sim.epoch}, Silent: stored.Silent}
	defer sim.putStatement(claim)
	if !sim.leases.areSeen {
		return
	}
	own := &sim.leases.witnesses[sim.random.IntN(simWitnesses)]
	if sim.random.Float64() < simFreshMember {
		*own = lease.Sightings{}
	}
	sim.see(own, stored)
	for i := range sim.leases.witnesses {
		if sim.random.Float64() < simReportAnswer {
			own.Merge(sim.leases.witnesses[i].Report(sim.now), sim.now)
		}
	}
	sched.LimitEarlierLeases(own.Ends(sim.maxLease))
}
