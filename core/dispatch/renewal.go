package dispatch

import (
	"time"

	"cyclamendyke"
)

// The timing of renewals.
const (
	renewWait       = time.Second                      // How long a target may wait for a run to end before it answers.
	servingWait     = 500 * time.Millisecond           // Replaces renewWait where fillers run beside serving tasks, whose latency must be seen sooner.
	renewRetryDelay = 250 * time.Millisecond           // Pause after a failed renewal.
	unstoredDelay   = 150 * time.Millisecond           // Pause while ends wait to be stored; the target answers at once until they are acknowledged.
	maxAnswerAge    = renewWait + 700*time.Millisecond // A target whose last answer is older gets no new runs.
)

// Renew returns the renewals that are due. They have a schedule of their own beside the passes, which may be long: while
// none are due here, and until the next call, others may renew the leases by what the ledger knows of them.
func (s *Scheduler) Renew() []Command {
	s.renewedAt = s.now
	s.renewAll()
	s.holdLeases()
	commands := s.commands
	s.commands = nil
	return commands
}

// renewAll emits the renewals that are due.
func (s *Scheduler) renewAll() {
	for _, t := range s.targets {
		s.probeAnnounced(t)
		if t.renewalInFlight || s.now < t.renewAt || s.delaysRenewal(t) {
			continue
		}
		t.renewalInFlight = true
		t.renewalSentAt = s.now
		s.emit(RenewCommand{Target: t.info, Renewal: s.renewal(t, s.longPollWait(t))})
	}
}

func (s *Scheduler) longPollWait(t *target) time.Duration {
	if !t.listed || t.renewFailed {
		return 0 // An immediate answer shows the soonest that the target is back.
	}
	if t.servingRuns > 0 && t.fillerRuns > 0 {
		return servingWait
	}
	return renewWait
}

func (s *Scheduler) renewal(t *target, wait time.Duration) cyclamendyke.Renewal {
	renewal := cyclamendyke.Renewal{Fence: s.cfg.Epoch, AckedSequence: s.nextAck(t), Wait: wait}
	// The lease of a target that does not answer must be able to expire.
	if t.listed && !t.renewFailed {
		renewal.Until = s.grantLease(t)
	}
	return renewal
}

// requestListing asks for an immediate listing while the regular renewal may wait for a run to end.
func (s *Scheduler) requestListing(t *target) {
	if t.listingRequested || !t.listed {
		return
	}
	t.listingRequested = true
	s.emit(RenewCommand{Target: t.info, Renewal: s.renewal(t, 0), Immediate: true})
}

// requestProgress asks for an immediate listing without extending the lease, which must run out if the target does not
// answer.
func (s *Scheduler) requestProgress(t *target) {
	if t.listingRequested || !t.listed {
		return
	}
	t.listingRequested = true
	renewal := cyclamendyke.Renewal{Fence: s.cfg.Epoch, AckedSequence: s.nextAck(t)}
	s.emit(RenewCommand{Target: t.info, Renewal: renewal, Immediate: true})
}

