package dispatch

import (
	"cyclamendyke"
	"cyclamendyke/core/crash"
)

// targetEnded handles the proof that a target's incarnation has ended; reason says what proves it. An end
// before which it did not drain is a crash. Silence proves nothing: a cut or a frozen process looks the same.
func (s *Scheduler) targetEnded(t *target, reason string) {
	if t.ended {
		return
	}
	t.ended = true
	wasSeen := t.listed || len(t.earlierRuns) > 0 // Otherwise another writer may have described it.
	if t.info.Draining || t.wasDraining || !wasSeen {
		return
	}
	runs := s.crashedRuns(t)
	s.cfg.LogDecision(Decision{
		Event: EventTargetCrashed, Target: t.info.ID, Reason: reason, Count: len(runs), Age: s.now - t.answeredAt,
	})
	if others := s.failedTogether(t); others > 0 {
		s.cfg.LogDecision(Decision{
			Event: EventCrashExcused, Target: t.info.ID, Count: others, Reason: "other targets failed at the same moment",
		})
		return
	}
	if !s.blame(t, runs) {
		s.noteUnexplained(t)
	}
}

// blame counts a crash against the tasks that ran on a target, or against one of them alone if it is known
// to be the cause, and reports whether it is.
func (s *Scheduler) blame(t *target, runs []crashedRun) bool {
	var fresh []int
	for i := range runs {
		if runs[i].fresh() {
			fresh = append(fresh, i)
		}
	}
	alone := len(fresh) == 1 && !s.crashedLately(t)
	if alone && s.countCrash(t, runs[fresh[0]], true) {
		return true
	}
	blamed := false
	for i, r := range runs {
		if !alone || i != fresh[0] {
			blamed = s.countCrash(t, r, false) || blamed
		}
	}
	return blamed
}

// countCrash counts a crash against a task, gives the task up if it is to blame, and reports whether it did.
func (s *Scheduler) countCrash(t *target, r crashedRun, alone bool) bool {
	j := r.step.job
	if j.state.IsFinal() || r.least > crash.MaxBlamedAge || r.isDone() {
		return false
	}
	history := r.step.crashHistory(max(0, r.index))
	if !history.Add(r.crashOf(t, alone)) {
		return false
	}
	s.markDirty(j)
	j.hasCrashes, j.crashVersion = true, j.version
	r.step.stableUntil = s.now + stableTargetWait
	s.logCountedCrash(t, r, alone)
	evidence := history.Evidence()
	if len(evidence) == 0 {
		return false
	}
	s.explainCrashes(&crash.History{Crashes: evidence})
	s.finish(j, cyclamendyke.WorkflowFailed)
	return true
}

// crashOf describes the crash of a target under the run.
func (r *crashedRun) crashOf(t *target, alone bool) crash.Record {
	return crash.Record{
		Target: t.info.ID, StartedMillis: t.info.StartedMillis, Run: r.number, LeastMillis: r.least.Milliseconds(), MostMillis: r.most.Milliseconds(),
		Uncertain: !r.certain, Members: r.members, Whole: len(r.members) == r.step.spec.Count, Alone: alone,
	}
}

// logCountedCrash logs that a crash was counted against a task.
func (s *Scheduler) logCountedCrash(t *target, r crashedRun, alone bool) {
	history := r.step.crashHistory(max(0, r.index))
	event := EventSuspected
	if history.Blamed() {
		event = EventBlamed
	}
	reason := "beside other work"
	if alone {
		reason = "apart from other work"
	}
	if !r.certain {
		reason += ", if it had begun"
	}
	s.cfg.LogDecision(Decision{
		Event: event, Workflow: r.step.job.spec.ID, Task: r.name(), Target: t.info.ID, Count: len(history.Crashes), Age: r.most, Reason: reason,
	})
}

// countRestartedCrash counts a crash against a stored run whose target has restarted since. Nothing tells whether
// other targets crashed in the same moment, or how long it had worked.
func (s *Scheduler) countRestartedCrash(on runListTarget, r earlierRun) {
	t := s.targets[on.ID]
	step := s.findUnfinished(r.task)
	if t == nil || t.wasDraining || on.StartedMillis == 0 || step == nil || r.ended {
		return
	}
	incarnation := &target{info: t.info}
	incarnation.info.StartedMillis = on.StartedMillis
	s.countCrash(incarnation, step.earlierCrashedRun(r), false)
}
