package dispatch

import (
	"cmp"
	"slices"

	"cyclamendyke"
)

// KnownTarget is a target on which something may run, as it is stored for the next epoch.
type KnownTarget struct {
	Target cyclamendyke.Target `json:"target"`
	Closed bool                `json:"closed,omitempty"` // Nothing is started there any more.
	Tasks  []string            `json:"tasks,omitempty"`  // All tasks that may run there, if it is closed.
}

// AddKnownTarget adds a target from the list that an earlier epoch stored.
func (s *Scheduler) AddKnownTarget(known KnownTarget) {
	id := known.Target.ID
	if s.targets[id] == nil {
		s.UpdateTarget(known.Target)
		s.targets[id].registered = false
	}
	t := s.targets[id]
	if !known.Closed || t.info.StartedMillis != known.Target.StartedMillis {
		return
	}
	t.closed = true
	for _, text := range known.Tasks {
		name, err := cyclamendyke.ParseTaskName(text)
		if err != nil {
			s.logTarget(id, "stored list of tasks is invalid")
			return
		}
		t.unlistedTasks = append(t.unlistedTasks, name)
	}
	t.unlistedTasksComplete = true
}

// mayHaveUnlistedRuns reports whether runs of an earlier epoch may be left on a target that has not
// answered this one.
func (s *Scheduler) mayHaveUnlistedRuns(t *target) bool {
	return !t.listed && !t.expired && s.now < s.cfg.EarlierRunsEndBy
}

// TargetSetVersion returns a version that increases whenever the result of KnownTargets must be
// stored again.
func (s *Scheduler) TargetSetVersion() int {
	return s.targetSetVersion
}

// KnownTargets returns the targets on which something may run, to be stored for the next epoch; from
// then on nothing is started on those that it returns as closed.
func (s *Scheduler) KnownTargets() []KnownTarget {
	out := make([]KnownTarget, 0, len(s.targets))
	for _, t := range s.targets {
		known := KnownTarget{Target: t.info, Closed: t.unschedulable() && (t.listed || t.unlistedTasksComplete)}
		known.Target.Draining, known.Target.Remaining = false, 0
		if known.Closed {
			t.closed = true
			known.Tasks = t.possibleTasks()
		}
		out = append(out, known)
	}
	slices.SortFunc(out, func(a, b KnownTarget) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	return out
}

// TargetsByZone counts the known targets of each zone.
func (s *Scheduler) TargetsByZone() map[cyclamendyke.ZoneName]int {
	counts := map[cyclamendyke.ZoneName]int{}
	for _, t := range s.targets {
		counts[t.info.Zone]++
	}
	return counts
}

// TargetIDs returns the IDs of the known targets.
func (s *Scheduler) TargetIDs() []cyclamendyke.TargetID {
	ids := make([]cyclamendyke.TargetID, 0, len(s.targets))
	for id := range s.targets {
		ids = append(ids, id)
	}
	return ids
}

// KnownTargetsStored records that a list of targets is stored, and allows new starts on those that
// it does not list as closed.
func (s *Scheduler) KnownTargetsStored(known []KnownTarget) {
	for _, k := range known {
		if t := s.targets[k.Target.ID]; t != nil && !k.Closed {
			t.closed = false
		}
	}
}

// unschedulable reports whether the target takes no new runs because it drains or is not
// registered.
func (t *target) unschedulable() bool {
	return !t.registered || t.info.Draining
}

// possibleTasks returns the names of all tasks that may run on the target.
func (t *target) possibleTasks() []string {
	out := make([]string, 0, len(t.runs)+len(t.unlistedTasks))
	for key := range t.runs {
		out = append(out, key.task.String())
	}
	if !t.listed {
		for _, name := range t.unlistedTasks {
			out = append(out, name.String())
		}
	}
	slices.Sort(out)
	return out
}
