package config

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
)

// The defaults of Config.
const (
	DefaultHold          = 5 * time.Second
	DefaultCallTimeout   = 2 * time.Second
	DefaultConfirmWithin = 6500 * time.Millisecond
	DefaultRetryMin      = 100 * time.Millisecond
	DefaultRetryMax      = 2 * time.Second
	shortestHold         = 500 * time.Millisecond
)

// NeverConfirmed is the age of a view that the store has not confirmed to this process.
const NeverConfirmed = 100 * 365 * 24 * time.Hour

// StoreState says how a process stands to the store.
type StoreState string

// The states of the store as one process sees it.
const (
	StoreUnknown StoreState = "" // No call has ended yet.
	StoreReached StoreState = "reached"
	StoreLost    StoreState = "lost"   // The last two calls failed.
	StoreBehind  StoreState = "behind" // It answers with a lower revision than is in force here.
)

// Config sets up a View; zero durations take the defaults.
type Config struct {
	Store         cyclamendyke.Store
	Prefix        string        // The root's WatchedPrefix if empty.
	Hold          time.Duration // How long a watch may wait for a change.
	CallTimeout   time.Duration // Of a list, and of a watch beyond its hold.
	ConfirmWithin time.Duration // Watches are held shorter where the view would else be older than this.
	RetryMin      time.Duration // After the first failed call; doubles up to RetryMax.
	RetryMax      time.Duration
	OnChange      func(Snapshot)   // Called from one goroutine with the latest snapshot after keys changed.
	OnStore       func(StoreState) // Called from the same goroutine after the state changed.
}

// View is the configuration in force in this process; it is safe for concurrent use.
type View struct {
	config Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu        sync.Mutex
	copy      Copy
	confirmed time.Time
	store     StoreState
	changes   uint64        // Counts the copies whose entries differ from the one before.
	advanced  chan struct{} // Closed when the revision advances.
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

// Close ends the watch and waits until no callback runs any more.
func (v *View) Close() {
	v.cancel()
	v.done.Wait()
}

// Snapshot returns the view of this moment.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Snapshot{Copy: v.copy, Confirmed: v.confirmed}
}

// Confirmed returns when the store was last known to hold nothing newer than the view, or the zero time.
func (v *View) Confirmed() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmed
}

// Age returns how long ago the store confirmed the view, or NeverConfirmed.
func (v *View) Age() time.Duration {
	confirmed := v.Confirmed()
	if confirmed.IsZero() {
		return NeverConfirmed
	}
	return time.Since(confirmed)
}

// Store returns how this process stands to the store.
func (v *View) Store() StoreState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.store
}

// Offer takes over a peer's copy as far as it is newer, and reports whether it was; it confirms nothing.
func (v *View) Offer(peer Copy) bool {
	replaced := v.replace(peer)
	added := false
	for _, entry := range peer.Entries {
		if entry.Revision > peer.Revision && v.Wrote(entry) {
			added = true
		}
	}
	return replaced || added
}

// Wrote puts an entry in force that a process has written, ahead of the copy's
// revision, and reports whether it was news; so a withdrawal holds although the
// store is lost right after it.
func (v *View) Wrote(entry cyclamendyke.Entry) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if entry.Revision <= v.copy.Revision {
		return false
	}
	before, _ := v.copy.Entry(entry.Key)
	if before.Revision >= entry.Revision {
		return false
	}
	v.advance(Copy{Revision: v.copy.Revision, Entries: mergeEntry(slices.Clone(v.copy.Entries), entry)})
	return true
}

// Refresh lists the store once and takes over what it holds, so that a writer sees its own write.
func (v *View) Refresh(ctx context.Context) error {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, v.config.CallTimeout)
	defer cancel()
	entries, revision, err := v.config.Store.List(ctx, v.config.Prefix)
	if err != nil {
		return newError("refresh", cyclamendyke.KindUnavailable, 0, err)
	}
	if !v.listed(Copy{Revision: revision, Entries: entries}, sent) {
		return newError("refresh", cyclamendyke.KindConflict, revision, nil)
	}
	return nil
}