// Renewed handles a target's answer to a renewal; sent is when the renewal was sent.
func (s *Scheduler) Renewed(info cyclamendyke.Target, immediate bool, sent time.Duration, listing cyclamendyke.Listing) {
	t := s.targets[info.ID]
	if t == nil {
		return
	}
	t.renewalDone(info, immediate)
	isOfEarlier := listing.StartedMillis != 0 && listing.StartedMillis < t.info.StartedMillis
	if isOfEarlier || sent <= t.runsEndedAt {
		t.renewAt = s.now
		return // It was given before the incarnation, or all its runs, are known to have ended.
	}
	var missing []*run
	hasRestarted := t.info.StartedMillis != 0 && listing.StartedMillis > t.info.StartedMillis
	if hasRestarted {
		missing = s.restarted(t, &listing)
	}
	t.info.StartedMillis = max(t.info.StartedMillis, listing.StartedMillis)
	if !t.listed {
		t.listed, s.lastListedAt, s.leasesHeldAt = true, s.now, 0
		s.runListStale = s.runListStale || len(t.earlierRuns) > 0
		t.leaseUntil = max(t.leaseUntil, listing.Clock+s.earlierLeaseLeft(t))
		s.logTarget(info.ID, "listed")
		s.addressTaken(t.info)
	}
	t.expired, t.ended, t.silentRuns = false, false, nil
	if t.renewFailed {
		t.renewFailed, s.leasesHeldAt = false, 0
		s.endSilence(t)
	}
	t.answeredAt = s.now
	t.lifeShown(sent)
	t.listingSentAt = max(t.listingSentAt, sent)
	if listing.Clock > t.clock {
		t.clock, t.clockReadAt = listing.Clock, s.now
	}
	if listing.Draining {
		if !t.info.Draining {
			s.targetChanged(info.ID)
		}
		t.info.Draining = true
		t.info.Remaining = listing.Remaining
		s.setMayLeaveAt(t, listing.Remaining)
	}
	for _, r := range missing {
		s.endOrDoubt(r, sent, listing.MoreEnds)
	}
	s.applyEnds(t, listing.Ended)
	if listing.Clock >= t.clock { // Otherwise a later listing has overtaken it.
		s.reconcile(t, sent, &listing)
		s.noteAllEndsListed(t, &listing)
	}
	if hasRestarted {
		s.expectLateOrders(t)
	}
	s.updateLag(t)
	s.updateFillerPace(t)
	t.acknowledge()
	t.renewAt = s.now
	if len(t.unstoredEnds) > 0 {
		t.renewAt = s.now + unstoredDelay
	}
}

// renewalDone notes the end of a request for which info described the target.
func (t *target) renewalDone(info cyclamendyke.Target, immediate bool) {
	switch {
	case isLater(info, t.info):
		t.probeInFlight = false
	case isLater(t.info, info): // The incarnation that it was for has been replaced since.
	case immediate:
		t.listingRequested = false
	default:
		t.renewalInFlight = false
	}
}

// RenewFailed handles a renewal that had no answer or was refused.
func (s *Scheduler) RenewFailed(info cyclamendyke.Target, immediate bool, kind cyclamendyke.Kind) {
	t := s.targets[info.ID]
	if t == nil {
		return
	}
	t.renewalDone(info, immediate)
	if kind == cyclamendyke.KindFenced {
		s.superseded = true
	}
	switch {
	case isLater(info, t.info):
		t.probeAt = s.now + renewRetryDelay
		return
	case isLater(t.info, info):
		return
	}
	t.renewAt = s.now + renewRetryDelay
	if !t.renewFailed {
		s.noteSilence(t, !immediate && kind == cyclamendyke.KindUnknown && s.now-t.renewalSentAt < renewWait)
		t.renewFailed = true
		s.logTarget(info.ID, "renewal failed: "+string(kind))
	}
	if kind == cyclamendyke.KindWrongTarget {
		s.wrongTargetAnswered(t, info)
	}
}

// wrongTargetAnswered handles that another target has answered a request, for which info described the target: unless
// it has moved since, its incarnation has ended.
func (s *Scheduler) wrongTargetAnswered(t *target, info cyclamendyke.Target) {
	if t.info.Address != info.Address || isLater(t.info, info) {
		return
	}
	s.targetEnded(t, "another target answers at its address")
	s.endReplacedTarget(t)
}

// endReplacedTarget ends a target's runs when another target has its address.
func (s *Scheduler) endReplacedTarget(t *target) {
	s.endRuns(t, cyclamendyke.EndTargetEnded)
	t.expired, t.runsEndedAt = true, s.now
	if !t.registered {
		delete(s.targets, t.info.ID)
		s.targetChanged(t.info.ID)
	}
}
