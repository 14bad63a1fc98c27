package daemon

import (
	"context"
	"strconv"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/config"
	"cyclamendyke/core/keys"
	"cyclamendyke/core/tables"
	"cyclamendyke/io/peer"
)

// FarHeartbeatInterval is the time between heartbeats to daemons of other zones; a change of role is told at once.
const FarHeartbeatInterval = 6 * time.Second

// The timing of what is read again and again.
const (
	ownStateInterval      = 500 * time.Millisecond
	holderConfirmedWithin = config.DefaultConfirmWithin
	vmListInterval        = 2 * time.Second
	vmListTimeout         = 3 * time.Second
	peerCopyTimeout       = 2 * time.Second
	quotaInterval         = 250 * time.Millisecond
	quotaWriteTimeout     = 2 * time.Second
)

// followConfiguration takes in a new snapshot of the watched part of the store.
func (d *Daemon) followConfiguration(snapshot config.Snapshot) {
	d.followEdits(snapshot)
	d.followMembers(snapshot)
	d.control.setRecord(snapshot.Schedulers(), d.member.Zone)
}

// followEdits puts the operators' tables and keys in force; both the watch and the process's own edits bring them.
func (d *Daemon) followEdits(snapshot config.Snapshot) {
	d.edits.Lock()
	defer d.edits.Unlock()
	d.followTables(snapshot)
	d.followKeys(snapshot)
}

// followTables puts the tables in force; text that does not parse was written past the checks and is left out.
func (d *Daemon) followTables(snapshot config.Snapshot) {
	text, revision, err := snapshot.Tables()
	if err != nil || revision == 0 {
		return
	}
	if before := d.tables.Load(); before != nil && before.Revision >= revision {
		return
	}
	parsed, faults := tables.Parse(text, revision)
	if len(faults) > 0 {
		d.log.Error("tables in the store are not valid and stay out of force", "revision", revision, "first", faults[0].String())
		return
	}
	d.tables.Store(parsed)
	d.control.setTables(parsed)
	d.event(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventRevision, Detail: revisionDetail("tables", revision)})
	d.log.Info("tables in force", "revision", revision)
}

// zoneHolder returns the holder of this zone's scheduler role, if the store has confirmed it lately.
func (d *Daemon) zoneHolder() (cyclamendyke.ZoneScheduler, bool) {
	snapshot := d.view.Snapshot()
	if time.Since(snapshot.Confirmed) > holderConfirmedWithin {
		return cyclamendyke.ZoneScheduler{}, false
	}
	for _, holder := range snapshot.Schedulers() {
		if holder.Member.Zone == d.member.Zone {
			return holder, true
		}
	}
	return cyclamendyke.ZoneScheduler{}, false
}

// followKeys puts the keys in force.
func (d *Daemon) followKeys(snapshot config.Snapshot) {
	entry, ok := snapshot.Entry(cyclamendyke.KeysKey)
	if !ok {
		return
	}
	if before := d.keyRing.Load(); before.Revision >= entry.Revision {
		return
	}
	ring, err := keys.NewRing(entry)
	if err != nil {
		d.log.Error("keys in the store cannot be read", "err", err)
		return
	}
	d.keyRing.Store(ring)
	d.event(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventRevision, Detail: revisionDetail("keys", ring.Revision)})
}

// followMembers keeps connections to every registered process; while the store holds none, to those of the settings.
func (d *Daemon) followMembers(snapshot config.Snapshot) {
	members := snapshot.Members()
	if len(members) == 0 {
		return
	}
	d.known.set(members)
	d.peers.SetMembers(d.known.list())
}

// seedMembers stands the addresses of the settings in for members, so that a process that starts while the store is away finds a copy.
func seedMembers(addresses []string) []cyclamendyke.Member {
	members := make([]cyclamendyke.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, cyclamendyke.Member{Name: cyclamendyke.MemberName(address), Peer: address})
	}
	return members
}

