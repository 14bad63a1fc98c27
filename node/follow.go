package node

import (
	"context"
	"time"

	"cyclamendyke"
)

const (
	largeBatch      = 200                     // Changes in one answer after which a watch goes on without a pause, so that it does not fall behind.
	longPollTimeout = 1500 * time.Millisecond // For one watch call; short, since a dead connection may cause no error.
)

// follow lists a prefix and watches it until the node is closed. If the store has
// compacted changes that the watch still needs, follow lists the prefix again.
func (n *Node) follow(prefix string, batchDelay func() time.Duration, replace, apply func([]cyclamendyke.Entry)) {
	n.followWithContext(n.ctx, prefix, batchDelay, replace, apply)
}

// followWithContext is follow with its own context. It pauses for batchDelay after each change, so
// that further changes arrive in one batch.
func (n *Node) followWithContext(ctx context.Context, prefix string, batchDelay func() time.Duration, replace, apply func([]cyclamendyke.Entry)) {
	for ctx.Err() == nil {
		entries, at, err := n.cfg.Store.List(ctx, prefix)
		n.recordStoreResult(err)
		if err != nil {
			sleep(ctx, retryDelay(err))
			continue
		}
		replace(entries)
		n.watchFrom(ctx, prefix, at, batchDelay, apply)
	}
}

// watchFrom watches a prefix for changes after revision at. It returns when the store has compacted
// changes that it still needs, or when the context ends.
func (n *Node) watchFrom(ctx context.Context, prefix string, at cyclamendyke.Revision, batchDelay func() time.Duration, apply func([]cyclamendyke.Entry)) {
	for ctx.Err() == nil {
		events, reached, err := n.cfg.Store.Watch(ctx, prefix, at, longPollTimeout)
		if cyclamendyke.KindOf(err) == cyclamendyke.KindCompacted {
			n.cfg.Log.Info("watch", "prefix", prefix, "state", "history is gone", "after", at)
			return
		}
		n.recordStoreResult(err)
		if err != nil {
			sleep(ctx, retryDelay(err))
			continue
		}
		at = max(at, reached)
		if len(events) == 0 {
			continue
		}
		apply(events)
		if len(events) < largeBatch {
			sleep(ctx, batchDelay())
		}
	}
}

func noDelay() time.Duration { return 0 }

// sleep pauses for d unless the context ends first.
func sleep(ctx context.Context, d time.Duration) {
	if d == 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followConfig keeps the fleet's configuration up to date; an older version never replaces a newer one.
func (n *Node) followConfig() {
	n.follow(n.cfg.Codec.ConfigKey(), noDelay, n.applyConfigEntries, n.applyConfigEntries)
}

func (n *Node) applyConfigEntries(entries []cyclamendyke.Entry) {
	for _, entry := range entries {
		if entry.Key == n.cfg.Codec.ConfigKey() && !entry.Deleted {
			n.applyConfig(entry)
		}
	}
}

func (n *Node) applyConfig(entry cyclamendyke.Entry) {
	fleet, err := n.cfg.Codec.Config(entry.Value)
	if err != nil {
		n.cfg.Log.Error("cannot decode configuration", "revision", entry.Revision, "err", err)
		return
	}
	for {
		old := n.fleetConfig.Load()
		if old != nil && old.Version >= fleet.Version {
			return
		}
		if n.fleetConfig.CompareAndSwap(old, fleet) {
			break
		}
	}
	n.cfg.Log.Info("configuration applied", "version", fleet.Version, "queues", len(fleet.Queues), "teams", len(fleet.Teams))
	if t := n.term.Load(); t != nil {
		t.applyConfig(fleet)
	}
}
