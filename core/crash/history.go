package crash

import (
	"slices"
	"time"
)

// History holds the crashes under one task, or under a gang, which is tried as a whole. Each crash under a gang names the members that
// ran there, and one of them is blamed by those alone that it was under.
type History struct {
	Crashes []Record
	Cleared bool // Since the last crash a run has worked for its trial time.
	MayLack bool // A crash may have been forgotten with an earlier scheduler.
}

// The rules for blaming a task for crashes.
const (
	FreshTime         = 300 * time.Millisecond // A run that has worked for longer is not the first to be suspected.
	QuickCrash        = 100 * time.Millisecond // Crashes that soon after the start are no coincidence if they repeat.
	MaxBlamedAge      = 10 * time.Second       // A run that has worked for longer is not suspected at all.
	MaxTrialTime      = 2 * time.Second        // A task that crashes its targets later is known by the number of crashes.
	suspiciousCrashes = 2                      // From so many crashes on a task is tried apart, however long it had worked.
	certainCrashes    = 3                      // So many crashes, the last one apart from others, are the task's fault, however long it had worked.
	ForgetAfter       = time.Minute            // A run that has worked for that long makes earlier crashes count for nothing.
	maxRecords        = 32                     // Of one history; the oldest are forgotten first.
	maxCrashes        = 4                      // A task is not started again after so many; one more may have been forgotten with its scheduler.
)

// Suspected reports whether the next run must be tried apart from other work.
func (h *History) Suspected() bool {
	unexplained := h.Unexplained()
	if h.Cleared || len(unexplained) == 0 {
		return false
	}
	if !isOfGang(unexplained) {
		return areSuspicious(unexplained)
	}
	for _, member := range membersOf(unexplained) {
		if areSuspicious(under(unexplained, member)) {
			return true
		}
	}
	return false
}

// areSuspicious reports whether crashes make the one task suspect that they all were under.
func areSuspicious(crashes []Record) bool {
	return len(crashes) >= suspiciousCrashes || crashes[0].Least() < FreshTime
}

// Unexplained returns the crashes that no other task is known to have caused.
func (h *History) Unexplained() []Record {
	return unexplainedOf(h.Crashes)
}

func unexplainedOf(crashes []Record) []Record {
	var out []Record
	for _, c := range crashes {
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
	return min(longest+FreshTime, MaxTrialTime)
}

// Blamed reports whether the crashes are the task's fault, or too many to try again. Crashes that others explain
// only add to those that nobody else does.
func (h *History) Blamed() bool {
	return len(h.Evidence()) > 0
}

// Evidence returns the crashes for which the task, or a member of the gang, is to blame; there are none if it is not.
func (h *History) Evidence() []Record {
	switch {
	case isOfGang(h.Crashes):
		return h.evidenceAgainstMember()
	case isTaskBlamed(h.Crashes):
		return h.Crashes
	}
	return nil
}

// isTaskBlamed reports whether the one task is to blame that all crashes were under.
func isTaskBlamed(crashes []Record) bool {
	unexplained := unexplainedOf(crashes)
	if len(unexplained) >= maxCrashes || len(unexplained) > 0 && len(crashes) > maxCrashes {
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
	explained := len(crashes) - len(unexplained)
	return alone && certain >= suspiciousCrashes && (quick || certain+explained >= certainCrashes)
}

// Add adds a crash, unless that of the same incarnation or under the same run is known, and reports whether it
// did. A start in doubt may be there still when its target crashes again. The members of a gang have one run, of which several targets
// may crash; a member is hit once.
func (h *History) Add(c Record) bool {
	for _, known := range h.Crashes {
		if known.IsSame(c) || c.Run != 0 && known.Run == c.Run && haveCommonMember(known, c) {
			return false
		}
	}
	h.Crashes = append(h.Crashes, c)
	if len(h.Crashes) > maxRecords {
		h.Crashes = slices.Delete(h.Crashes, 0, len(h.Crashes)-maxRecords)
	}
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