// followVMs reads the platform's list until ctx ends.
func (d *Daemon) followVMs(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		d.readVMs(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := d.platform.VMs.ListVMs(ctx, d.member.Zone)
	if err != nil {
		return // The last list stays in use while the platform is away.
	}
	if addressable, ok := d.platform.Workers.(Addressable); ok {
		addressable.SetVMs(vms)
	}
	d.control.setVMs(vms)
}

// state returns what each heartbeat tells the peers.
func (d *Daemon) state() cyclamendyke.MemberState {
	epoch, scheduling := d.control.currentEpoch()
	state := cyclamendyke.MemberState{
		Member:         d.member,
		Scheduling:     scheduling,
		Epoch:          epoch,
		TablesRevision: d.tablesRevision(),
		KeysRevision:   d.keyRing.Load().Revision,
		StoreAge:       d.storeAge(),
		Stopping:       d.stopping.Load(),
	}
	if pools := d.pools.Load(); scheduling && pools != nil {
		state.Pools = *pools
	}
	return state
}

// keepOwnState publishes this process's own state until ctx ends.
func (d *Daemon) keepOwnState(ctx context.Context) {
	ticker := time.NewTicker(ownStateInterval)
	defer ticker.Stop()
	for {
		d.publishOwnState()
		select {
		case <-ctx.Done():
			return
		case <-d.moved:
			d.publishState()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) publishOwnState() {
	pools := d.control.summary()
	d.pools.Store(&pools)
	d.directory.hear(d.state(), time.Now())
}

// publishState tells this process and its peers at once that the role has moved.
func (d *Daemon) publishState() {
	d.publishOwnState()
	d.peers.BeatNow()
}

func (d *Daemon) tablesRevision() cyclamendyke.Revision {
	if current := d.tables.Load(); current != nil {
		return current.Revision
	}
	return 0
}

// storeAge returns the time since the store last confirmed this process's view; a view that it never confirmed is not fresh.
func (d *Daemon) storeAge() time.Duration {
	return d.view.Age()
}

// storeAway reports whether the last calls to the store failed.
func (d *Daemon) storeAway() bool {
	return d.view.StoreState() == config.StoreLost
}

// Heartbeat takes in a peer's state and answers with the freshness of this process's view.
func (d *Daemon) Heartbeat(_ context.Context, beat peer.Beat) (peer.ViewState, error) {
	now := time.Now()
	known := true
	if beat.State != nil {
		beat.State.StoreAge = beat.StoreAge
		d.directory.hear(*beat.State, now)
	} else {
		known = d.directory.renew(beat.Member, beat.StoreAge, now)
	}
	return peer.ViewState{
		StoreAge:       d.storeAge(),
		TablesRevision: d.tablesRevision(),
		KeysRevision:   d.keyRing.Load().Revision,
		StateWanted:    !known,
	}, nil
}

// peerView takes in how fresh a peer's view is, and copies it if it is newer than the own one.
func (d *Daemon) peerView(member cyclamendyke.Member, sent time.Time, answer peer.ViewState) {
	d.freshness.answered(member.Name, sent, answer)
	if answer.TablesRevision <= d.tablesRevision() && answer.KeysRevision <= d.keyRing.Load().Revision {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCopyTimeout)
	defer cancel()
	if newer, err := d.peers.Watched(ctx, member.Name); err == nil {
		d.view.MergePeerCopy(newer)
	}
}

// peerVerdict notes that a peer was lost or is back.
func (d *Daemon) peerVerdict(member cyclamendyke.Member, alive bool) {
	kind := cyclamendyke.EventPeerBack
	if !alive {
		kind = cyclamendyke.EventPeerLost
		d.metrics.peerLosses.Inc()
		d.freshness.lost(member.Name)
		d.directory.forget(member.Name)
	}
	d.event(cyclamendyke.TimelineEvent{Kind: kind, Detail: string(member.Name)})
	d.log.Info("peer", "member", member.Name, "alive", alive)
}

// storeState notes that the store was lost or is back.
func (d *Daemon) storeState(state config.StoreState) {
	kind := cyclamendyke.EventStoreLost
	if state == config.StoreReached {
		kind = cyclamendyke.EventStoreBack
	}
	d.event(cyclamendyke.TimelineEvent{Kind: kind, Detail: string(state)})
	d.log.Info("store", "state", state)
}

// revisionDetail names a revision on the time line.
func revisionDetail(what string, revision cyclamendyke.Revision) string {
	return what + " " + strconv.FormatUint(uint64(revision), 10)
}
