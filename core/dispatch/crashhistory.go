package dispatch

import (
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
)

// crash is the end of a target's incarnation under a run of a task.
type crash struct {
	Target        cyclamendyke.TargetID `json:"target"`
	StartedMillis int64                 `json:"born-ms"`             // Which incarnation of the target it was.
	Run           int64                 `json:"run,omitempty"`       // Number of the run; zero if unknown.
	LeastMillis   int64                 `json:"least-ms"`            // From the start's order until the target was last known to work.
	MostMillis    int64                 `json:"most-ms"`             // From the start's order until the target did not answer.
	Uncertain     bool                  `json:"uncertain,omitempty"` // The run may not have begun.
	Explained     bool                  `json:"explained,omitempty"` // Another task that ran there is to blame.
	Alone         bool                  `json:"alone,omitempty"`     // Nothing else there was suspected, had begun lately, or explains it.
}

// least returns for how long the run had worked at least.
func (c crash) least() time.Duration { return time.Duration(c.LeastMillis) * time.Millisecond }

// most returns for how long the run had worked at most.
func (c crash) most() time.Duration { return time.Duration(c.MostMillis) * time.Millisecond }

// crashHistory holds the crashes under one task, or under a gang, which is tried and blamed as a whole.
type crashHistory struct {
	crashes []crash
	cleared bool // Since the last crash a run has worked for its trial time.
}

// The rules for blaming a task for crashes.
const (
	freshTime          = 300 * time.Millisecond // A run that has worked for longer is not the first to be suspected.
	quickCrash         = 100 * time.Millisecond // Crashes that soon after the start are no coincidence if they repeat.
	maxBlamedAge       = 10 * time.Second       // A run that has worked for longer is not suspected at all.
	maxTrialTime       = 2 * time.Second        // A task that crashes its targets later is known by the number of crashes.
	suspiciousCrashes  = 2                      // From so many crashes on a task is tried apart, however long it had worked.
	certainCrashes     = 3                      // So many crashes, the last one apart from others, are the task's fault, however long it had worked.
	forgetCrashesAfter = time.Minute            // A run that has worked for that long makes earlier crashes count for nothing.
	maxCrashes         = 4                      // A task is not started again after so many; one more may have been forgotten with its scheduler.
)

// suspected reports whether the next run must be tried apart from other work.
func (h *crashHistory) suspected() bool {
	unexplained := h.unexplained()
	if h.cleared || len(unexplained) == 0 {
		return false
	}
	return len(unexplained) >= suspiciousCrashes || unexplained[0].least() < freshTime
}

// unexplained returns the crashes that no other task is known to have caused.
func (h *crashHistory) unexplained() []crash {
	var out []crash
	for _, c := range h.crashes {
		if !c.Explained {
			out = append(out, c)
		}
	}
	return out
}

// trialTime returns for how long a run must work to be trusted: longer than before any crash.
func (h *crashHistory) trialTime() time.Duration {
	longest := time.Duration(0)
	for _, c := range h.crashes {
		longest = max(longest, c.most())
	}
	return min(longest+freshTime, maxTrialTime)
}

// blamed reports whether the crashes are the task's fault, or too many to try again. Crashes that others explain
// only add to those that nobody else does.
func (h *crashHistory) blamed() bool {
	unexplained := h.unexplained()
	if len(unexplained) >= maxCrashes || len(unexplained) > 0 && len(h.crashes) > maxCrashes {
		return true
	}
	certain, quick, alone := 0, true, false
	for _, c := range unexplained {
		if c.Uncertain {
			continue
		}
		certain++
		quick = quick && c.most() <= quickCrash
		alone = c.Alone
	}
	explained := len(h.crashes) - len(unexplained)
	return alone && certain >= suspiciousCrashes && (quick || certain+explained >= certainCrashes)
}

// add adds a crash, unless that of the same incarnation or under the same run is known, and reports whether it
// did. A start in doubt may be there still when its target crashes again.
func (h *crashHistory) add(c crash) bool {
	for _, known := range h.crashes {
		if known.isSame(c) || c.Run != 0 && known.Run == c.Run {
			return false
		}
	}
	h.crashes = append(h.crashes, c)
	h.cleared = false
	return true
}

// explain marks the crashes that are also in the history of a task to blame, and reports whether there were any.
func (h *crashHistory) explain(blamed *crashHistory) bool {
	if h == blamed {
		return false
	}
	found := false
	for i, c := range h.crashes {
		if !c.Explained && slices.ContainsFunc(blamed.crashes, c.isSame) {
			h.crashes[i].Explained = true
			found = true
		}
	}
	return found
}

// isSame reports whether two tasks ran on the same incarnation when it ended.
func (c crash) isSame(other crash) bool {
	return c.Target == other.Target && c.StartedMillis == other.StartedMillis
}

// crashHistory returns the crashes under a task, or under its gang.
func (step *stepRun) crashHistory(index int) *crashHistory {
	if step.spec.Gang {
		return &step.gangCrashes
	}
	return &step.tasks[index].crashes
}

// crashIndex returns the index under which a task's crashes are kept: its own, or that of its gang.
func (step *stepRun) crashIndex(index int) int {
	if step.spec.Gang {
		return gangTask
	}
	return index
}

// crashesStored reports whether the next epoch would know of all crashes under a task.
func (step *stepRun) crashesStored(index int) bool {
	return len(step.crashHistory(index).crashes) == 0 || step.job.storedVersion >= step.job.crashVersion
}

// crashNote says in a log line how many crashes there were under a task that is started.
func (step *stepRun) crashNote(index int) string {
	count := len(step.crashHistory(index).crashes)
	if count == 0 {
		return ""
	}
	return fmt.Sprintf(", after %d crashes", count)
}
