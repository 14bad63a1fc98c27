package dispatch

import (
	"cmp"
	"slices"

	"cyclamendyke"
)

// KnownTarget is a target on which something may run, as it is kept for the next epoch.
type KnownTarget struct {
	Target cyclamendyke.Target `json:"target"`
	Closed bool                `json:"closed,omitempty"` // Nothing is started there any more.
	Tasks  []string            `json:"tasks,omitempty"`  // All that may run there if it is closed.
}

// Expect names a target that an earlier epoch used.
func (s *Scheduler) Expect(known KnownTarget) {
	id := known.Target.ID
	if s.targets[id] == nil {
		s.Describe(known.Target)
		s.targets[id].present = false
	}
	t := s.targets[id]
	if !known.Closed || t.info.Born != known.Target.Born {
		return
	}
	t.closed = true
	for _, text := range known.Tasks {
		name, err := cyclamendyke.ParseTaskName(text)
		if err != nil {
			s.noteTarget(id, "its kept list of tasks cannot be read")
			return
		}
		t.shadows = append(t.shadows, name)
	}
	t.bounded = true
}

// unseen reports whether an earlier epoch may have left something running on a target.
func (s *Scheduler) unseen(t *target) bool {
	return !t.listed && !t.over && s.now < s.cfg.Settled
}

// TargetSet changes with the set of targets on which something may run.
func (s *Scheduler) TargetSet() int {
	return s.targetSet
}

// Known returns the targets on which something may run, to be kept for the next epoch.
func (s *Scheduler) Known() []KnownTarget {
	out := make([]KnownTarget, 0, len(s.targets))
	for _, t := range s.targets {
		known := KnownTarget{Target: t.info, Closed: t.leaving() && (t.listed || t.bounded)}
		known.Target.Draining, known.Target.Remaining = false, 0
		if known.Closed {
			t.closed = true
			known.Tasks = t.tasks()
		}
		out = append(out, known)
	}
	slices.SortFunc(out, func(a, b KnownTarget) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	return out
}

// Targets returns how many targets are known.
func (s *Scheduler) Targets() int {
	return len(s.targets)
}

// TargetIDs returns the targets that are known.
func (s *Scheduler) TargetIDs() []cyclamendyke.TargetID {
	ids := make([]cyclamendyke.TargetID, 0, len(s.targets))
	for id := range s.targets {
		ids = append(ids, id)
	}
	return ids
}

// KeptKnown notes that a list of targets is kept; a target that it has as open may be used.
func (s *Scheduler) KeptKnown(known []KnownTarget) {
	for _, k := range known {
		if t := s.targets[k.Target.ID]; t != nil && !k.Closed {
			t.closed = false
		}
	}
}

// leaving reports whether nothing is started on the target any more.
func (t *target) leaving() bool {
	return !t.present || t.info.Draining
}

// tasks returns the names of all that may run on the target.
func (t *target) tasks() []string {
	out := make([]string, 0, len(t.runs)+len(t.shadows))
	for key := range t.runs {
		out = append(out, key.task.String())
	}
	if !t.listed {
		for _, name := range t.shadows {
			out = append(out, name.String())
		}
	}
	slices.Sort(out)
	return out
}
