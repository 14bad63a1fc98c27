package dispatch

import (
	"cmp"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// target is a target VM with its runs and the lease it holds.
type target struct {
	info            cyclamendyke.Target
	largestCapacity cyclamendyke.Resources // The most that its present incarnation is known to have had.
	registered      bool                   // Its description is in the store.
	undescribed     bool                   // No description of its present incarnation has come, which may have another room and other labels.
	listed          bool                   // Its present incarnation has answered this epoch with a listing.
	ended           bool                   // Its incarnation is known to have ended, and its crash, if it was one, is counted.
	silentRuns      []crashedRun           // Runs that it had when its lease expired in silence.
	expired         bool                   // Its lease has expired or another incarnation replaced it, so no run is left.
	runsEndedAt     time.Duration          // When expired was last set; answers to earlier requests tell nothing.
	fenceInDoubt    bool                   // Its incarnation was first seen while a successor was possible, which it may not have heard of.
	closed          bool                   // Its record is not stored, or says that it is closed or soon will, so nothing is started on it.

	earlierEpochs
	renewals
	announcement
	reportedEnds
	lateOrders

	clock       time.Duration // Last reading of the target's clock.
	clockReadAt time.Duration // When the answer with that reading arrived.
	leaseUntil  time.Duration // Latest end of any lease it may hold, on its own clock.
	grantedEnd  time.Duration // Latest end of the leases that this epoch has granted to its present incarnation, on its own clock.
	addedAt     time.Duration // When this epoch first knew of it.

	runs          map[runKey]*run
	used          cyclamendyke.Resources
	reconciled    bool                   // Its present incarnation's runs were compared with a listing.
	isOverfull    bool                   // They need more than it has room for.
	urgentRuns    int                    // Runs of queues with priority 0.
	servingRuns   int                    // Runs of steps with a latency target.
	fillerRuns    int                    // Runs of fillers.
	stepRuns      map[*stepRun]int       // Number of runs of each step.
	sentStarts                           // Requests to start a run without an outcome.
	projectedFree cyclamendyke.Resources // Free now or soon, less what earlier steps of this pass have taken.
	asked         []askedRoom            // Room that requests for advice in flight count on.
	orphans       map[runKey]bool        // Runs that belong to no workflow; they make the target unusable.

	lastStartAt  time.Duration // When a start was last ordered here.
	reservedAt   time.Duration // When room here was last reserved.
	reservedIdle time.Duration // Since when such room is free and idles.
	avoided      bool          // Its machine crashes on its own.
	trial        *trial        // Nothing but this trial's task is started here; nil if there is none.
	blockedUntil time.Duration // Nothing is placed here before then.
	mayLeaveAt   time.Duration // Earliest time at which a draining target may be gone; zero if unknown.

	claims             []*claim
	speed              speed
	lagsUntil          time.Duration // It is much slower than usual, by what was seen up to lagMemory before then.
	coldUntil          time.Duration // The VM is slow after its start until then.
	failures           int           // Consecutive failures; successive ones of the same workflow count once.
	lastFailedWorkflow cyclamendyke.WorkflowID
	fillerPace         int           // Percentage of full speed at which fillers run here.
	paceHeldAt         time.Duration // When the pace last changed or the load last prevented an increase.
}

// earlierEpochs is what earlier epochs may have left on a target.
type earlierEpochs struct {
	wasDraining         bool // It was draining in an earlier epoch.
	wasUsed             bool // An earlier epoch may have started something on its present incarnation.
	earlierRunsComplete bool // earlierRuns names every task that an earlier epoch may have left here.
	earlierRuns         []earlierRun
	finalListLeaseEnd   time.Duration // When leases that earlier epochs granted here are over by the last one's final list; zero without one.
	lateOrdersEnd       time.Duration // Until when an order for an earlier incarnation may run on this one, which has not answered; zero if there is none.
	earlierLeaseOver    bool          // Leases that earlier epochs granted here are over, and no successor can have renewed them.
}

// renewals is the state of the requests that renew a target's lease and list its runs.
type renewals struct {
	renewalInFlight  bool          // A regular renewal is in flight.
	listingRequested bool          // An immediate renewal is in flight.
	renewAt          time.Duration // When the next regular renewal is due.
	answeredAt       time.Duration // When its last answer arrived.
	listingSentAt    time.Duration // When the request for its newest listing was sent.
	renewFailed      bool          // The last renewal failed.
	renewalSentAt    time.Duration // When the last regular renewal was sent.
	workedUntil      time.Duration // After a failed renewal: when the target was last known to work.
	silentAt         time.Duration // After a failed renewal: when it failed.
}

// announcement is a later incarnation of a target that is described in the store and has not answered yet.
type announcement struct {
	announced        *cyclamendyke.Target // Nil if there is none.
	probeInFlight    bool                 // It is being asked for its listing.
	probeAt          time.Duration        // When it is asked next.
	announcedRunsEnd time.Duration        // When the lease of a run is over that a start for the incarnation before has begun on it.
}

// reportedEnds says which of the ends that a target reports are handled and stored.
type reportedEnds struct {
	allEndsListed  bool  // A listing that was not cut has come, so that those of all runs of earlier epochs are known.
	endsAreCut     bool  // Its newest listing was cut.
	lastEndHandled int64 // Highest sequence number of an end that was applied or ignored.
	lastEndStored  int64 // Highest sequence number of an end whose effect is stored.
	unstoredEnds   []unstoredEnd

	acked         int64         // Highest sequence number that was sent as acknowledged.
	ackHeldSince  time.Duration // Since when an acknowledgement waits for the outcomes of starts; zero if none does.
	lifeDoubtedAt time.Duration // When a start last ended without showing which incarnation has it; a listing that is asked for later shows it.
}

// runKey identifies a run on a target.
type runKey struct {
	task   cyclamendyke.TaskName
	number int64
}

// unstoredEnd is an applied end that may be acknowledged once version of the workflow's record is
// stored.
type unstoredEnd struct {
	sequence int64
	task     cyclamendyke.TaskName
	job      *job
	version  int64
}

// countRun adds a run to the target's counts, or takes it off them if count is -1.
func (t *target) countRun(r *run, count int) {
	if r.urgent {
		t.urgentRuns += count
	}
	if r.step.spec.LatencyTarget > 0 {
		t.servingRuns += count
	}
	if r.step.spec.Filler {
		t.fillerRuns += count
	}
	if t.stepRuns[r.step] += count; t.stepRuns[r.step] == 0 {
		delete(t.stepRuns, r.step)
	}
}

// free returns the capacity that no run has reserved.
func (t *target) free() cyclamendyke.Resources {
	return t.info.Capacity.Sub(t.used)
}

// acknowledge advances lastEndStored past the ends whose records are stored.
func (t *target) acknowledge() {
	for len(t.unstoredEnds) > 0 && t.unstoredEnds[0].job.storedVersion >= t.unstoredEnds[0].version {
		t.lastEndStored = t.unstoredEnds[0].sequence
		t.unstoredEnds = t.unstoredEnds[1:]
	}
	if len(t.unstoredEnds) == 0 && t.lastEndStored < t.lastEndHandled {
		t.lastEndStored = t.lastEndHandled
	}
}

// clockNow estimates the target's clock from its last reading.
func (t *target) clockNow(now time.Duration) time.Duration {
	return t.clock + now - t.clockReadAt
}

// leaseEnd returns when every lease that the target may hold has expired, on this process's clock.
func (s *Scheduler) leaseEnd(t *target) time.Duration {
	if !t.listed {
		return s.earlierRunsEndBy(t)
	}
	left := time.Duration(float64(t.leaseUntil-t.clock) / lease.MinClockRate)
	return max(t.clockReadAt+left+lease.Margin, t.announcedRunsEnd)
}

// runsEndBy returns when the runs on a target that does not answer count as ended, so that their tasks
// start elsewhere.
//
// A run that was still working when the lease ended was killed then. One that had ended before may be
// done, and a target without any other run does not tell that its lease has ended, so that the end would
// count when the target is back. Such a target gets returnTime to come back.
func (s *Scheduler) runsEndBy(t *target) time.Duration {
	leaseEnd := s.leaseEnd(t)
	holdsEnds := len(t.runs) > 0 || !t.allEndsListed && s.mayHoldDoneTasks(t)
	if !t.listed || !holdsEnds || t.presumedGone() {
		return leaseEnd
	}
	for _, r := range t.runs {
		if r.worksAt(leaseEnd) {
			return leaseEnd
		}
	}
	return leaseEnd + returnTime(s.cfg.Bounds)
}

// presumedGone reports whether the target's description was removed after it began to drain, so that it is
// taken not to come back.
func (t *target) presumedGone() bool {
	return !t.registered && (t.info.Draining || t.wasDraining)
}

// UpdateTarget adds or updates a target from its description in the store. A description proves nothing of what runs
// on the target, or on another one with its address: what ends an incarnation is an answer of the one that follows.
//
// A target of a service that the configuration does not name is not used, nor asked for anything, before it does.
func (s *Scheduler) UpdateTarget(info cyclamendyke.Target) {
	t := s.targets[info.ID]
	switch {
	case t == nil && !s.knowsService(info.Service):
		s.unknownTargets[info.ID] = info
		return
	case t == nil:
		t = s.addTarget(info)
	case isLater(t.info, info):
		return // A stale description; the target has reported a later incarnation itself.
	case isLater(info, t.info):
		s.announce(t, info)
		return
	}
	s.describe(t, info)
}

// isLater reports whether a describes a later incarnation of a target than b.
func isLater(a, b cyclamendyke.Target) bool {
	return b.StartedMillis != 0 && a.StartedMillis > b.StartedMillis
}

func (s *Scheduler) addTarget(info cyclamendyke.Target) *target {
	t := &target{closed: true, addedAt: s.now, runs: map[runKey]*run{}, stepRuns: map[*stepRun]int{}, orphans: map[runKey]bool{}, fillerPace: fullPace, fenceInDoubt: s.successorPossible}
	s.targets[info.ID] = t
	s.lastListedAt = cmp.Or(s.lastListedAt, s.now)
	s.targetChanged(info.ID)
	s.logTarget(info.ID, "new at "+info.Address)
	return t
}

// knowsService reports whether the configuration names a service. Without any configuration each counts as named.
func (s *Scheduler) knowsService(name cyclamendyke.ServiceName) bool {
	return s.fleet == nil || s.service(name) != nil
}

// addTargetsOfNewServices adds the described targets of services that the configuration names now.
func (s *Scheduler) addTargetsOfNewServices() {
	for id, info := range s.unknownTargets {
		if s.knowsService(info.Service) {
			delete(s.unknownTargets, id)
			s.UpdateTarget(info)
		}
	}
}

// describe applies a description of a target's present incarnation.
func (s *Scheduler) describe(t *target, info cyclamendyke.Target) {
	if info.Draining && !t.info.Draining {
		s.logTarget(info.ID, "draining")
		s.targetChanged(info.ID)
	}
	if t.registered && t.info.Draining && t.info.StartedMillis == info.StartedMillis && !info.Draining {
		// A drain is never undone within an incarnation.
		info.Draining, info.Remaining = true, t.info.Remaining
	}
	if !t.registered {
		s.targetChanged(info.ID)
	}
	if t.info.StartedMillis != info.StartedMillis {
		t.largestCapacity = cyclamendyke.Resources{}
	}
	t.largestCapacity = t.largestCapacity.Max(info.Capacity)
	t.info = info
	t.registered, t.undescribed, t.announced = true, false, nil
	s.setMayLeaveAt(t, info.Remaining)
	t.coldUntil = s.now + info.ColdFor
}

// RemoveTargetDescription records that a target's description was removed from the store.
func (s *Scheduler) RemoveTargetDescription(id cyclamendyke.TargetID) {
	delete(s.unknownTargets, id)
	if t := s.targets[id]; t != nil && t.registered {
		t.registered, t.announced = false, nil
		s.targetChanged(id)
		s.logTarget(id, "description removed from the store")
	}
}

func (s *Scheduler) logTarget(id cyclamendyke.TargetID, reason string) {
	s.cfg.LogDecision(Decision{Event: EventTargetChanged, Target: id, Reason: reason})
}
