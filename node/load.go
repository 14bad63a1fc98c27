package node

import (
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"cyclamendyke"
	"cyclamendyke/core/dispatch"
)

// storeSnapshot is the state that a new scheduler reads from the store.
type storeSnapshot struct {
	work, progress, targetDescriptions []cyclamendyke.Entry
	workRevision, descriptionsRevision cyclamendyke.Revision
	readAt                             time.Duration // When the calls were sent.
	knownTargets                       []cyclamendyke.Entry
	runList                            []cyclamendyke.Entry // One entry, or none.
	config                             []cyclamendyke.Entry // The same.
}

// loadAndFollow reads the store, posts the result to the control goroutine and then follows changes.
func (t *term) loadAndFollow() {
	var snapshot storeSnapshot
	for t.ctx.Err() == nil {
		snapshot.readAt = bootTime()
		err := t.readSnapshot(&snapshot)
		t.node.recordStoreResult(err)
		if err == nil {
			break
		}
		t.node.cfg.Log.Warn("cannot read scheduler state from the store", "epoch", t.epoch, "err", err)
		sleep(t.ctx, retryDelay(err))
	}
	if t.ctx.Err() != nil {
		return
	}
	t.node.applyConfigEntries(snapshot.config) // The watch may be behind what the last scheduler had.
	t.post(func() { t.restore(&snapshot) })
	t.wg.Go(func() { t.followTargets(snapshot.descriptionsRevision) })
	t.wg.Go(t.removeExpired)
	t.followWork(snapshot.workRevision)
}

// readSnapshot reads the keys concurrently, possibly at different revisions. The snapshot is still
// consistent: the epoch guard stops earlier schedulers from writing progress, and work that members
// store meanwhile is applied after the snapshot.
func (t *term) readSnapshot(snapshot *storeSnapshot) error {
	store := t.node.cfg.Store
	group, ctx := errgroup.WithContext(t.ctx)
	group.Go(func() (err error) {
		snapshot.work, snapshot.workRevision, err = store.List(ctx, workPrefix)
		return err
	})
	group.Go(func() (err error) {
		snapshot.progress, _, err = store.List(ctx, progressPrefix)
		return err
	})
	group.Go(func() (err error) {
		snapshot.targetDescriptions, snapshot.descriptionsRevision, err = store.List(ctx, t.node.cfg.Codec.TargetsPrefix())
		return err
	})
	group.Go(func() (err error) {
		return t.node.readEvacuations(ctx)
	})
	group.Go(func() (err error) {
		snapshot.knownTargets, _, err = store.List(ctx, oldKnownTargetsKey)
		return err
	})
	group.Go(func() (err error) {
		snapshot.runList, _, err = store.List(ctx, runListKey)
		return err
	})
	group.Go(func() (err error) {
		snapshot.config, _, err = store.List(ctx, t.node.cfg.Codec.ConfigKey())
		return err
	})
	return group.Wait()
}

// restore builds the scheduler's state from a snapshot and applies the changes deferred until then.
func (t *term) restore(snapshot *storeSnapshot) {
	t.sched.Configure(t.node.fleetConfig.Load())
	t.submitWorkflows(snapshot.work)
	for _, entry := range snapshot.progress {
		id := cyclamendyke.WorkflowID(entry.Key[len(progressPrefix):])
		if err := t.sched.Load(id, entry.Value, entry.Revision); err != nil {
			t.node.cfg.Log.Warn("cannot load workflow progress", "workflow", id, "revision", entry.Revision, "err", err)
		}
	}
	t.cancelWorkflows(snapshot.work)
	t.updateTargets(snapshot.targetDescriptions)
	t.sched.SetTargetsAsOf(snapshot.readAt)
	t.addKnownTargets(snapshot.knownTargets)
	t.loadRunList(snapshot.runList)
	t.sched.SetStoredSilent(t.election.leases.silent)
	t.limitEarlierLeases()
	t.keeper.Store(newLeaseKeeper(t, t.sched.Leases()))
	t.wg.Go(t.keeper.Load().run)
	t.loaded = true
	t.node.cfg.Log.Info("term started", "epoch", t.epoch, "work", len(snapshot.work), "targets", len(snapshot.targetDescriptions), "took", bootTime()-t.election.requestedAt)
	for _, change := range t.deferred {
		change()
	}
	t.deferred = nil
}

// addKnownTargets adds the targets on which an earlier epoch may have left runs.
func (t *term) addKnownTargets(entries []cyclamendyke.Entry) {
	for _, entry := range entries {
		if entry.Key == oldKnownTargetsKey {
			t.hasOldKnownTargets = true
			var known []dispatch.KnownTarget
			if err := json.Unmarshal(entry.Value, &known); err != nil {
				t.node.cfg.Log.Error("cannot decode list of known targets", "revision", entry.Revision, "err", err)
			}
			for _, target := range known {
				t.sched.AddKnownTarget(target, 0)
			}
			continue
		}
		var known dispatch.KnownTarget
		if err := json.Unmarshal(entry.Value, &known); err != nil {
			t.node.cfg.Log.Error("cannot decode known target", "key", entry.Key, "revision", entry.Revision, "err", err)
			continue
		}
		t.sched.AddKnownTarget(known, entry.Revision)
	}
}

// loadRunList adds the runs that an earlier epoch may have left.
func (t *term) loadRunList(entries []cyclamendyke.Entry) {
	for _, entry := range entries {
		if err := t.sched.AddRunList(entry.Value); err != nil {
			t.node.cfg.Log.Error("cannot decode the list of runs", "revision", entry.Revision, "err", err)
		}
	}
}

// cancelWorkflows cancels the workflows for which entries contain a cancellation.
func (t *term) cancelWorkflows(entries []cyclamendyke.Entry) {
	for _, entry := range entries {
		id, isCancellation := parseWorkKey(entry.Key)
		switch {
		case !isCancellation:
		case entry.Deleted:
			delete(t.cancellations, id)
		case t.isHeld(id):
			t.heldCancellations = append(t.heldCancellations, entry)
		case t.sched.IsUnfinished(id):
			t.cancellations[id] = true
			t.sched.Cancel(id, func() {})
		default:
			t.wg.Go(func() { t.removeCancellation(id) })
		}
	}
}

// followWork follows new workflows and cancellations. A long batch delay is acceptable, since members
// also notify the scheduler of each workflow directly.
func (t *term) followWork(at cyclamendyke.Revision) {
	apply := func(entries []cyclamendyke.Entry) {
		t.post(func() {
			t.submitWorkflows(entries)
			t.cancelWorkflows(entries)
		})
	}
	t.node.watchFrom(t.ctx, workPrefix, at, followBatchDelay, apply)
	replace := func(entries []cyclamendyke.Entry, _ cyclamendyke.Revision) { apply(entries) }
	t.node.followWithContext(t.ctx, workPrefix, followBatchDelay, replace, apply)
}
