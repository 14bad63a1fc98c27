package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/progress"
)

// The limits of writing tombstones.
const (
	maxTombstonesPerBatch     = (cyclamendyke.MaxBatchEntries - 1) / tombstoneEntries
	tombstoneEntries          = 3                      // Entries of a batch for each: the guard of the workflow, the tombstone and its condition.
	tombstoneBatchesPerSecond = 40                     // Of all members together: a tenth of what the smallest stores take.
	tombstoneSignalInterval   = 250 * time.Millisecond // Between two signals of one member, each of which wakes all members' watches.
	maxTombstonesQueued       = 500
	maxTombstoneTries         = 4 // Batches for one tombstone, each after a conflict.
)

var (
	errManyCancellations = errors.New("too many cancellations of unknown workflows")
	errIsStored          = errors.New("the workflow is stored by now")
)

// tombstones writes the tombstones of workflows that are cancelled and that the store does not hold, several in a batch.
//
// A tombstone makes the writes fail that would create the workflow and that were sent before it, by whichever member.
type tombstones struct {
	mu          sync.Mutex
	queue       []*tombstone
	wake        chan struct{} // Has room for one.
	signalledAt time.Duration
}

// tombstone is one to be written, for all callers that asked for it before it was sent.
type tombstone struct {
	id       cyclamendyke.WorkflowID
	expected cyclamendyke.Revision // Of the tombstone that it replaces; zero if there is none.
	tries    int
	done     chan struct{} // Closed once err is set.
	err      error
}

// add queues the tombstone of a workflow.
func (s *tombstones) add(id cyclamendyke.WorkflowID) (*tombstone, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(s.queue, func(t *tombstone) bool { return t.id == id }); i >= 0 {
		return s.queue[i], nil
	}
	if len(s.queue) >= maxTombstonesQueued {
		return nil, NewError("cancel", cyclamendyke.KindLimited, errManyCancellations)
	}
	t := &tombstone{id: id, done: make(chan struct{})}
	s.queue = append(s.queue, t)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return t, nil
}

// take removes those from the queue that the next batch writes.
func (s *tombstones) take() []*tombstone {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := min(len(s.queue), maxTombstonesPerBatch)
	taken := slices.Clone(s.queue[:count])
	s.queue = slices.Delete(s.queue, 0, count)
	return taken
}

// shouldSignal reports whether the next batch should tell all members of its revision.
func (s *tombstones) shouldSignal(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.signalledAt > 0 && now-s.signalledAt < tombstoneSignalInterval {
		return false
	}
	s.signalledAt = now
	return true
}

// bury writes the tombstone of a workflow that the store does not hold, and returns KindNotFound once it is stored. The error is
// nil if the workflow has ended meanwhile, and errIsStored if it is stored.
func (n *Node) bury(ctx context.Context, id cyclamendyke.WorkflowID) error {
	t, err := n.tombstones.add(id)
	if err != nil {
		return err
	}
	select {
	case <-t.done:
		return t.err
	case <-ctx.Done():
		return NewError("cancel", cyclamendyke.KindUnknown, ctx.Err())
	}
}

// writeTombstones writes the queued tombstones until the node is closed.
func (n *Node) writeTombstones() {
	for {
		batch := n.tombstones.take()
		if len(batch) == 0 {
			select {
			case <-n.tombstones.wake:
				continue
			case <-n.ctx.Done():
				return
			}
		}
		n.wg.Go(func() { n.writeTombstoneBatch(batch) })
		if !n.sleep(n.tombstoneInterval()) {
			return
		}
	}
}

// tombstoneInterval returns the time between two batches of this member.
func (n *Node) tombstoneInterval() time.Duration {
	return time.Duration(max(1, len(n.dir.memberNames()))) * time.Second / tombstoneBatchesPerSecond
}

// writeTombstoneBatch writes tombstones, again without those whose workflows turn out to be stored.
func (n *Node) writeTombstoneBatch(batch []*tombstone) {
	for len(batch) > 0 {
		revision, current, err := n.commitTombstones(batch)
		if cyclamendyke.KindOf(err) != cyclamendyke.KindConflict {
			n.confirmed.see(revision)
			n.endTombstones(batch, err)
			return
		}
		batch = slices.DeleteFunc(batch, func(t *tombstone) bool { return t.resolve(current) })
	}
}

func (n *Node) commitTombstones(batch []*tombstone) (cyclamendyke.Revision, []cyclamendyke.Entry, error) {
	value, err := json.Marshal(progress.Final{State: cyclamendyke.WorkflowCancelled, EndedAt: time.Now(), IsTombstone: true})
	if err != nil {
		return 0, nil, NewError("cancel", cyclamendyke.KindInvalid, err)
	}
	var write cyclamendyke.Batch
	for _, t := range batch {
		write.Guards = append(write.Guards, cyclamendyke.Guard{Key: workKey(t.id)})
		write.Puts = append(write.Puts, cyclamendyke.Put{Key: doneKey(t.id), Value: value, Expected: t.expected})
	}
	if n.tombstones.shouldSignal(bootTime()) {
		write.Puts = append(write.Puts, cyclamendyke.Put{Key: tombstonesKey, Value: []byte("{}"), Always: true})
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	revision, current, err := n.cfg.Store.Commit(ctx, write)
	n.recordStoreResult(err)
	return revision, current, err
}

// endTombstones answers the callers of tombstones that were written together.
func (n *Node) endTombstones(batch []*tombstone, err error) {
	if err == nil {
		n.cfg.Metrics.Tombstones.Add(float64(len(batch)))
		err = NewError("cancel", cyclamendyke.KindNotFound, nil)
	}
	for _, t := range batch {
		t.end(err)
	}
}

func (t *tombstone) end(err error) {
	t.err = err
	close(t.done)
}

// resolve takes note of what the store holds after a conflict, and reports whether the tombstone need not be written any more.
func (t *tombstone) resolve(current []cyclamendyke.Entry) bool {
	t.tries++
	old, isFinal := finalEntry(current, t.id)
	switch {
	case hasEntry(current, workKey(t.id)):
		t.end(errIsStored)
	case isFinal && !isTombstone(old):
		t.end(nil)
	case t.tries >= maxTombstoneTries:
		t.end(NewError("cancel", cyclamendyke.KindUnknown, errConflictWithoutCause))
	default:
		t.expected = old.Revision
		return false
	}
	return true
}

// finalEntry returns the entry of a workflow's final state among entries of the store.
func finalEntry(entries []cyclamendyke.Entry, id cyclamendyke.WorkflowID) (cyclamendyke.Entry, bool) {
	i := slices.IndexFunc(entries, func(e cyclamendyke.Entry) bool { return e.Key == doneKey(id) && e.Revision != 0 && !e.Deleted })
	if i < 0 {
		return cyclamendyke.Entry{}, false
	}
	return entries[i], true
}

// isTombstone reports whether the entry of a final state is a tombstone.
func isTombstone(entry cyclamendyke.Entry) bool {
	var final progress.Final
	return json.Unmarshal(entry.Value, &final) == nil && final.IsTombstone
}
