package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// otherTrials counts the targets of a service, and those that are kept for trials of other tasks.
type otherTrials struct {
	kept, targets int
}

// reached reports whether so many targets are kept that count more are too many.
func (o otherTrials) reached(count int) bool {
	return o.kept > 0 && float64(o.kept+count) > maxTrialShare*float64(o.targets)
}

// distinct returns the targets without repetitions.
func distinct(targets []*target) []*target {
	var out []*target
	for _, t := range targets {
		if !slices.Contains(out, t) {
			out = append(out, t)
		}
	}
	return out
}

// chooseForTrial returns targets for count tasks, one entry for each, or nil. It prefers targets that are kept
// for this trial already, and for some time leaves out those whose machines have crashed lately, unless no other has room.
func (s *Scheduler) chooseForTrial(queue *cyclamendyke.Queue, task trialTask, count int) ([]*target, otherTrials) {
	step := task.step
	var kept, free []*target
	var others otherTrials
	step.needsStable = s.now < step.stableUntil && s.hasStableTarget(step, queue)
	for _, t := range s.targets {
		if t.info.Service != queue.Service || !s.ready(t) || s.evacuated(t) {
			continue
		}
		others.targets++
		isKept := t.trial.has(task)
		if t.trial != nil && !isKept {
			others.kept++
			continue
		}
		if !s.eligible(step, queue, t) || !step.hasTicket(queue, t, s.now) || s.isUnstableFor(step, t) {
			continue
		}
		if isKept {
			kept = append(kept, t)
		} else {
			free = append(free, t)
		}
	}
	if chosen := s.fillTargets(step, kept, count); chosen != nil {
		return chosen, others
	}
	return s.fillTargets(step, append(kept, free...), count), others
}

// chooseShared returns a target that is kept for a trial which a task may join, or nil: the one with the fewest tasks to be tried.
func (s *Scheduler) chooseShared(queue *cyclamendyke.Queue, task trialTask) *target {
	if !task.mayShare() {
		return nil
	}
	var best *target
	for _, t := range s.targets {
		if t.trial == nil || !t.trial.isShared || t.trial.began && !s.mayJoin(t.trial) || len(t.trial.tasks) >= maxTrialTasks {
			continue
		}
		step := task.step
		isUsable := t.info.Service == queue.Service && s.ready(t) && !s.evacuated(t) && s.eligible(step, queue, t) && step.hasTicket(queue, t, s.now)
		if !isUsable || s.isUnstableFor(step, t) || !s.fitsNow(step, t, 0) || !s.leavesHeadroom(step, t, nil) {
			continue
		}
		if best == nil || len(t.trial.tasks) < len(best.trial.tasks) || len(t.trial.tasks) == len(best.trial.tasks) && t.info.ID < best.info.ID {
			best = t
		}
	}
	return best
}

// hasStableTarget reports whether any target with room for a task of the step has a machine that has not crashed lately.
func (s *Scheduler) hasStableTarget(step *stepRun, queue *cyclamendyke.Queue) bool {
	for _, t := range s.targets {
		if s.ready(t) && !s.evacuated(t) && s.eligible(step, queue, t) && s.fitsNow(step, t, 0) && !s.crashedLately(t) {
			return true
		}
	}
	return false
}

// isUnstableFor reports whether a step's suspected tasks should rather be tried elsewhere, since a crash of the
// target would say little about them.
func (s *Scheduler) isUnstableFor(step *stepRun, t *target) bool {
	return step.needsStable && s.crashedLately(t)
}

// fillTargets returns targets that have room for count tasks of a step together, one entry for each task, or nil.
// It prefers those with the fewest runs.
func (s *Scheduler) fillTargets(step *stepRun, targets []*target, count int) []*target {
	slices.SortFunc(targets, func(a, b *target) int {
		return cmp.Or(cmp.Compare(len(a.runs), len(b.runs)), cmp.Compare(a.lastStartAt, b.lastStartAt), cmp.Compare(a.info.ID, b.info.ID))
	})
	planned, chosen := plan{}, make([]*target, 0, count)
	for _, t := range targets {
		for len(chosen) < count && s.fitsNow(step, t, planned[t]) && s.leavesHeadroom(step, t, planned) {
			planned[t]++
			chosen = append(chosen, t)
		}
	}
	if len(chosen) < count || count == 0 {
		return nil
	}
	return chosen
}

// hasTicket reports whether a step may start on a target as far as advice is concerned.
func (step *stepRun) hasTicket(queue *cyclamendyke.Queue, t *target, now time.Duration) bool {
	if queue.Advice == nil {
		return true
	}
	v := step.advice.verdicts[t.info.ID]
	return v.allowed && now < v.expiresAt
}