// Wait returns once the view has reached the revision, or the context's error.
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

// listed takes over a full list of the store and reports whether the store was level with the view.
func (v *View) listed(list Copy, sent time.Time) bool {
	v.replace(list)
	v.mu.Lock()
	defer v.mu.Unlock()
	if list.Revision < v.copy.Revision {
		return false
	}
	v.confirm(sent)
	return true
}

// replace puts a whole copy in force if it is newer than the present one.
func (v *View) replace(next Copy) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if next.Revision <= v.copy.Revision {
		return false
	}
	entries := make([]cyclamendyke.Entry, 0, len(next.Entries))
	for _, entry := range next.Entries {
		if held, found := v.copy.Entry(entry.Key); found && held.Revision > entry.Revision {
			entry = held
		}
		entries = append(entries, entry)
	}
	for _, held := range v.copy.Entries {
		if _, found := next.Entry(held.Key); !found && held.Revision > next.Revision {
			entries = append(entries, held)
		}
	}
	slices.SortFunc(entries, func(a, b cyclamendyke.Entry) int { return cmp.Compare(a.Key, b.Key) })
	v.advance(Copy{Revision: next.Revision, Entries: entries})
	return true
}

// merge applies the changes of a watch that started at or below the view's revision.
func (v *View) merge(changes []cyclamendyke.Entry, reached cyclamendyke.Revision, confirmed time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if reached < v.copy.Revision {
		return // A peer's copy overtook the watch.
	}
	entries := slices.Clone(v.copy.Entries)
	for _, change := range changes {
		entries = mergeEntry(entries, change)
	}
	v.advance(Copy{Revision: reached, Entries: entries})
	v.confirm(confirmed)
}

func mergeEntry(entries []cyclamendyke.Entry, change cyclamendyke.Entry) []cyclamendyke.Entry {
	at, found := slices.BinarySearchFunc(entries, change.Key, compareKey)
	switch {
	case found && entries[at].Revision >= change.Revision:
		return entries
	case found && change.Deleted:
		return slices.Delete(entries, at, at+1)
	case found:
		entries[at] = change
		return entries
	case change.Deleted:
		return entries
	default:
		return slices.Insert(entries, at, change)
	}
}

// advance stores a copy whose revision is not below the present one; the caller holds the lock.
func (v *View) advance(next Copy) {
	same := slices.EqualFunc(next.Entries, v.copy.Entries, func(a, b cyclamendyke.Entry) bool {
		return a.Key == b.Key && a.Revision == b.Revision
	})
	if next.Revision > v.copy.Revision {
		close(v.advanced)
		v.advanced = make(chan struct{})
	}
	v.copy = next
	if !same {
		v.changes++
		v.signal()
	}
}

// confirm moves the time of confirmation forward; the caller holds the lock.
func (v *View) confirm(at time.Time) {
	if at.After(v.confirmed) {
		v.confirmed = at
	}
}

func (v *View) setStore(state StoreState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.store != state {
		v.store = state
		v.signal()
	}
}

func (v *View) signal() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// notify calls the callbacks, leaving out states that were overtaken meanwhile.
func (v *View) notify(ctx context.Context) {
	var changes uint64
	var store StoreState
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.wake:
		}
		v.mu.Lock()
		snapshot := Snapshot{Copy: v.copy, Confirmed: v.confirmed}
		nextChanges, nextStore := v.changes, v.store
		v.mu.Unlock()
		if nextChanges != changes && v.config.OnChange != nil {
			v.config.OnChange(snapshot)
		}
		if nextStore != store && v.config.OnStore != nil {
			v.config.OnStore(nextStore)
		}
		changes, store = nextChanges, nextStore
	}
}

// known reports whether an error of a watch leaves its starting point usable.
func known(err error) bool {
	return errors.Is(err, cyclamendyke.KindUnavailable) ||
		errors.Is(err, cyclamendyke.KindUnknown) ||
		errors.Is(err, cyclamendyke.KindLimited) ||
		errors.Is(err, context.DeadlineExceeded)
}
