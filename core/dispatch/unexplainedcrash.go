package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/crash"
)

// unexplainedCrash is a machine's last crash for which no task is known to be to blame.
type unexplainedCrash struct {
	target cyclamendyke.TargetID
	at     time.Duration
	count  int // Unexplained crashes of the machine, each within crashMemory of the one before.
}

// The rules for machines that crash on their own.
const (
	crashMemory     = 30 * time.Second // How long an unexplained crash is remembered.
	avoidedCrashes  = 2                // After so many, nothing is started on a machine for a while.
	avoidedFor      = 10 * time.Second
	crashRest       = time.Second // Nothing is started on a machine for so long after any such crash.
	maxAvoidedShare = 0.25        // Part of a service's targets; if more crash, the machines are not the cause.
)

// noteUnexplained notes that a target's machine has crashed and no task is known to be to blame.
func (s *Scheduler) noteUnexplained(t *target) {
	now := unexplainedCrash{target: t.info.ID, at: s.now, count: 1}
	if s.crashedLately(t) {
		now.count += s.unexplainedCrashes[t.info.Address].count
	}
	s.unexplainedCrashes[t.info.Address] = now
	if now.count >= avoidedCrashes {
		s.cfg.LogDecision(Decision{Event: EventTargetAvoided, Target: t.info.ID, Count: now.count, Reason: ReasonCrashes})
	}
}

// updateAvoided decides on which targets nothing is started since their machines crash on their own.
func (s *Scheduler) updateAvoided() {
	targets, avoided := map[cyclamendyke.ServiceName]int{}, map[cyclamendyke.ServiceName]int{}
	for _, t := range s.targets {
		last := s.unexplainedCrashes[t.info.Address]
		t.avoided = last.count >= avoidedCrashes && s.now-last.at < avoidedFor || last.count > 0 && s.now-last.at < crashRest
		targets[t.info.Service]++
		if t.avoided {
			avoided[t.info.Service]++
		}
	}
	for _, t := range s.targets {
		t.avoided = t.avoided && float64(avoided[t.info.Service]) <= maxAvoidedShare*float64(targets[t.info.Service])
	}
}

// crashedLately reports whether a target's machine may be prone to crash, so that another crash there says
// little about the task that was tried.
func (s *Scheduler) crashedLately(t *target) bool {
	last, hasCrashed := s.unexplainedCrashes[t.info.Address]
	return hasCrashed && s.now-last.at < crashMemory
}

// explainCrashes trusts the machines again that a task crashed which is known to be to blame, and the other tasks
// that ran there.
func (s *Scheduler) explainCrashes(history *crash.History) {
	for address, last := range s.unexplainedCrashes {
		if slices.ContainsFunc(history.Crashes, func(c crash.Record) bool { return c.Target == last.target }) {
			delete(s.unexplainedCrashes, address)
		}
	}
	for _, j := range s.jobs {
		if !j.hasCrashes || j.state.IsFinal() {
			continue
		}
		if j.explainCrashes(history) {
			s.markDirty(j)
		}
	}
}

// explainCrashes marks the crashes under a workflow's tasks that another task has caused, and reports whether there
// were any.
func (j *job) explainCrashes(blamed *crash.History) bool {
	found := false
	for step := range j.openSteps() {
		found = step.gangCrashes.Explain(blamed) || found
		for _, task := range step.tasks.All() {
			found = task.crashes.Explain(blamed) || found
		}
	}
	return found
}
