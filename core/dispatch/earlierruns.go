package dispatch

import (
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
)

// earlierRun is a run that an earlier epoch may have left on a target.
type earlierRun struct {
	task       cyclamendyke.TaskName
	team       cyclamendyke.TeamName
	need       cyclamendyke.Resources
	worksUntil time.Duration // Until when it certainly works, unless an earlier epoch has stopped it since; zero if unknown.
	worked     time.Duration // How long it is known to have worked.
	ended      bool          // It had ended when that was stored.
}

// checkEarlierRuns updates earlierRunsKnown, unlistedRunsEnded, unlistedTasks, orphansLeft and the teams' maxUnlistedUse.
func (s *Scheduler) checkEarlierRuns() {
	s.earlierLeasesOver = s.earlierLeasesOver || !s.successorPossible && s.now >= s.cfg.EarlierRunsEndBy
	if s.earlierRunsKnown && len(s.unlistedTasks) == 0 && !s.orphansLeft {
		return
	}
	knownBefore := s.earlierRunsKnown
	s.earlierRunsKnown, s.unlistedRunsEnded, s.orphansLeft = true, true, false
	s.earlierRunsKnownAt = 0
	silentTargets := 0
	var unlistedCapacity cyclamendyke.Resources
	s.unlistedTasks = map[cyclamendyke.TaskName]bool{}
	for _, t := range s.targets {
		t.earlierLeaseOver = s.isEarlierLeaseOver(t)
		if !s.mayHaveUnlistedRuns(t) {
			s.forgetEarlierRuns(t)
			continue
		}
		mayRun := t.hasUnlistedIncarnation() && !t.earlierRunsComplete && !t.earlierLeaseOver
		if mayRun || !s.earlierRunsListed(t) {
			s.earlierRunsKnown = false
			s.earlierRunsKnownAt = max(s.earlierRunsKnownAt, s.earlierRunsEndBy(t))
		}
		if mayRun {
			s.unlistedRunsEnded = false
			unlistedCapacity = unlistedCapacity.Add(t.largestCapacity)
			continue
		}
		silentTargets++
		s.addUnlistedTasks(t)
	}
	s.updateMaxUnlistedUse(unlistedCapacity)
	if !s.earlierRunsKnown || knownBefore {
		return
	}
	s.cfg.LogDecision(Decision{
		Event: EventSettled, Count: len(s.targets),
		Reason: fmt.Sprintf("%d targets without an answer, %d tasks may still run or be done there", silentTargets, len(s.unlistedTasks)),
	})
}

// forgetEarlierRuns forgets the runs of earlier epochs on a target that has told what is left of them.
func (s *Scheduler) forgetEarlierRuns(t *target) {
	if t.expired || len(t.orphans) == 0 {
		t.earlierRuns = nil
	}
	s.orphansLeft = s.orphansLeft || len(t.earlierRuns) > 0
}

// earlierRunsListed reports whether all tasks are listed that may be done on a target without an answer, or with one in which ends
// are missing.
func (s *Scheduler) earlierRunsListed(t *target) bool {
	if t.earlierRunsComplete || !t.wasUsed {
		return true
	}
	return t.hasUnlistedIncarnation() && (t.presumedGone() || s.hasLapsingRun(t))
}

// addUnlistedTasks adds the tasks that wait for a target to answer, or to list all its ends.
func (s *Scheduler) addUnlistedTasks(t *target) {
	for _, r := range t.earlierRuns {
		if t.hasUnlistedIncarnation() && !t.earlierLeaseOver || s.mayBeDone(r) {
			s.unlistedTasks[r.task] = true
		}
	}
}

// updateMaxUnlistedUse computes each team's maxUnlistedUse; unlistedCapacity is the total capacity of
// the targets on which unknown runs of earlier epochs may be left.
func (s *Scheduler) updateMaxUnlistedUse(unlistedCapacity cyclamendyke.Resources) {
	for _, t := range s.teams {
		t.maxUnlistedUse = cyclamendyke.Resources{}
	}
	for _, j := range s.jobs {
		if !s.earlierRunsKnown && j.inherited {
			t := s.team(j.spec.Team)
			t.maxUnlistedUse = t.maxUnlistedUse.Add(j.unstartedDemand())
		}
	}
	for _, t := range s.teams {
		t.maxUnlistedUse = t.maxUnlistedUse.Min(unlistedCapacity)
	}
	for _, t := range s.targets {
		mayBeLeft := len(t.earlierRuns) > 0 && s.mayHaveUnlistedRuns(t) // It looks at all of them.
		for _, r := range t.earlierRuns {
			if s.countsAsUnlisted(t, r, mayBeLeft) {
				team := s.team(r.team)
				team.maxUnlistedUse = team.maxUnlistedUse.Add(r.need)
			}
		}
	}
}

// countsAsUnlisted reports whether a stored run may still use resources that are counted neither as a
// known run nor in an unstartedDemand; mayBeLeft says whether any of the target may.
func (s *Scheduler) countsAsUnlisted(t *target, r earlierRun, mayBeLeft bool) bool {
	switch {
	case r.ended:
		return false
	case t.listed:
		return t.hasOrphan(r.task)
	case !mayBeLeft || t.earlierLeaseOver:
		return false
	case t.earlierRunsComplete:
		return true
	}
	state, isKnown := s.lookUp(r.task)
	return !isKnown || !state.job.inherited || state.isDone || state.hasRuns
}

// unstartedDemand returns the resources of the tasks that are not done and have no known run.
func (j *job) unstartedDemand() cyclamendyke.Resources {
	var sum cyclamendyke.Resources
	for step := range j.openSteps() {
		sum = sum.Add(step.spec.Reserved().Scale(int64(step.waiting.Count())))
	}
	unopened := int64(j.unopened())
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		count := unopened
		for _, occ := range j.open {
			if occ.steps[i] == nil && !occ.done.Has(i) {
				count++
			}
		}
		sum = sum.Add(step.Reserved().Scale(int64(step.Count) * count))
	}
	return sum
}

// namedRun returns a run of a task that the record of a closed target names.
func (s *Scheduler) namedRun(name cyclamendyke.TaskName) earlierRun {
	r := earlierRun{task: name}
	if state, isKnown := s.lookUp(name); isKnown {
		r.team, r.need = state.job.spec.Team, state.spec.Reserved()
	}
	return r
}

// mayBeDone reports whether an earlier run may have ended as done, so that its task must not run again
// before its target is back or is given up.
func (s *Scheduler) mayBeDone(r earlierRun) bool {
	state, isKnown := s.lookUp(r.task)
	return isKnown && !state.job.state.IsFinal() && !state.spec.LongRunning && !state.spec.Speculative && !state.isDone
}

// lapsesOnTarget reports whether an earlier run certainly works until its target's lease ends.
func (s *Scheduler) lapsesOnTarget(t *target, r earlierRun) bool {
	state, isKnown := s.lookUp(r.task)
	if r.worksUntil == 0 || !isKnown {
		return false
	}
	return (state.spec.LongRunning || r.worksUntil > s.earlierLeaseEnd(t)) && !state.isDone && !state.job.state.IsFinal()
}

// mayHoldDoneTasks reports whether an end that only a target knows may still count.
func (s *Scheduler) mayHoldDoneTasks(t *target) bool {
	return slices.ContainsFunc(t.earlierRuns, s.mayBeDone) && !s.hasLapsingRun(t)
}

// outlivesEnds reports whether the step's tasks may start again although an end that is not known says that they are done.
func (step *stepRun) outlivesEnds() bool {
	return step.spec.LongRunning || step.spec.Speculative
}
