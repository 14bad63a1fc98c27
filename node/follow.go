package node

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"cyclamendyke"
)

const (
	largeBatch      = 200                     // Changes in one answer after which a watch goes on without a pause, so that it does not fall behind.
	longPollTimeout = 1500 * time.Millisecond // For one watch call; short, since a dead connection may cause no error.
)

// confirmations records for each followed prefix when the newest answered call of the store was sent, as of
// which the local copy is complete.
type confirmations struct {
	mu   sync.Mutex
	sent map[string]time.Duration
}

func (c *confirmations) record(prefix string, sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == nil {
		c.sent = map[string]time.Duration{}
	}
	c.sent[prefix] = max(c.sent[prefix], sent)
}

// of returns as of when the local copy of a prefix is complete, or zero if it was never read.
func (c *confirmations) of(prefix string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[prefix]
}

// follow lists a prefix and watches it until the node is closed. If the store has
// compacted changes that the watch still needs, follow lists the prefix again.
func (n *Node) follow(prefix string, batchDelay func() time.Duration, replace func([]cyclamendyke.Entry, cyclamendyke.Revision), apply func([]cyclamendyke.Entry)) {
	n.followWithContext(n.ctx, prefix, batchDelay, replace, apply)
}

// followWithContext is follow with its own context. It pauses for batchDelay after each change, so
// that further changes arrive in one batch.
func (n *Node) followWithContext(ctx context.Context, prefix string, batchDelay func() time.Duration, replace func([]cyclamendyke.Entry, cyclamendyke.Revision), apply func([]cyclamendyke.Entry)) {
	for ctx.Err() == nil {
		sent := bootTime()
		entries, at, err := n.cfg.Store.List(ctx, prefix)
		n.recordStoreResult(err)
		if err != nil {
			sleep(ctx, retryDelay(err))
			continue
		}
		replace(entries, at)
		n.confirmed.record(prefix, sent)
		n.watchFrom(ctx, prefix, at, batchDelay, apply)
	}
}

// watchFrom watches a prefix for changes after revision at. It returns when the store has compacted
// changes that it still needs, or when the context ends.
func (n *Node) watchFrom(ctx context.Context, prefix string, at cyclamendyke.Revision, batchDelay func() time.Duration, apply func([]cyclamendyke.Entry)) {
	var failures watchFailures
	for ctx.Err() == nil {
		sent := bootTime()
		events, reached, err := n.cfg.Store.Watch(ctx, prefix, at, longPollTimeout)
		n.recordWatch(prefix, &failures, sent, err)
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
			n.confirmed.record(prefix, sent)
			continue
		}
		apply(events)
		n.confirmed.record(prefix, sent)
		if len(events) < largeBatch {
			sleep(ctx, batchDelay())
		}
	}
}

// watchFailures counts the calls of one watch that failed in a row.
type watchFailures struct {
	count int
	since time.Duration // When the first of them was sent.
}

// recordWatch counts a failed call of a watch, and logs the first one and the first answer after it.
func (n *Node) recordWatch(prefix string, failures *watchFailures, sent time.Duration, err error) {
	isAnswer := err == nil || cyclamendyke.KindOf(err) == cyclamendyke.KindCompacted
	switch {
	case errors.Is(err, context.Canceled):
	case isAnswer && failures.count > 0:
		n.cfg.Log.Info("watch", "prefix", prefix, "state", "answered", "failures", failures.count, "after", bootTime()-failures.since)
		*failures = watchFailures{}
	case !isAnswer:
		n.cfg.Metrics.WatchFailures.WithLabelValues(prefix).Inc()
		if failures.count == 0 {
			failures.since = sent
			n.cfg.Log.Info("watch", "prefix", prefix, "state", "failing", "took", bootTime()-sent, "err", err)
		}
		failures.count++
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

// configAge returns the time since the copy of what operators write was last known to be complete.
func (n *Node) configAge() time.Duration {
	return (bootTime() - n.confirmed.of(n.cfg.Codec.OperatorsPrefix())).Round(time.Millisecond)
}

// followOperators keeps the fleet's configuration and the evacuated zones up to date; an older version never
// replaces a newer one.
func (n *Node) followOperators() {
	replace := func(entries []cyclamendyke.Entry, at cyclamendyke.Revision) {
		n.applyConfigEntries(entries)
		n.evacuations.replace(n.evacuationEntries(entries), at)
	}
	apply := func(entries []cyclamendyke.Entry) {
		n.applyConfigEntries(entries)
		n.evacuations.apply(n.evacuationEntries(entries))
	}
	n.follow(n.cfg.Codec.OperatorsPrefix(), noDelay, replace, apply)
}

// evacuationEntries returns the requests to evacuate zones among what operators have written.
func (n *Node) evacuationEntries(entries []cyclamendyke.Entry) []cyclamendyke.Entry {
	var requests []cyclamendyke.Entry
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key, n.cfg.Codec.EvacuationsPrefix()) {
			requests = append(requests, entry)
		}
	}
	return requests
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
	n.cfg.Metrics.ConfigVersion.Set(float64(fleet.Version))
	n.cfg.Log.Info("configuration applied", "version", fleet.Version, "queues", len(fleet.Queues), "teams", len(fleet.Teams), "config-age", n.configAge())
	if t := n.term.Load(); t != nil {
		t.applyConfig(fleet)
	}
}
