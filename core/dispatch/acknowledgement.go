package dispatch

import "time"

// The rules for acknowledging ends. A request names a target, not its incarnation: one that restarts under its identifier counts its ends
// anew, and would forget those of its own up to a number that was meant for the one before. It has none before it has accepted a start and
// run it, so that nothing is acknowledged while a start may have reached a later incarnation than the one that listed the ends, and ended.
const (
	maxClockDifference = 200 * time.Millisecond // Between a target's clock and its estimate, within an incarnation.
	quickestEnd        = 25 * time.Millisecond  // No run ends sooner after the request to start it.
	ackPatience        = 50 * time.Millisecond  // After this nothing more is started on a target, so that the starts sent so far have their outcome.
	maxRenewalDelay    = 100 * time.Millisecond // How long a renewal waits at most to take an acknowledgement along.
)

// nextAck returns the sequence number of ends to acknowledge in a request that is sent now, or zero.
func (s *Scheduler) nextAck(t *target) int64 {
	if t.renewFailed || s.holdsAck(t) {
		return 0
	}
	t.acked, t.ackHeldSince = max(t.acked, t.lastEndStored), 0
	return t.lastEndStored
}

// holdsAck reports whether another incarnation of the target than the one that is known may have ends.
func (s *Scheduler) holdsAck(t *target) bool {
	isHeld := t.lifeDoubtedAt != 0 || t.hasStartBefore(s.now-quickestEnd)
	if isHeld && t.lastEndStored > t.acked && t.ackHeldSince == 0 {
		t.ackHeldSince = s.now
	}
	return isHeld
}

// delaysRenewal reports whether a renewal waits for a moment, since it could not acknowledge what is stored.
func (s *Scheduler) delaysRenewal(t *target) bool {
	return t.startsSent > 0 && t.lastEndStored > t.acked && !t.renewFailed && s.holdsAck(t) && s.now < t.ackHeldSince+maxRenewalDelay
}

// sentStarts are the requests to start a run on a target that have no outcome yet.
type sentStarts struct {
	startsSent  int                      // How many there are.
	oldestStart map[runKey]time.Duration // By run: when the first of them was sent.
}

func (s *sentStarts) startSent(key runKey, now time.Duration) {
	if s.oldestStart == nil {
		s.oldestStart = map[runKey]time.Duration{}
	}
	if _, isKnown := s.oldestStart[key]; !isKnown {
		s.oldestStart[key] = now
	}
	s.startsSent++
}

// startAnswered takes off a request that has an outcome; isLast says whether none is left for its run.
func (s *sentStarts) startAnswered(key runKey, isLast bool) {
	s.startsSent = max(0, s.startsSent-1)
	if isLast || s.startsSent == 0 {
		delete(s.oldestStart, key)
	}
}

// hasStartBefore reports whether a request that was sent by a given time has no outcome.
func (s *sentStarts) hasStartBefore(at time.Duration) bool {
	if s.startsSent == 0 {
		return false
	}
	for _, sent := range s.oldestStart {
		if sent <= at {
			return true
		}
	}
	return false
}

// lacksAck reports whether an acknowledgement has waited for so long that nothing more is started on the target before it is sent.
func (s *Scheduler) lacksAck(t *target) bool {
	return t.ackHeldSince != 0 && s.now >= t.ackHeldSince+ackPatience
}

// startOutcome notes the outcome of a request to start a run, which was sent at a given time; clock is the target's if it has accepted the
// run, or zero if that is not known. It reports whether another incarnation has accepted it than the one that is known.
func (s *Scheduler) startOutcome(t *target, sent time.Duration, isUnknown, isAccepted bool, clock time.Duration) bool {
	isShown := clock != 0 && t.clockReadAt != 0
	isOther := isAccepted && isShown && clock+maxClockDifference < t.clockNow(sent)
	if isUnknown || isOther || isAccepted && !isShown {
		t.lifeDoubtedAt = s.now
	}
	return isOther
}

// lifeShown notes that a listing which was asked for at sent has shown the target's incarnation.
func (t *target) lifeShown(sent time.Duration) {
	if sent > t.lifeDoubtedAt {
		t.lifeDoubtedAt = 0
	}
}
