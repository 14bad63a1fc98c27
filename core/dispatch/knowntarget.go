package dispatch

import (
	"maps"
	"slices"

	"cyclamendyke"
)

// KnownTarget is a target on which something may run, as it is stored for the next epoch.
type KnownTarget struct {
	Target   cyclamendyke.Target `json:"target"`
	Closed   bool                `json:"closed,omitempty"`   // Nothing is started there any more.
	Draining bool                `json:"draining,omitempty"` // It drains, or did so before its description was removed.
	Tasks    []string            `json:"tasks,omitempty"`    // If it is closed, all tasks that may run there, or may be done there without a stored end.
}

// KnownTargetChange is a change of what is stored of one target.
type KnownTargetChange struct {
	ID       cyclamendyke.TargetID
	Known    *KnownTarget          // Nil if nothing can run there any more, so that its record is deleted.
	Expected cyclamendyke.Revision // Revision of the present record; zero if there is none.
}

// knownRecord is the state of what is stored of one target.
type knownRecord struct {
	revision cyclamendyke.Revision
	dirty    bool // It has changed since it was last taken to be stored.
	storing  bool // A change is being stored; the next one waits.
}

// AddKnownTarget adds a target that an earlier epoch stored; revision is that of its own record, or zero
// if it is from the list that earlier versions stored. Its own record, added later, replaces what the list says.
func (s *Scheduler) AddKnownTarget(known KnownTarget, revision cyclamendyke.Revision) {
	id := known.Target.ID
	info, isOfUnknownService := s.unknownTargets[id]
	if isOfUnknownService { // It may hold runs from before its service was removed.
		delete(s.unknownTargets, id)
		s.describe(s.addTarget(info), info)
	}
	isRegistered := s.targets[id] != nil
	if !isRegistered {
		s.describe(s.addTarget(known.Target), known.Target)
		s.targets[id].registered = false
	}
	t := s.targets[id]
	if t.info.StartedMillis == known.Target.StartedMillis {
		t.largestCapacity = t.largestCapacity.Max(known.Target.Capacity)
		t.wasUsed = true
	}
	t.wasDraining = known.Draining && t.info.StartedMillis == known.Target.StartedMillis
	if revision != 0 {
		t.closed, t.earlierRunsComplete, t.earlierRuns = true, false, nil
		record := s.knownRecord(id)
		record.revision = revision
		record.dirty = false
		if !isRegistered || known.Closed || t.info.Draining || t.info.StartedMillis != known.Target.StartedMillis {
			s.targetChanged(id)
		}
	}
	if !known.Closed {
		t.closed = false
		return
	}
	if t.info.StartedMillis != known.Target.StartedMillis {
		return
	}
	for _, text := range known.Tasks {
		name, err := cyclamendyke.ParseTaskName(text)
		if err != nil {
			s.logTarget(id, "stored list of tasks is invalid")
			return
		}
		t.earlierRuns = append(t.earlierRuns, s.namedRun(name))
	}
	t.earlierRunsComplete = true
}

func (s *Scheduler) knownRecord(id cyclamendyke.TargetID) *knownRecord {
	record := s.knownRecords[id]
	if record == nil {
		record = &knownRecord{}
		s.knownRecords[id] = record
	}
	return record
}

// targetChanged notes that what is stored of a target must be stored again.
func (s *Scheduler) targetChanged(id cyclamendyke.TargetID) {
	s.knownRecord(id).dirty = true
	s.knownTargetsDirty = true
}

// mayHaveUnlistedRuns reports whether runs of an earlier epoch, or ends that still count, may be left on a
// target without being known.
func (s *Scheduler) mayHaveUnlistedRuns(t *target) bool {
	if t.hasUnlistedIncarnation() {
		return !s.mayGiveUp() || s.now < s.earlierRunsEndBy(t)
	}
	return !t.expired && !t.allEndsListed
}

// mayGiveUp reports whether a target that has not answered for long enough is given up now. While a successor is possible, it
// may have renewed the target's lease. After a time in which this scheduler was busy and asked nobody, a target that is back
// gets the time to answer, since what it has done must not start again.
func (s *Scheduler) mayGiveUp() bool {
	return !s.successorPossible && s.now >= s.attentiveFrom
}

// hasUnlistedIncarnation reports whether an incarnation of the target has not answered this epoch.
func (t *target) hasUnlistedIncarnation() bool {
	return t.announced != nil || !t.listed && !t.expired
}

