package config

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
)

// NeverConfirmed is the age of a view that the store has never confirmed to this process.
const NeverConfirmed = 100 * 365 * 24 * time.Hour

// View is the configuration in effect in this process; it is safe for concurrent use.
type View struct {
	config Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu             sync.Mutex
	copy           Copy
	confirmed      time.Time
	storeState     StoreState
	contentVersion uint64        // Counts the copies whose entries differ from the previous copy.
	advanced       chan struct{} // Closed and replaced when the revision advances.
}

// New returns a view that follows the store until Close is called.
func New(config Config) *View {
	config.Prefix = cmp.Or(config.Prefix, cyclamendyke.WatchedPrefix)
	config.Hold = cmp.Or(config.Hold, DefaultHold)
	config.CallTimeout = cmp.Or(config.CallTimeout, DefaultCallTimeout)
	config.ConfirmWithin = cmp.Or(config.ConfirmWithin, DefaultConfirmWithin)
	config.RetryMin = cmp.Or(config.RetryMin, DefaultRetryMin)
	config.RetryMax = cmp.Or(config.RetryMax, DefaultRetryMax)
	ctx, cancel := context.WithCancel(context.Background())
	v := &View{
		config:   config,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		advanced: make(chan struct{}),
	}
	v.done.Go(func() {
		newFollower(v).run(ctx)
	})
	v.done.Go(func() {
		v.notify(ctx)
	})
	return v
}

// Close stops the watch and waits until no callback is running.
func (v *View) Close() {
	v.cancel()
	v.done.Wait()
}

// Snapshot returns the current state of the view.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Snapshot{Copy: v.copy, Confirmed: v.confirmed}
}

// Confirmed returns when the store last confirmed that it held nothing newer, or the zero time.
func (v *View) Confirmed() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmed
}

// Age returns the time since the store last confirmed the view, or NeverConfirmed.
func (v *View) Age() time.Duration {
	confirmed := v.Confirmed()
	if confirmed.IsZero() {
		return NeverConfirmed
	}
	return time.Since(confirmed)
}

// MergePeerCopy merges a peer's copy where it is newer and reports whether any of it was; it
// does not confirm the view.
func (v *View) MergePeerCopy(peer Copy) bool {
	replaced := v.replaceCopy(peer)
	added := false
	for _, entry := range peer.Entries {
		if entry.Revision > peer.Revision && v.ApplyWrite(entry) {
			added = true
		}
	}
	return replaced || added
}

// ApplyWrite applies an entry that was written to the store, before a watch delivers it,
// and reports whether it was newer. A key withdrawal thus stays in effect even if the
// store fails right after the write.
func (v *View) ApplyWrite(entry cyclamendyke.Entry) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if entry.Revision <= v.copy.Revision {
		return false
	}
	before, _ := v.copy.Entry(entry.Key)
	if before.Revision >= entry.Revision {
		return false
	}
	v.setCopy(Copy{Revision: v.copy.Revision, Entries: applyChange(slices.Clone(v.copy.Entries), entry)})
	return true
}

// Refresh lists the store once and applies the result, so that a writer sees its own write.
func (v *View) Refresh(ctx context.Context) error {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, v.config.CallTimeout)
	defer cancel()
	entries, revision, err := v.config.Store.List(ctx, v.config.Prefix)
	if err != nil {
		return newError("refresh", cyclamendyke.KindUnavailable, 0, err)
	}
	if !v.applyList(Copy{Revision: revision, Entries: entries}, sent) {
		return newError("refresh", cyclamendyke.KindConflict, revision, nil)
	}
	return nil
}

// Wait blocks until the view has reached the revision, or returns the context's error.
func (v *View) Wait(ctx context.Context, revision cyclamendyke.Revision) error {
	for {
		v.mu.Lock()
		reached := v.copy.Revision >= revision
		advanced := v.advanced
		v.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-advanced:
		}
	}
}

// applyList applies a full list of the store and reports whether the list is as recent as the view.
func (v *View) applyList(list Copy, sent time.Time) bool {
	v.replaceCopy(list)
	v.mu.Lock()
	defer v.mu.Unlock()
	if list.Revision < v.copy.Revision {
		return false
	}
	v.advanceConfirmed(sent)
	return true
}

// replaceCopy replaces the view's copy if next has a higher revision, and reports
// whether it did. Entries that were written after next are kept.
func (v *View) replaceCopy(next Copy) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if next.Revision <= v.copy.Revision {
		return false
	}
	entries := make([]cyclamendyke.Entry, 0, len(next.Entries))
	for _, entry := range next.Entries {
		if current, found := v.copy.Entry(entry.Key); found && current.Revision > entry.Revision {
			entry = current
		}
		entries = append(entries, entry)
	}
	for _, current := range v.copy.Entries {
		if _, found := next.Entry(current.Key); !found && current.Revision > next.Revision {
			entries = append(entries, current)
		}
	}
	slices.SortFunc(entries, func(a, b cyclamendyke.Entry) int { return cmp.Compare(a.Key, b.Key) })
	v.setCopy(Copy{Revision: next.Revision, Entries: entries})
	return true
}

// applyChanges applies the changes of a watch that started at or below the view's revision.
func (v *View) applyChanges(changes []cyclamendyke.Entry, upTo cyclamendyke.Revision, confirmed time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if upTo < v.copy.Revision {
		return // A peer's copy already moved the view past this watch.
	}
	entries := slices.Clone(v.copy.Entries)
	for _, change := range changes {
		entries = applyChange(entries, change)
	}
	v.setCopy(Copy{Revision: upTo, Entries: entries})
	v.advanceConfirmed(confirmed)
}

func applyChange(entries []cyclamendyke.Entry, change cyclamendyke.Entry) []cyclamendyke.Entry {
	index, found := slices.BinarySearchFunc(entries, change.Key, compareKey)
	switch {
	case found && entries[index].Revision >= change.Revision:
		return entries
	case found && change.Deleted:
		return slices.Delete(entries, index, index+1)
	case found:
		entries[index] = change
		return entries
	case change.Deleted:
		return entries
	default:
		return slices.Insert(entries, index, change)
	}
}

// setCopy stores a copy whose revision is not below the current one; the caller holds the lock.
func (v *View) setCopy(next Copy) {
	unchanged := slices.EqualFunc(next.Entries, v.copy.Entries, func(a, b cyclamendyke.Entry) bool {
		return a.Key == b.Key && a.Revision == b.Revision
	})
	if next.Revision > v.copy.Revision {
		close(v.advanced)
		v.advanced = make(chan struct{})
	}
	v.copy = next
	if !unchanged {
		v.contentVersion++
		v.wakeNotifier()
	}
}

// advanceConfirmed moves the confirmation time forward, never back; the caller holds the lock.
func (v *View) advanceConfirmed(at time.Time) {
	if at.After(v.confirmed) {
		v.confirmed = at
	}
}

func (v *View) wakeNotifier() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// notify runs the callbacks; a state that is replaced before its callback runs is skipped.
func (v *View) notify(ctx context.Context) {
	var notifiedVersion uint64
	var notifiedState StoreState
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.wake:
		}
		v.mu.Lock()
		snapshot := Snapshot{Copy: v.copy, Confirmed: v.confirmed}
		nextVersion, nextState := v.contentVersion, v.storeState
		v.mu.Unlock()
		if nextVersion != notifiedVersion && v.config.OnChange != nil {
			v.config.OnChange(snapshot)
		}
		if nextState != notifiedState && v.config.OnStore != nil {
			v.config.OnStore(nextState)
		}
		notifiedVersion, notifiedState = nextVersion, nextState
	}
}
