package dispatch

import (
	"time"

	"cyclamendyke/core/crash"
	"cyclamendyke/core/progress"
)

// crashedRun is a run that a target had, or may have had, when its incarnation ended.
type crashedRun struct {
	step    *stepRun
	index   int           // As of stepRun.crashIndex.
	members []int         // Of a gang: those that ran on the target.
	number  int64         // Of the run; zero if unknown.
	least   time.Duration // From the start's order until the target was last known to work.
	most    time.Duration // From the start's order until the target did not answer.
	certain bool          // It had begun.
}

// fresh reports whether the run is among the first to be suspected.
func (r *crashedRun) fresh() bool {
	return !r.certain || r.least < crash.FreshTime || r.step.isSuspected(max(0, r.index))
}

func (r *crashedRun) isDone() bool {
	if r.index == progress.Gang {
		return r.step.isDone()
	}
	return r.step.done.Has(r.index)
}

// name returns the name of the task, or of the gang's step.
func (r *crashedRun) name() string {
	if r.index == progress.Gang {
		return r.step.name().String()
	}
	return r.step.taskName(r.index).String()
}

// crashedRuns returns the unfinished runs that a target had when it was last known to work.
func (s *Scheduler) crashedRuns(t *target) []crashedRun {
	var out []crashedRun
	add := func(r crashedRun) {
		for i, known := range out {
			if known.step != r.step || known.index != r.index {
				continue
			}
			if known.number == r.number {
				out[i].members = append(out[i].members, r.members...)
			}
			return // Another member of the gang, or another run of the task.
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
		if step := s.findUnfinished(earlier.task); step != nil && !earlier.ended {
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
		step: r.step, index: r.step.crashIndex(r.taskIndex), members: r.step.crashMembers(r.taskIndex), number: r.number,
		least: max(0, workedUntil-r.startedAt), most: max(0, silentAt-r.startedAt),
		certain: r.confirmedAt != 0 || workedUntil > r.startedAt,
	}
	if r.adopted {
		out.most = max(out.most, unknownAge) // It had begun before this epoch found it.
	}
	return out
}

// unknownAge stands for the age of a run that an earlier epoch has started: too long to be quick.
const unknownAge = crash.QuickCrash + time.Millisecond

// earlierCrashedRun describes a run that an earlier epoch may have left on a target.
func (step *stepRun) earlierCrashedRun(r earlierRun) crashedRun {
	return crashedRun{
		step: step, index: step.crashIndex(r.task.Index), members: step.crashMembers(r.task.Index), least: r.worked, most: max(unknownAge, r.worked), certain: r.worksUntil != 0,
	}
}
