package config

import (
	"context"
	"errors"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/retry"
)

// follower keeps a view up to date: it lists the store once and then keeps one watch open at a time.
type follower struct {
	view     *View
	listNext bool // The next call is a list, because there is no revision to resume a watch from.
	failures int  // Consecutive failed calls.
}

func newFollower(view *View) *follower {
	return &follower{view: view, listNext: true}
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		var ok bool
		if f.listNext {
			ok = f.list(ctx)
		} else {
			ok = f.watch(ctx)
		}
		if !ok {
			f.backOff(ctx)
		}
	}
}

// list reads all watched entries and reports whether the store is at least as recent as the view.
func (f *follower) list(ctx context.Context) bool {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, f.view.config.CallTimeout)
	defer cancel()
	entries, revision, err := f.view.config.Store.List(callCtx, f.view.config.Prefix)
	if err != nil {
		f.recordFailure(ctx)
		return false
	}
	if !f.view.applyList(Copy{Revision: revision, Entries: entries}, sent) {
		f.failures++
		f.view.setStoreState(StoreBehind)
		return false
	}
	f.listNext = false
	f.recordSuccess()
	return true
}

// watch waits for changes and reports whether the next call may follow without a pause.
func (f *follower) watch(ctx context.Context) bool {
	hold := f.nextHold(time.Now())
	after := f.view.Snapshot().Revision
	callCtx, cancel := context.WithTimeout(ctx, hold+f.view.config.CallTimeout)
	defer cancel()
	sent := time.Now()
	changes, upTo, err := f.view.config.Store.Watch(callCtx, f.view.config.Prefix, after, hold)
	waited := time.Since(sent)
	if err != nil {
		f.listNext = !canResumeWatch(err)
		f.recordFailure(ctx)
		return false
	}
	if upTo < after {
		f.listNext = true // The store holds an older state, as after a restore from a backup.
		return true
	}
	idle := len(changes) == 0
	confirmed := sent
	if idle && waited >= hold {
		confirmed = sent.Add(hold) // The store had no change during the whole hold.
	}
	f.view.applyChanges(changes, upTo, confirmed)
	f.recordSuccess()
	return !idle || waited >= hold
}

// nextHold returns how long the next watch may wait so that its answer comes before
// the view is older than ConfirmWithin.
func (f *follower) nextHold(now time.Time) time.Duration {
	age := now.Sub(f.view.Confirmed())
	remaining := f.view.config.ConfirmWithin - age
	return min(f.view.config.Hold, max(remaining, minHold))
}

func (f *follower) recordSuccess() {
	f.failures = 0
	f.view.setStoreState(StoreReached)
}

func (f *follower) recordFailure(ctx context.Context) {
	f.failures++
	if f.failures > 1 && ctx.Err() == nil {
		f.view.setStoreState(StoreLost)
	}
}

// backOff waits before the next call; the wait doubles with each consecutive failure up to RetryMax.
func (f *follower) backOff(ctx context.Context) {
	backoff := retry.Backoff{Initial: f.view.config.RetryMin, Max: f.view.config.RetryMax}
	retry.Sleep(ctx, backoff.Delay(f.failures))
}

// canResumeWatch reports whether a watch can start again from the same revision after this error.
func canResumeWatch(err error) bool {
	return errors.Is(err, cyclamendyke.KindUnavailable) ||
		errors.Is(err, cyclamendyke.KindUnknown) ||
		errors.Is(err, cyclamendyke.KindLimited) ||
		errors.Is(err, context.DeadlineExceeded)
}
