package dispatch

import (
	"maps"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/lease"
)

// announce notes that the store describes a later incarnation of a target, which is asked for its listing.
//
// Until it answers, all that runs on the target counts as running: the description may be wrong, and the new
// incarnation may have begun a run that was meant for the one before.
func (s *Scheduler) announce(t *target, info cyclamendyke.Target) {
	if t.announced == nil || isLater(info, *t.announced) {
		s.logTarget(info.ID, "a later incarnation is described in the store")
		t.probeAt = s.now
		s.doubtIncarnation(t)
		if len(t.runs) > 0 {
			t.announcedRunsEnd = s.now + s.longestForeignLease()
		}
	}
	if !t.registered {
		t.registered = true
		s.targetChanged(info.ID)
	}
	t.announced = &info
}

// longestForeignLease returns the longest time for which a target may hold a lease that was computed for the clock of
// another incarnation: the target cuts it to the longest that it grants.
func (s *Scheduler) longestForeignLease() time.Duration {
	return time.Duration(float64(s.cfg.Bounds.MaxLease)/lease.MinClockRate) + lease.Margin
}

// probeAnnounced asks an announced incarnation for its listing. It grants no lease, since its clock is not known.
func (s *Scheduler) probeAnnounced(t *target) {
	if t.announced == nil || t.probeInFlight || s.now < t.probeAt {
		return
	}
	t.probeInFlight = true
	s.emit(RenewCommand{Target: *t.announced, Renewal: cyclamendyke.Renewal{Fence: s.cfg.Epoch}, Immediate: true})
}

// restarted handles the first listing of a later incarnation of a target, which proves that the one before has ended.
// It returns the runs that the listing does not name.
func (s *Scheduler) restarted(t *target, listing *cyclamendyke.Listing) []*run {
	s.logTarget(t.info.ID, "VM restarted")
	named := t.takeNamedRuns(listing)
	s.targetEnded(t, "a later incarnation has its identifier")
	missing := slices.Collect(maps.Values(t.runs))
	maps.Copy(t.runs, named)
	t.beginIncarnation(listing.StartedMillis)
	t.leaseUntil = listing.Clock + s.cfg.Bounds.MaxLease // It may have got a lease by the other clock, which it cuts to that.
	t.fenceInDoubt = s.successorPossible
	s.targetChanged(t.info.ID)
	for _, step := range s.active.steps {
		delete(step.advice.verdicts, t.info.ID)
	}
	return missing
}

// takeNamedRuns removes the runs that a listing names, as running or ended, from a target's runs, and returns them.
func (t *target) takeNamedRuns(listing *cyclamendyke.Listing) map[runKey]*run {
	named := map[runKey]*run{}
	take := func(key runKey) {
		if r := t.runs[key]; r != nil {
			named[key] = r
			delete(t.runs, key)
		}
	}
	for _, report := range listing.Running {
		take(runKey{report.Task, report.Run})
	}
	for _, end := range listing.Ended {
		take(runKey{end.Task, end.Run})
	}
	return named
}

// beginIncarnation clears what is known of a target's last incarnation but for its runs. Nothing is started on the new
// one before its description has come.
func (t *target) beginIncarnation(startedMillis int64) {
	t.undescribed = true
	if next := t.announced; next != nil && next.StartedMillis == startedMillis {
		t.info, t.largestCapacity, t.undescribed = *next, next.Capacity, false
	}
	t.info.StartedMillis = startedMillis
	if next := t.announced; next != nil && next.StartedMillis <= startedMillis {
		t.announcement = announcement{}
	}
	t.announcedRunsEnd = 0
	t.renewalInFlight, t.listingRequested, t.renewFailed = false, false, false
	t.ended, t.silentRuns, t.trial = false, nil, nil
	t.listed, t.reconciled, t.expired = false, false, false
	t.earlierEpochs = earlierEpochs{}
	t.clock, t.clockReadAt, t.grantedEnd, t.rejectsAt = 0, 0, 0, 0
	t.reportedEnds = reportedEnds{}
	t.orphans = map[runKey]bool{}
	t.failures, t.fillerPace, t.mayLeaveAt, t.lagsUntil = 0, fullPace, 0, 0
}

// endOrDoubt ends a run that the first listing of a target's new incarnation, requested at sent, does not name. It
// stays in doubt if an order to start it may yet arrive there, or may have arrived since, or if the listing's ends are cut.
func (s *Scheduler) endOrDoubt(r *run, sent time.Duration, endsAreCut bool) {
	switch {
	case !endsAreCut && r.provenAbsent(sent):
		s.runEnded(r, cyclamendyke.EndTargetEnded, r.checkpoint, 0)
	case r.state == runStopping:
		r.stopAcceptedAt = 0 // The incarnation that has accepted it is gone.
		s.sendStop(r)
	default:
		s.startUnknown(r)
	}
}

// endRuns ends a target's runs, which can no longer be running.
func (s *Scheduler) endRuns(t *target, kind cyclamendyke.EndKind) {
	for _, r := range t.runs {
		s.runEnded(r, kind, r.checkpoint, 0)
	}
}

// checkTargets handles targets whose lease has expired, and checks all remaining runs.
func (s *Scheduler) checkTargets() {
	for id, t := range s.targets {
		if !t.expired && s.mayGiveUp() && s.now > s.runsEndBy(t) {
			s.expire(t)
		}
		// The record of a target must outlive the ends that are read from the target alone.
		if t.expired && !t.registered && len(t.unstoredEnds) == 0 {
			s.logTarget(id, "dropped")
			delete(s.targets, id)
			s.rememberDropped(t)
			s.targetChanged(id)
		}
	}
	for _, t := range s.targets {
		s.sendLateStops(t)
		for _, r := range t.runs {
			s.checkRun(r)
			s.stopOnDraining(r)
		}
	}
}

// expire ends the runs of a target whose lease has expired.
func (s *Scheduler) expire(t *target) {
	if len(t.runs) > 0 {
		s.logTarget(t.info.ID, "lease expired without an answer")
	}
	for _, r := range t.runs {
		t.silentRuns = append(t.silentRuns, s.describeCrashed(r))
	}
	s.endRuns(t, cyclamendyke.EndLeaseExpired)
	t.expired, t.runsEndedAt = true, s.now
	s.runListStale = s.runListStale || len(t.earlierRuns) > 0
}
