package dispatch

import (
	"time"

	"cyclamendyke"
)

// target is a target VM with what is known of it.
type target struct {
	info    cyclamendyke.Target
	present bool                    // Its description is in the store.
	listed  bool                    // It answered this epoch in its present incarnation.
	over    bool                    // All that ran there has ended, as it has been silent for longer than its lease.
	closed  bool                    // The kept list of targets says that nothing is started here any more.
	bounded bool                    // All that an earlier epoch may have left running here
	shadows []cyclamendyke.TaskName // is among these.

	clock   time.Duration // The last reading of its clock,
	clockAt time.Duration // and when the answer that carried it came.
	until   time.Duration // The end of the longest lease that it may hold, on its clock.

	runs    map[runKey]*run
	used    cyclamendyke.Resources
	left    cyclamendyke.Resources // What the steps before leave of it in a pass, with what is soon free.
	foreign map[runKey]bool        // Runs there that belong to no workflow; while there are any, nothing is placed.

	renewing  bool
	looking   bool
	nextRenew time.Duration
	heardAt   time.Duration // When its last answer came.
	listedAt  time.Duration // When the listing that was answered last was asked for.
	failing   bool          // The last call failed.
	blocked   time.Duration // Nothing is placed before this.
	leaves    time.Duration // While it drains: it stays at least until then; zero if that is not known.

	seen     int64 // The highest end that was taken in.
	lastSeen int64 // The highest end that is recorded.
	unkept   []unkeptEnd

	claims   []claim
	failures int // Of different workflows, since the last success.
	failedBy cyclamendyke.WorkflowID
	paced    int // The percentage at which fillers work here.
	calmAt   time.Duration
}

// runKey identifies a run on a target.
type runKey struct {
	task   cyclamendyke.TaskName
	number int64
}

// unkeptEnd is an end that counts once its workflow's record is kept.
type unkeptEnd struct {
	sequence int64
	job      *job
	version  int64
}

// free returns what is neither used nor on its way out.
func (t *target) free() cyclamendyke.Resources {
	return t.info.Capacity.Sub(t.used)
}

// acknowledge moves lastSeen past the ends whose records are kept.
func (t *target) acknowledge() {
	for len(t.unkept) > 0 && t.unkept[0].job.durable >= t.unkept[0].version {
		t.lastSeen = t.unkept[0].sequence
		t.unkept = t.unkept[1:]
	}
	if len(t.unkept) == 0 && t.lastSeen < t.seen {
		t.lastSeen = t.seen
	}
}

// clockNow estimates the target's clock from its last reading.
func (t *target) clockNow(now time.Duration) time.Duration {
	return t.clock + now - t.clockAt
}

// lapses returns when every lease that the target may hold is over.
func (s *Scheduler) lapses(t *target) time.Duration {
	if !t.listed {
		return s.cfg.Settled
	}
	left := time.Duration(float64(t.until-t.clock) / clockDrift)
	return t.clockAt + left + lapseMargin
}

// LongestLease returns the longest time that a lease lasts which a scheduler grants, also by the slowest target's clock.
func LongestLease(bounds cyclamendyke.Bounds) time.Duration {
	return time.Duration(leasePart * float64(bounds.MaxLease) / clockDrift)
}

// lease returns the end of a lease that is granted now, on the target's clock.
func (s *Scheduler) lease(t *target) time.Duration {
	return t.clockNow(s.now) + time.Duration(leasePart*float64(s.cfg.Bounds.MaxLease))
}

// Describe takes in a target's description from the store.
func (s *Scheduler) Describe(info cyclamendyke.Target) {
	t := s.targets[info.ID]
	switch {
	case t == nil:
		t = &target{runs: map[runKey]*run{}, foreign: map[runKey]bool{}, paced: fullPace}
		s.targets[info.ID] = t
		s.targetSet++
		s.noteTarget(info.ID, "new")
	case info.Born != 0 && t.info.Born != 0 && info.Born < t.info.Born:
		return // An older description than what the target said itself.
	case t.info.Born != 0 && info.Born > t.info.Born:
		s.reborn(t)
	}
	if info.Draining && !t.info.Draining {
		s.noteTarget(info.ID, "draining")
		s.targetSet++
	}
	if t.present && t.info.Draining && t.info.Born == info.Born && !info.Draining {
		info.Draining, info.Remaining = true, t.info.Remaining // Draining is never taken back.
	}
	if !t.present {
		s.targetSet++
	}
	t.info = info
	t.present = true
	s.noteLeaving(t, info.Remaining)
}

// Forget notes that a target's description is gone from the store.
func (s *Scheduler) Forget(id cyclamendyke.TargetID) {
	if t := s.targets[id]; t != nil && t.present {
		t.present = false
		s.targetSet++
		s.noteTarget(id, "gone from the store")
	}
}

func (s *Scheduler) noteTarget(id cyclamendyke.TargetID, what string) {
	s.cfg.Decision(Decision{Event: EventTarget, Target: id, Reason: what})
}

// reborn notes that the target's VM has started again and knows nothing of before.
func (s *Scheduler) reborn(t *target) {
	s.noteTarget(t.info.ID, "started again")
	s.endAll(t, true)
	t.listed, t.bounded, t.shadows = false, true, nil
	s.targetSet++
	t.clock, t.clockAt, t.until = 0, 0, 0
	t.seen, t.lastSeen, t.unkept = 0, 0, nil
	t.foreign = map[runKey]bool{}
	t.failures, t.paced, t.leaves = 0, fullPace, 0
	for _, step := range s.active.listed {
		delete(step.advice.verdicts, t.info.ID)
	}
}

// endAll gives up all runs on a target that can no longer be running; an unanswered start may still reach a new incarnation.
func (s *Scheduler) endAll(t *target, restarted bool) {
	for _, r := range t.runs {
		if restarted && (r.state == runStarting || r.state == runDoubted) {
			s.doubt(r)
			continue
		}
		s.ended(r, cyclamendyke.EndLapsed, r.checkpoint, 0)
	}
}

// checkTargets ends what has lapsed and drops targets that are gone.
func (s *Scheduler) checkTargets() {
	for id, t := range s.targets {
		if t.over || s.now <= s.lapses(t) {
			continue
		}
		if t.listed || !t.present {
			if len(t.runs) > 0 {
				s.noteTarget(id, "silent for longer than its lease")
			}
			s.endAll(t, false)
		}
		t.over = true
		if !t.present {
			s.noteTarget(id, "dropped")
			delete(s.targets, id)
			s.targetSet++
		}
	}
	for _, t := range s.targets {
		for _, r := range t.runs {
			s.watchRun(r)
			s.moveOff(r)
		}
	}
}
