package dispatch

import (
	"fmt"
	"time"

	"cyclamendyke"
)

// crashedRun is a run that a target had, or may have had, when its incarnation ended.
type crashedRun struct {
	step    *stepRun
	index   int           // As of stepRun.crashIndex.
	number  int64         // Of the run; zero if unknown.
	least   time.Duration // From the start's order until the target was last known to work.
	most    time.Duration // From the start's order until the target did not answer.
	certain bool          // It had begun.
}

// fresh reports whether the run is among the first to be suspected.
func (r *crashedRun) fresh() bool {
	return !r.certain || r.least < freshTime || r.step.crashHistory(max(0, r.index)).suspected()
}

// targetEnded handles the proof that a target's incarnation has ended; reason says what proves it. An end
// before which it did not drain is a crash. Silence proves nothing: a cut or a frozen process looks the same.
func (s *Scheduler) targetEnded(t *target, reason string) {
	if t.ended {
		return
	}
	t.ended = true
	if t.info.Draining || t.wasDraining {
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

// crashedRuns returns the unfinished runs that a target had when it was last known to work.
func (s *Scheduler) crashedRuns(t *target) []crashedRun {
	var out []crashedRun
	add := func(r crashedRun) {
		for _, known := range out {
			if known.step == r.step && known.index == r.index {
				return // Another member of the gang, or another run of the task.
			}
		}
		out = append(out, r)
	}
	for _, r := range t.runs {
		add(s.describeCrashed(r))
	}
	for _, r := range t.silentRuns {
		add(r)
	}
	if t.listed {
		return out
	}
	for _, earlier := range t.earlierRuns {
		if step := s.findStep(earlier.task); step != nil && !earlier.ended {
			add(step.earlierCrashedRun(earlier))
		}
	}
	return out
}

// describeCrashed describes a run on a target that does not answer any more.
func (s *Scheduler) describeCrashed(r *run) crashedRun {
	workedUntil, silentAt := r.target.answeredAt, s.now
	if r.target.renewFailed {
		workedUntil, silentAt = r.target.workedUntil, r.target.silentAt
	}
	out := crashedRun{
		step: r.step, index: r.step.crashIndex(r.taskIndex), number: r.number,
		least: max(0, workedUntil-r.startedAt), most: max(0, silentAt-r.startedAt),
		certain: r.confirmedAt != 0 || workedUntil > r.startedAt,
	}
	if r.adopted {
		out.most = max(out.most, unknownAge) // It had begun before this epoch found it.
	}
	return out
}

// unknownAge stands for the age of a run that an earlier epoch has started: too long to be quick.
const unknownAge = quickCrash + time.Millisecond

// earlierCrashedRun describes a run that an earlier epoch may have left on a target.
func (step *stepRun) earlierCrashedRun(r earlierRun) crashedRun {
	return crashedRun{step: step, index: step.crashIndex(r.task.Index), most: unknownAge, certain: r.worksUntil != 0}
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
	if alone && s.charge(t, runs[fresh[0]], true) {
		return true
	}
	blamed := false
	for i, r := range runs {
		if !alone || i != fresh[0] {
			blamed = s.charge(t, r, false) || blamed
		}
	}
	return blamed
}

// charge counts a crash against a task, gives the task up if it is to blame, and reports whether it did.
func (s *Scheduler) charge(t *target, r crashedRun, alone bool) bool {
	j := r.step.job
	if j.state.IsFinal() || r.least > maxBlamedAge || r.isDone() {
		return false
	}
	history := r.step.crashHistory(max(0, r.index))
	if !history.add(crash{
		Target: t.info.ID, StartedMillis: t.info.StartedMillis, Run: r.number, LeastMillis: r.least.Milliseconds(), MostMillis: r.most.Milliseconds(),
		Uncertain: !r.certain, Alone: alone,
	}) {
		return false
	}
	s.markDirty(j)
	j.hasCrashes, j.crashVersion = true, j.version
	r.step.soundUntil = s.now + soundPatience
	name := r.name()
	event := EventSuspected
	if history.blamed() {
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
		Event: event, Workflow: j.spec.ID, Task: name, Target: t.info.ID, Count: len(history.crashes), Age: r.most, Reason: reason,
	})
	if event == EventSuspected {
		return false
	}
	s.explainCrashes(history)
	s.finish(j, cyclamendyke.WorkflowFailed)
	return true
}

func (r *crashedRun) isDone() bool {
	if r.index == gangTask {
		return r.step.tasksDone == len(r.step.tasks)
	}
	return r.step.tasks[r.index].done
}

// name returns the name of the task, or of the gang's step.
func (r *crashedRun) name() string {
	if r.index == gangTask {
		return r.step.name().String()
	}
	return r.step.taskName(r.index).String()
}

// crashNote says in a log line how many crashes there were under a task that is started.
func (step *stepRun) crashNote(index int) string {
	count := len(step.crashHistory(index).crashes)
	if count == 0 {
		return ""
	}
	return fmt.Sprintf(", after %d crashes", count)
}

// chargeRestarted counts a crash against a stored run whose target has restarted since. Nothing tells whether
// other targets crashed in the same moment, or how long it had worked.
func (s *Scheduler) chargeRestarted(on runListTarget, r earlierRun) {
	t := s.targets[on.ID]
	step := s.findStep(r.task)
	if t == nil || t.wasDraining || on.StartedMillis == 0 || step == nil || r.ended {
		return
	}
	incarnation := &target{info: t.info}
	incarnation.info.StartedMillis = on.StartedMillis
	s.charge(incarnation, step.earlierCrashedRun(r), false)
}

// rememberDropped remembers a target that was dropped with runs that ended in silence, in case that its crash
// is proven later.
func (s *Scheduler) rememberDropped(t *target) {
	for address, old := range s.droppedTargets {
		if s.now-old.workedUntil > silenceRetention {
			delete(s.droppedTargets, address)
		}
	}
	if len(t.silentRuns) > 0 && !t.ended {
		s.droppedTargets[t.info.Address] = t
	}
}

// addressTaken handles that a target has the address of others, whose incarnations have ended if they began before.
func (s *Scheduler) addressTaken(info cyclamendyke.Target) {
	const reason = "a later incarnation has its address"
	began := func(old *target) bool {
		return old.info.StartedMillis != 0 && old.info.StartedMillis < info.StartedMillis
	}
	if old := s.droppedTargets[info.Address]; old != nil && began(old) {
		delete(s.droppedTargets, info.Address)
		s.targetEnded(old, reason)
	}
	for id, old := range s.targets {
		if id != info.ID && old.info.Address == info.Address && began(old) {
			s.targetEnded(old, reason)
			s.endReplacedTarget(old)
		}
	}
}
