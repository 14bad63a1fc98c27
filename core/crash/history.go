package crash

import (
	"slices"
	"time"
)

// History holds the crashes under one task, or under a gang, which is tried and blamed as a whole.
type History struct {
	Crashes []Record
	Cleared bool // Since the last crash a run has worked for its trial time.
}

// The rules for blaming a task for crashes.
const (
	FreshTime         = 300 * time.Millisecond // A run that has worked for longer is not the first to be suspected.
	QuickCrash        = 100 * time.Millisecond // Crashes that soon after the start are no coincidence if they repeat.
	MaxBlamedAge      = 10 * time.Second       // A run that has worked for longer is not suspected at all.
	maxTrialTime      = 2 * time.Second        // A task that crashes its targets later is known by the number of crashes.
	suspiciousCrashes = 2                      // From so many crashes on a task is tried apart, however long it had worked.
	certainCrashes    = 3                      // So many crashes, the last one apart from others, are the task's fault, however long it had worked.
	ForgetAfter       = time.Minute            // A run that has worked for that long makes earlier crashes count for nothing.
	maxCrashes        = 4                      // A task is not started again after so many; one more may have been forgotten with its scheduler.
)

// Suspected reports whether the next run must be tried apart from other work.
func (h *History) Suspected() bool {
	unexplained := h.Unexplained()
	if h.Cleared || len(unexplained) == 0 {
		return false
	}
	return len(unexplained) >= suspiciousCrashes || unexplained[0].Least() < FreshTime
}

// Unexplained returns the crashes that no other task is known to have caused.
func (h *History) Unexplained() []Record {
	var out []Record
	for _, c := range h.Crashes {
		if !c.Explained {
			out = append(out, c)
		}
	}
	return out
}

// MayBeTriedWithOthers reports whether the next run may be tried together with other suspects: another crash there would not be enough
// to give the task up.
func (h *History) MayBeTriedWithOthers() bool {
	return len(h.Crashes) <= suspiciousCrashes
}

// TrialTime returns for how long a run must work to be trusted: longer than before any crash.
func (h *History) TrialTime() time.Duration {
	longest := time.Duration(0)
	for _, c := range h.Crashes {
		longest = max(longest, c.Most())
	}
	return min(longest+FreshTime, maxTrialTime)
}

// Blamed reports whether the crashes are the task's fault, or too many to try again. Crashes that others explain
// only add to those that nobody else does.
func (h *History) Blamed() bool {
	unexplained := h.Unexplained()
	if len(unexplained) >= maxCrashes || len(unexplained) > 0 && len(h.Crashes) > maxCrashes {
		return true
	}
	certain, quick, alone := 0, true, false
	for _, c := range unexplained {
		if c.Uncertain {
			continue
		}
		certain++
		quick = quick && c.Most() <= QuickCrash
		alone = c.Alone
	}
	explained := len(h.Crashes) - len(unexplained)
	return alone && certain >= suspiciousCrashes && (quick || certain+explained >= certainCrashes)
}

// Add adds a crash, unless that of the same incarnation or under the same run is known, and reports whether it
// did. A start in doubt may be there still when its target crashes again.
func (h *History) Add(c Record) bool {
	for _, known := range h.Crashes {
		if known.IsSame(c) || c.Run != 0 && known.Run == c.Run {
			return false
		}
	}
	h.Crashes = append(h.Crashes, c)
	h.Cleared = false
	return true
}

// Explain marks the crashes that are also in the history of a task to blame, and reports whether there were any.
func (h *History) Explain(blamed *History) bool {
	if h == blamed {
		return false
	}
	found := false
	for i, c := range h.Crashes {
		if !c.Explained && slices.ContainsFunc(blamed.Crashes, c.IsSame) {
			h.Crashes[i].Explained = true
			found = true
		}
	}
	return found
}
