package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
)

// The timing of watches.
const (
	watchHold = 1500 * time.Millisecond // Short, since an open connection may have gone silent.
)

// schedulerRecord names the scheduler in the store.
type schedulerRecord struct {
	memberRecord
	Epoch uint64 `json:"epoch"`
}

// directory is the copy of what the members wrote about themselves.
type directory struct {
	log       *log.Logger
	mu        sync.Mutex
	loaded    bool
	members   map[cyclamendyke.MemberName]memberRecord
	scheduler *schedulerRecord
	holderRev cyclamendyke.Revision // Of the scheduler's record; zero if there is none.
	epoch     uint64
	epochRev  cyclamendyke.Revision
	resigned  epochRecord
	changed   chan struct{}
	storeLost atomic.Bool
}

// view is a consistent part of the directory.
type view struct {
	loaded    bool
	scheduler *schedulerRecord
	holderRev cyclamendyke.Revision
	epoch     uint64
	epochRev  cyclamendyke.Revision
	resigned  epochRecord
}

// epochRecord is an epoch and the revision of the key that holds it.
type epochRecord struct {
	epoch    uint64
	revision cyclamendyke.Revision
}

func (d *directory) view() view {
	d.mu.Lock()
	defer d.mu.Unlock()
	return view{d.loaded, d.scheduler, d.holderRev, d.epoch, d.epochRev, d.resigned}
}

// maxHelpers is the number of members that are asked in turn to store a workflow.
const maxHelpers = 2

// helpers returns the members that may reach the store when this one does not: the scheduler first, then members of other zones.
func (d *directory) helpers(self cyclamendyke.FleetSettings) []memberRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []memberRecord
	for name, m := range d.members {
		if name != self.Node {
			out = append(out, m)
		}
	}
	rank := func(m memberRecord) int {
		switch {
		case d.scheduler != nil && m.Name == d.scheduler.Name:
			return 0
		case m.Zone != self.Zone:
			return 1
		}
		return 2
	}
	slices.SortFunc(out, func(a, b memberRecord) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(maxHelpers, len(out))]
}

// hasStronger reports whether a member has more than so many cores.
func (d *directory) hasStronger(cores float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members {
		if m.Cores > cores {
			return true
		}
	}
	return false
}

func (d *directory) address(name cyclamendyke.MemberName) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members[name].Address
}

func (d *directory) names() []cyclamendyke.MemberName {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]cyclamendyke.MemberName, 0, len(d.members))
	for name := range d.members {
		names = append(names, name)
	}
	return names
}

// replace takes in the whole list.
func (d *directory) replace(entries []cyclamendyke.Entry) {
	d.mu.Lock()
	d.loaded = true
	d.members = map[cyclamendyke.MemberName]memberRecord{}
	d.scheduler, d.holderRev = nil, 0
	d.mu.Unlock()
	d.apply(entries)
}

// apply takes in changes.
func (d *directory) apply(entries []cyclamendyke.Entry) {
	d.mu.Lock()
	for _, entry := range entries {
		d.applyOne(entry)
	}
	d.mu.Unlock()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *directory) applyOne(entry cyclamendyke.Entry) {
	switch entry.Key {
	case schedulerKey:
		d.scheduler, d.holderRev = nil, 0
		var record schedulerRecord
		if d.read(entry, &record) {
			d.scheduler, d.holderRev = &record, entry.Revision
		}
	case epochKey:
		var epoch uint64
		if d.read(entry, &epoch) && epoch >= d.epoch {
			d.epoch, d.epochRev = epoch, entry.Revision
		}
	case resignedKey:
		var epoch uint64
		if d.read(entry, &epoch) && entry.Revision > d.resigned.revision {
			d.resigned = epochRecord{epoch, entry.Revision}
		}
	default:
		name := cyclamendyke.MemberName(entry.Key[len(membersPrefix):])
		var record memberRecord
		if !d.read(entry, &record) {
			delete(d.members, name)
			return
		}
		d.members[name] = record
	}
}

// read decodes a record; it returns false if there is none, and says so if it cannot be read.
func (d *directory) read(entry cyclamendyke.Entry, record any) bool {
	if entry.Deleted {
		return false
	}
	if err := json.Unmarshal(entry.Value, record); err != nil {
		d.log.Warn("a record of the members cannot be read", "key", entry.Key, "revision", entry.Revision, "err", err)
		return false
	}
	return true
}

// followSystem keeps the directory up to date.
func (n *Node) followSystem() {
	n.follow(systemPrefix, 0, n.dir.replace, n.dir.apply)
}

// follow lists a prefix and then watches it; after a gap in the history it lists again.
func (n *Node) follow(prefix string, rest time.Duration, replace, apply func([]cyclamendyke.Entry)) {
	n.followUntil(n.ctx, prefix, rest, replace, apply)
}

// followUntil is follow that ends with a context; rest is a pause after each change, in which further changes gather.
func (n *Node) followUntil(ctx context.Context, prefix string, rest time.Duration, replace, apply func([]cyclamendyke.Entry)) {
	for ctx.Err() == nil {
		entries, at, err := n.cfg.Store.List(ctx, prefix)
		n.noteStore(err)
		if err != nil {
			wait(ctx, storeRetry)
			continue
		}
		replace(entries)
		n.watchFrom(ctx, prefix, at, rest, apply)
	}
}

// watchFrom watches until the history has a gap or the context ends.
func (n *Node) watchFrom(ctx context.Context, prefix string, at cyclamendyke.Revision, rest time.Duration, apply func([]cyclamendyke.Entry)) {
	for ctx.Err() == nil {
		events, reached, err := n.cfg.Store.Watch(ctx, prefix, at, watchHold)
		if cyclamendyke.KindOf(err) == cyclamendyke.KindCompacted {
			n.cfg.Log.Info("watch", "prefix", prefix, "state", "history is gone", "after", at)
			return
		}
		n.noteStore(err)
		if err != nil {
			wait(ctx, storeRetry)
			continue
		}
		at = max(at, reached)
		if len(events) > 0 {
			apply(events)
			wait(ctx, rest)
		}
	}
}

// wait waits unless the context ends first.
func wait(ctx context.Context, d time.Duration) {
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

// followConfig keeps the operators' configuration up to date; a version never goes back.
func (n *Node) followConfig() {
	apply := func(entries []cyclamendyke.Entry) {
		for _, entry := range entries {
			if entry.Key == n.cfg.Codec.ConfigKey() && !entry.Deleted {
				n.configure(entry)
			}
		}
	}
	n.follow(n.cfg.Codec.ConfigKey(), 0, apply, apply)
}

func (n *Node) configure(entry cyclamendyke.Entry) {
	fleet, err := n.cfg.Codec.Config(entry.Value)
	if err != nil {
		n.cfg.Log.Error("configuration cannot be read", "revision", entry.Revision, "err", err)
		return
	}
	if old := n.fleet.Load(); old != nil && old.Version >= fleet.Version {
		return
	}
	n.fleet.Store(fleet)
	n.cfg.Log.Info("configuration in force", "version", fleet.Version, "queues", len(fleet.Queues), "teams", len(fleet.Teams))
	if t := n.term.Load(); t != nil {
		t.configure(fleet)
	}
}
