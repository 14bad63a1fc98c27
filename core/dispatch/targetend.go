package dispatch

import (
	"time"

	"cyclamendyke"
)

// resetRestartedTarget clears what is known of a target whose VM has restarted, and so has lost all
// its runs. Earlier epochs may have started others since, if the restart was before this epoch.
func (s *Scheduler) resetRestartedTarget(t *target) {
	s.logTarget(t.info.ID, "VM restarted")
	s.targetEnded(t, "a later incarnation has its identifier")
	s.endRuns(t, cyclamendyke.EndTargetEnded, true)
	t.ended, t.silentRuns, t.trial = false, nil, nil
	t.listed, t.expired = false, false
	t.earlierEpochs = earlierEpochs{}
	t.fenceInDoubt = s.successorPossible
	if len(t.runs) > 0 {
		t.ownRunsEndBy = s.now + time.Duration(float64(s.cfg.Bounds.MaxLease)/minClockRate) + leaseMargin // A start's lease end, by the old clock, is cut to the longest.
	}
	s.targetChanged(t.info.ID)
	t.clock, t.clockReadAt, t.leaseUntil = 0, 0, 0
	t.reportedEnds = reportedEnds{}
	t.orphans = map[runKey]bool{}
	t.failures, t.fillerPace, t.mayLeaveAt, t.lagsUntil = 0, fullPace, 0, 0
	for _, step := range s.active.steps {
		delete(step.advice.verdicts, t.info.ID)
	}
}

// endRuns ends a target's runs, which can no longer be running; after a restart, an unanswered start
// may still reach the new incarnation and stays uncertain.
func (s *Scheduler) endRuns(t *target, kind cyclamendyke.EndKind, restarted bool) {
	for _, r := range t.runs {
		if restarted && (r.state == runStarting || r.state == runStartUnknown) {
			s.startUnknown(r)
			continue
		}
		s.runEnded(r, kind, r.checkpoint, 0)
	}
}

// checkTargets handles targets whose lease has expired, and checks all remaining runs.
func (s *Scheduler) checkTargets() {
	for id, t := range s.targets {
		if !t.expired && !s.successorPossible && s.now > s.runsEndBy(t) {
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
	s.endRuns(t, cyclamendyke.EndLeaseExpired, false)
	t.expired = true
	s.runListStale = s.runListStale || len(t.earlierRuns) > 0
}
