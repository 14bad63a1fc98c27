package node

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
	"cyclamendyke/core/backlog"
	"cyclamendyke/core/storepath"
)

// schedulerRecord is the scheduler's entry in the store.
type schedulerRecord struct {
	memberRecord
	Epoch             uint64 `json:"epoch"`
	KeepsReservations bool   `json:"keeps-reservations,omitempty"` // It does not start work that is reserved for a later one, as earlier versions would.
}

// directory is a local copy of the store's records of members, scheduler and epoch.
type directory struct {
	log               *log.Logger
	mu                sync.Mutex
	loaded            bool // The records have been listed at least once.
	members           map[cyclamendyke.MemberName]memberRecord
	scheduler         *schedulerRecord
	schedulerRevision cyclamendyke.Revision // Revision of the scheduler's record; zero if there is none.
	lastSchedulers    [2]schedulerRecord    // Of the latest epochs seen, also after their records were removed; latest first.
	epoch             uint64
	epochRevision     cyclamendyke.Revision // Revision of the key that holds the epoch.
	leases            leaseView
	budget            *backlog.Budget
	changed           chan struct{} // Wakes the election loop.
	storeFailing      atomic.Bool   // The last call to the store failed.
}

// view is a consistent copy of the directory without its members.
type view struct {
	loaded            bool
	scheduler         *schedulerRecord
	schedulerRevision cyclamendyke.Revision
	epoch             uint64
	epochRevision     cyclamendyke.Revision
	leases            leaseView
}

// schedulerEpoch returns the epoch of the present scheduler, or the last one if there is none.
func (v view) schedulerEpoch() uint64 {
	if v.scheduler == nil {
		return v.epoch
	}
	return v.scheduler.Epoch
}

func (d *directory) view() view {
	d.mu.Lock()
	defer d.mu.Unlock()
	return view{d.loaded, d.scheduler, d.schedulerRevision, d.epoch, d.epochRevision, d.leases}
}

// lastScheduler returns the scheduler of the latest epoch whose record was seen, also if it was removed since.
func (d *directory) lastScheduler() schedulerRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastSchedulers[0]
}

// storeCandidates returns the other members, each of which may store a workflow for this one.
func (d *directory) storeCandidates(self cyclamendyke.MemberName) []storepath.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := make([]storepath.Member, 0, len(d.members))
	for name, m := range d.members {
		if name == self {
			continue
		}
		isScheduler := d.scheduler != nil && d.scheduler.Name == name
		candidates = append(candidates, storepath.Member{Name: name, Zone: m.Zone, IsScheduler: isScheduler})
	}
	return candidates
}

// hasMemberWithMoreCores reports whether a member has more than the given number of cores.
func (d *directory) hasMemberWithMoreCores(cores float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members {
		if m.Cores > cores {
			return true
		}
	}
	return false
}

// allMembers returns the members, sorted by name.
func (d *directory) allMembers() []memberRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.SortedFunc(maps.Values(d.members), func(a, b memberRecord) int { return cmp.Compare(a.Name, b.Name) })
}

func (d *directory) memberAddress(name cyclamendyke.MemberName) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members[name].Address
}

func (d *directory) memberNames() []cyclamendyke.MemberName {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]cyclamendyke.MemberName, 0, len(d.members))
	for name := range d.members {
		names = append(names, name)
	}
	return names
}

// replace applies a full listing and removes the member and scheduler records missing from it.
func (d *directory) replace(entries []cyclamendyke.Entry) {
	d.mu.Lock()
	d.loaded = true
	d.members = map[cyclamendyke.MemberName]memberRecord{}
	d.scheduler, d.schedulerRevision = nil, 0
	d.mu.Unlock()
	d.apply(entries)
}

// apply applies changed entries and wakes the election loop.
func (d *directory) apply(entries []cyclamendyke.Entry) {
	d.mu.Lock()
	for _, entry := range entries {
		d.applyEntry(entry)
	}
	d.mu.Unlock()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *directory) applyEntry(entry cyclamendyke.Entry) {
	switch entry.Key {
	case schedulerKey:
		d.scheduler, d.schedulerRevision = nil, 0
		var record schedulerRecord
		if d.decode(entry, &record) {
			d.scheduler, d.schedulerRevision = &record, entry.Revision
			d.rememberScheduler(record)
		}
	case epochKey:
		var epoch uint64
		if d.decode(entry, &epoch) && epoch >= d.epoch {
			d.epoch, d.epochRevision = epoch, entry.Revision
		}
	case heldKey:
		var held int64
		if d.decode(entry, &held) {
			d.budget.See(held, bootTime())
		}
	case leaseRoundKey, leaseSilentKey, leaseEpochKey:
		d.applyLeases(entry)
	default:
		if name, ok := strings.CutPrefix(entry.Key, membersPrefix); ok {
			d.applyMember(cyclamendyke.MemberName(name), entry)
		}
	}
}

func (d *directory) rememberScheduler(record schedulerRecord) {
	if record.Epoch > d.lastSchedulers[0].Epoch {
		d.lastSchedulers = [2]schedulerRecord{record, d.lastSchedulers[0]}
	}
}

// schedulerOf returns the scheduler of one of the latest epochs, if its record was seen.
func (d *directory) schedulerOf(epoch uint64) (memberRecord, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range d.lastSchedulers {
		if epoch > 0 && record.Epoch == epoch {
			return record.memberRecord, true
		}
	}
	return memberRecord{}, false
}

func (d *directory) applyMember(name cyclamendyke.MemberName, entry cyclamendyke.Entry) {
	var record memberRecord
	if !d.decode(entry, &record) {
		delete(d.members, name)
		return
	}
	d.members[name] = record
}

// decode reads a record. It returns false if the entry was deleted or is malformed, and logs the latter.
func (d *directory) decode(entry cyclamendyke.Entry, record any) bool {
	if entry.Deleted {
		return false
	}
	if err := json.Unmarshal(entry.Value, record); err != nil {
		d.log.Warn("cannot decode membership record", "key", entry.Key, "revision", entry.Revision, "err", err)
		return false
	}
	return true
}

// followDirectory keeps the directory up to date.
func (n *Node) followDirectory() {
	replace := func(entries []cyclamendyke.Entry, _ cyclamendyke.Revision) { n.dir.replace(entries) }
	n.follow(systemPrefix, n.dir.batchDelay, replace, n.dir.apply)
}

// batchDelayPerMember makes the pause between two batches of membership changes grow with the fleet:
// each batch costs each member a call to the store.
const batchDelayPerMember = 2 * time.Millisecond

// batchDelay returns the pause after a batch of changes.
func (d *directory) batchDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(len(d.members)) * batchDelayPerMember
}
