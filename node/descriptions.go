package node

import (
	"maps"
	"slices"

	"cyclamendyke"
)

// updateTargets applies changed target descriptions; one that names no usable target counts as deleted.
func (t *term) updateTargets(entries []cyclamendyke.Entry) {
	prefix := t.node.cfg.Codec.TargetsPrefix()
	for _, entry := range entries {
		id := cyclamendyke.TargetID(entry.Key[len(prefix):])
		if entry.Deleted {
			t.removeTarget(id)
			continue
		}
		target, err := t.node.cfg.Codec.Target(entry)
		if err != nil {
			t.rejectDescription(id, entry.Revision, err)
			continue
		}
		delete(t.unusable, id)
		t.sched.UpdateTarget(target)
	}
	t.node.cfg.Metrics.UnusableTargets.Set(float64(len(t.unusable)))
}

func (t *term) removeTarget(id cyclamendyke.TargetID) {
	delete(t.unusable, id)
	t.sched.RemoveTargetDescription(id)
}

// rejectDescription notes that a description names no usable target, as another writer's. It is logged once until that changes.
func (t *term) rejectDescription(id cyclamendyke.TargetID, revision cyclamendyke.Revision, err error) {
	if !t.unusable[id] {
		t.node.cfg.Log.Warn("target description is unusable", "target", id, "revision", revision, "err", err)
	}
	t.unusable[id] = true
	t.sched.RemoveTargetDescription(id)
}

// followTargets follows changes of the targets' descriptions.
func (t *term) followTargets(at cyclamendyke.Revision) {
	prefix := t.node.cfg.Codec.TargetsPrefix()
	apply := func(entries []cyclamendyke.Entry) { t.post(func() { t.updateTargets(entries) }) }
	t.node.watchFrom(t.ctx, prefix, at, followBatchDelay, apply)
	t.node.followWithContext(t.ctx, prefix, followBatchDelay, t.replaceTargets, apply)
}

// confirmTargets tells the scheduler as of when it has all descriptions of targets, behind the changes that are
// still in the inbox.
func (t *term) confirmTargets() {
	asOf := t.node.confirmed.of(t.node.cfg.Codec.TargetsPrefix()).asOf
	if asOf == t.confirmedTargets {
		return
	}
	select {
	case t.inbox <- func() { t.sched.SetTargetsAsOf(asOf) }:
		t.confirmedTargets = asOf
	default: // The inbox is full; the next pass tries again.
	}
}

// replaceTargets applies a full listing of target descriptions and removes those missing from it.
func (t *term) replaceTargets(entries []cyclamendyke.Entry, _ cyclamendyke.Revision) {
	t.post(func() {
		prefix := t.node.cfg.Codec.TargetsPrefix()
		present := map[cyclamendyke.TargetID]bool{}
		for _, entry := range entries {
			present[cyclamendyke.TargetID(entry.Key[len(prefix):])] = true
		}
		for _, id := range append(t.sched.TargetIDs(), slices.Collect(maps.Keys(t.unusable))...) {
			if !present[id] {
				t.removeTarget(id)
			}
		}
		t.updateTargets(entries)
	})
}
