package config

import (
	"context"
	"time"
)

// follower keeps a view level with the store: one list, then one waiting watch at a time.
type follower struct {
	view     *View
	listNext bool // The next call is a list, since there is no point to watch from.
	failures int  // Calls that failed in a row.
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
			f.pause(ctx)
		}
	}
}

// list reads everything and reports whether the store is level with the view.
func (f *follower) list(ctx context.Context) bool {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, f.view.config.CallTimeout)
	defer cancel()
	entries, revision, err := f.view.config.Store.List(callCtx, f.view.config.Prefix)
	if err != nil {
		f.failed(ctx)
		return false
	}
	if !f.view.listed(Copy{Revision: revision, Entries: entries}, sent) {
		f.failures++
		f.view.setStore(StoreBehind)
		return false
	}
	f.listNext = false
	f.reached()
	return true
}

// watch waits for changes and reports whether the next call may follow at once.
func (f *follower) watch(ctx context.Context) bool {
	hold := f.hold(time.Now())
	after := f.view.Snapshot().Revision
	callCtx, cancel := context.WithTimeout(ctx, hold+f.view.config.CallTimeout)
	defer cancel()
	sent := time.Now()
	changes, reached, err := f.view.config.Store.Watch(callCtx, f.view.config.Prefix, after, hold)
	waited := time.Since(sent)
	if err != nil {
		f.listNext = !known(err)
		f.failed(ctx)
		return false
	}
	if reached < after {
		f.listNext = true
		return true
	}
	idle := len(changes) == 0
	confirmed := sent
	if idle && waited >= hold {
		confirmed = sent.Add(hold) // The store saw no change for the whole hold.
	}
	f.view.merge(changes, reached, confirmed)
	f.reached()
	return !idle || waited >= hold
}

// hold returns how long the next watch may wait so that its answer confirms the view in time.
func (f *follower) hold(now time.Time) time.Duration {
	age := now.Sub(f.view.Confirmed())
	left := f.view.config.ConfirmWithin - age
	return min(f.view.config.Hold, max(left, shortestHold))
}

func (f *follower) reached() {
	f.failures = 0
	f.view.setStore(StoreReached)
}

func (f *follower) failed(ctx context.Context) {
	f.failures++
	if f.failures > 1 && ctx.Err() == nil {
		f.view.setStore(StoreLost)
	}
}

// pause waits before the next call, longer after each failure.
func (f *follower) pause(ctx context.Context) {
	wait := f.view.config.RetryMax
	if shift := max(f.failures-1, 0); shift < 16 {
		wait = min(wait, f.view.config.RetryMin<<shift)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
