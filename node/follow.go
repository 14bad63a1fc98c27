package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"cyclamendyke"
)

const (
	largeBatch      = 200                     // Changes in one answer after which a watch goes on without a pause, so that it does not fall behind.
	longPollTimeout = 1500 * time.Millisecond // For one watch call; short, since a dead connection may cause no error.
)

// confirmation says that a local copy of a prefix held everything that the store held.
type confirmation struct {
	asOf     time.Duration         // When it did: when the newest answered call was sent.
	revision cyclamendyke.Revision // The store's revision then.
}

// confirmations records for each followed prefix when its local copy was last known to be complete.
type confirmations struct {
	mu     sync.Mutex
	newest map[string]confirmation
	seen   cyclamendyke.Revision // The newest of the store that this process knows of.
}

// record records a confirmation; older ones change nothing.
func (c *confirmations) record(prefix string, asOf time.Duration, revision cyclamendyke.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest == nil {
		c.newest = map[string]confirmation{}
	}
	c.seen = max(c.seen, revision)
	known := c.newest[prefix]
	c.newest[prefix] = confirmation{max(known.asOf, asOf), max(known.revision, revision)}
}

// see records a revision of the store that an answer has shown.
func (c *confirmations) see(revision cyclamendyke.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = max(c.seen, revision)
}

// seenRevision returns the newest revision of the store that this process knows of: every change up to it was made before.
func (c *confirmations) seenRevision() cyclamendyke.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen
}

// of returns the newest confirmation of a prefix, which is empty if it was never read.
func (c *confirmations) of(prefix string) confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest[prefix]
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
		n.confirmed.record(prefix, sent, at)
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
			n.confirmed.record(prefix, sent, at)
			continue
		}
		apply(events)
		n.confirmed.record(prefix, sent, at)
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
