package node

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cyclamendyke"
)

// operatorsCopy is a local copy of everything that operators have written, which other members may ask for.
type operatorsCopy struct {
	mu         sync.Mutex
	entries    map[string]cyclamendyke.Entry
	completeAt cyclamendyke.Revision // The copy holds all changes up to it.
	changedAt  cyclamendyke.Revision // Nothing has changed between it and completeAt.
}

// replace takes over a full listing at a revision.
func (c *operatorsCopy) replace(entries []cyclamendyke.Entry, at cyclamendyke.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at < c.completeAt {
		return
	}
	listed := map[string]cyclamendyke.Entry{}
	for _, entry := range entries {
		listed[entry.Key] = entry
	}
	if !maps.EqualFunc(c.entries, listed, func(a, b cyclamendyke.Entry) bool { return a.Revision == b.Revision }) {
		c.entries, c.changedAt = listed, at
	}
	c.completeAt = at
}

// apply takes over changes.
func (c *operatorsCopy) apply(entries []cyclamendyke.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[string]cyclamendyke.Entry{}
	}
	newest := c.completeAt
	for _, entry := range entries {
		if entry.Revision <= c.completeAt {
			continue
		}
		newest = max(newest, entry.Revision)
		if entry.Deleted {
			delete(c.entries, entry.Key)
			continue
		}
		c.entries[entry.Key] = entry
	}
	if newest > c.completeAt {
		c.completeAt, c.changedAt = newest, newest
	}
}

// revision returns as of which revision the copy is complete.
func (c *operatorsCopy) revision() cyclamendyke.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeAt
}

// changedSince returns all entries if something has changed after a revision, and as of which revision the copy
// is complete.
func (c *operatorsCopy) changedSince(revision cyclamendyke.Revision) ([]cyclamendyke.Entry, cyclamendyke.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changedAt <= revision {
		return nil, c.completeAt
	}
	return slices.Collect(maps.Values(c.entries)), c.completeAt
}

// followOperators keeps the fleet's configuration and the evacuated zones up to date; an older version never
// replaces a newer one.
func (n *Node) followOperators() {
	n.follow(n.cfg.Codec.OperatorsPrefix(), noDelay, n.replaceOperators, n.applyOperators)
}

// replaceOperators takes over a full listing of what operators have written.
func (n *Node) replaceOperators(entries []cyclamendyke.Entry, at cyclamendyke.Revision) {
	n.operators.replace(entries, at)
	n.applyConfigEntries(entries)
	n.evacuations.replace(n.evacuationEntries(entries), at)
}

// applyOperators takes over changes of what operators have written.
func (n *Node) applyOperators(entries []cyclamendyke.Entry) {
	n.operators.apply(entries)
	n.applyConfigEntries(entries)
	n.evacuations.apply(n.evacuationEntries(entries))
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
	if n.cfg.SetLimits != nil {
		n.cfg.SetLimits(fleet.Limits)
	}
	n.cfg.Metrics.ConfigVersion.Set(float64(fleet.Version))
	n.cfg.Log.Info("configuration applied", "version", fleet.Version, "queues", len(fleet.Queues), "teams", len(fleet.Teams), "config-age", n.operatorsAge())
	if t := n.term.Load(); t != nil {
		t.applyConfig(fleet)
	}
}

// operatorsAge returns the time since the copy of what operators have written was known to be complete, or zero
// if it was never read.
func (n *Node) operatorsAge() time.Duration {
	asOf := n.confirmed.of(n.cfg.Codec.OperatorsPrefix()).asOf
	if asOf == 0 {
		return 0
	}
	return (bootTime() - asOf).Round(time.Millisecond)
}

// operatorsOutdated reports whether keys or queues may have been added or withdrawn for longer than the platform
// allows without this process knowing.
func (n *Node) operatorsOutdated() bool {
	limit := n.cfg.Settings.Bounds.MaxConfigAge
	return limit != 0 && n.operatorsAge() > limit
}