// allListed reports whether all runs on the target and all ends that it holds are known.
func (t *target) allListed() bool {
	return t.listed && t.allEndsListed
}

// HasKnownTargetChanges reports whether there are changes of known targets that can be stored now.
func (s *Scheduler) HasKnownTargetChanges() bool {
	if !s.knownTargetsDirty {
		return false
	}
	s.knownTargetsDirty = false
	for _, record := range s.knownRecords {
		s.knownTargetsDirty = s.knownTargetsDirty || record.dirty
		if record.dirty && !record.storing {
			return true
		}
	}
	return false
}

// AllKnownTargetsStored reports whether all changes of known targets are stored.
func (s *Scheduler) AllKnownTargetsStored() bool {
	for _, record := range s.knownRecords {
		if record.dirty || record.storing {
			return false
		}
	}
	return true
}

// TakeKnownTargetChanges passes the changes to be stored to take until it returns false for one that it
// does not take; from then on nothing is started on targets that are taken as closed.
func (s *Scheduler) TakeKnownTargetChanges(take func(KnownTargetChange) bool) {
	for id, record := range s.knownRecords {
		if !record.dirty || record.storing {
			continue
		}
		change := KnownTargetChange{ID: id, Known: s.describeKnown(id), Expected: record.revision}
		if change.Known == nil && record.revision == 0 {
			delete(s.knownRecords, id)
			continue
		}
		if !take(change) {
			return
		}
		record.dirty, record.storing = false, true
		if change.Known != nil && change.Known.Closed {
			s.targets[id].closed = true
			s.cfg.LogDecision(Decision{
				Event: EventTargetChanged, Target: id, Reason: "stored as closed, with the tasks that may run there", Count: len(change.Known.Tasks),
			})
		}
	}
}

// describeKnown returns what is to be stored of a target, or nil if nothing can run there any more.
func (s *Scheduler) describeKnown(id cyclamendyke.TargetID) *KnownTarget {
	t := s.targets[id]
	if t == nil {
		return nil
	}
	known := &KnownTarget{Target: t.info, Closed: t.unschedulable() && (t.allListed() || t.earlierRunsComplete)}
	known.Draining = t.info.Draining || t.wasDraining
	known.Target.Draining, known.Target.Remaining = false, 0
	if known.Closed {
		known.Tasks = t.possibleTasks()
	}
	return known
}

// KnownTargetChangesStored records that changes are stored at a revision, and allows new starts on the
// targets that are not closed.
func (s *Scheduler) KnownTargetChangesStored(changes []KnownTargetChange, revision cyclamendyke.Revision) {
	for _, change := range changes {
		record := s.knownRecord(change.ID)
		record.storing, record.revision = false, revision
		if change.Known == nil {
			record.revision = 0
			if !record.dirty {
				delete(s.knownRecords, change.ID)
			}
			continue
		}
		if t := s.targets[change.ID]; t != nil && !change.Known.Closed {
			t.closed = false
		}
	}
}

// TargetsByZone counts the known targets of each zone.
func (s *Scheduler) TargetsByZone() map[cyclamendyke.ZoneName]int {
	counts := map[cyclamendyke.ZoneName]int{}
	for _, t := range s.targets {
		counts[t.info.Zone]++
	}
	return counts
}

// TargetIDs returns the IDs of the known targets, those of unknown services included.
func (s *Scheduler) TargetIDs() []cyclamendyke.TargetID {
	ids := slices.Collect(maps.Keys(s.targets))
	return slices.AppendSeq(ids, maps.Keys(s.unknownTargets))
}

// unschedulable reports whether the target takes no new runs because it drains or is not
// registered.
func (t *target) unschedulable() bool {
	return !t.registered || t.info.Draining
}

// possibleTasks returns the names of all tasks that may run on the target. It includes tasks that have ended
// but whose end is not stored yet: the next epoch can learn of such an end only from the target. Runs of workflows
// that have ended count against their teams.
func (t *target) possibleTasks() []string {
	out := make([]string, 0, len(t.runs)+len(t.unstoredEnds)+len(t.earlierRuns))
	for key := range t.runs {
		out = append(out, key.task.String())
	}
	for key := range t.orphans {
		out = append(out, key.task.String())
	}
	for _, end := range t.unstoredEnds {
		out = append(out, end.task.String())
	}
	if !t.allListed() {
		for _, r := range t.earlierRuns {
			out = append(out, r.task.String())
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
