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

// CrossZoneHeartbeatInterval is the time between heartbeats to daemons of other zones; role changes
// are sent at once.
const CrossZoneHeartbeatInterval = 6 * time.Second

// Intervals, timeouts and age limits of periodic work.
const (
	ownStateInterval      = 500 * time.Millisecond
	holderMaxAge          = config.DefaultConfirmWithin // An older view does not show who holds the role now.
	vmListInterval        = 2 * time.Second
	vmListTimeout         = 3 * time.Second
	peerCopyTimeout       = 2 * time.Second
	allotmentInterval     = 250 * time.Millisecond
	allotmentWriteTimeout = 2 * time.Second
)

// applySnapshot applies a new snapshot of the watched part of the store.
func (d *Daemon) applySnapshot(snapshot config.Snapshot) {
	d.applyTablesAndKeys(snapshot)
	d.applyMembers(snapshot)
	d.controller.setRoleRecord(snapshot.Schedulers(), d.member.Zone)
}

// applyTablesAndKeys applies the operators' tables and keys. It is called for the watch and for
// this process's own edits.
func (d *Daemon) applyTablesAndKeys(snapshot config.Snapshot) {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	d.applyTables(snapshot)
	d.applyKeys(snapshot)
}

// applyTables applies the tables if they are newer. Invalid tables, which can only have been
// written without the checks, are ignored.
func (d *Daemon) applyTables(snapshot config.Snapshot) {
	text, revision, err := snapshot.Tables()
	if err != nil || revision == 0 {
		return
	}
	if current := d.tables.Load(); current != nil && current.Revision >= revision {
		return
	}
	parsed, faults := tables.Parse(text, revision)
	if len(faults) > 0 {
		d.log.Error("ignoring invalid tables in the store", "revision", revision, "first", faults[0].String())
		return
	}
	d.tables.Store(parsed)
	d.controller.setTables(parsed)
	d.addEvent(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventRevision, Detail: revisionDetail("tables", revision)})
	d.log.Info("applied new tables", "revision", revision)
}

// roleHolder returns the holder of this zone's scheduler role, if the store confirmed it recently.
func (d *Daemon) roleHolder() (cyclamendyke.ZoneScheduler, bool) {
	snapshot := d.configView.Snapshot()
	if time.Since(snapshot.Confirmed) > holderMaxAge {
		return cyclamendyke.ZoneScheduler{}, false
	}
	for _, holder := range snapshot.Schedulers() {
		if holder.Member.Zone == d.member.Zone {
			return holder, true
		}
	}
	return cyclamendyke.ZoneScheduler{}, false
}

// applyKeys applies the API keys if they are newer.
func (d *Daemon) applyKeys(snapshot config.Snapshot) {
	entry, ok := snapshot.Entry(cyclamendyke.KeysKey)
	if !ok {
		return
	}
	if current := d.keyRing.Load(); current.Revision >= entry.Revision {
		return
	}
	ring, err := keys.NewRing(entry)
	if err != nil {
		d.log.Error("keys in the store cannot be read", "err", err)
		return
	}
	d.keyRing.Store(ring)
	d.addEvent(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventRevision, Detail: revisionDetail("keys", ring.Revision)})
}

// applyMembers connects to every known process. While none is registered, it keeps the connections
// to the peers in the settings.
func (d *Daemon) applyMembers(snapshot config.Snapshot) {
	members := snapshot.Members()
	if len(members) == 0 {
		return
	}
	d.knownMembers.update(members)
	d.peers.SetMembers(d.knownMembers.list())
}

// seedMembers returns members for the peer addresses in the settings, so that a process that starts
// without the store can copy a peer's view.
func seedMembers(addresses []string) []cyclamendyke.Member {
	members := make([]cyclamendyke.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, cyclamendyke.Member{Name: cyclamendyke.MemberName(address), Peer: address})
	}
	return members
}

// pollVMs reads the platform's VM list periodically until ctx ends.
func (d *Daemon) pollVMs(ctx context.Context) {
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
		return // The last list stays in use while the platform is unavailable.
	}
	if addressable, ok := d.platform.Workers.(Addressable); ok {
		addressable.SetVMs(vms)
	}
	d.controller.setVMs(vms)
}

// state returns the state that this process sends in heartbeats.
func (d *Daemon) state() cyclamendyke.MemberState {
	epoch, scheduling := d.controller.currentEpoch()
	state := cyclamendyke.MemberState{
		Member:         d.member,
		Scheduling:     scheduling,
		Epoch:          epoch,
		TablesRevision: d.tablesRevision(),
		KeysRevision:   d.keyRing.Load().Revision,
		StoreAge:       d.storeAge(),
		Stopping:       d.stopping.Load(),
	}
	if pools := d.poolStates.Load(); scheduling && pools != nil {
		state.Pools = *pools
	}
	return state
}

// maintainOwnState updates this process's own state periodically, and announces it after role
// changes, until ctx ends.
func (d *Daemon) maintainOwnState(ctx context.Context) {
	ticker := time.NewTicker(ownStateInterval)
	defer ticker.Stop()
	for {
		d.updateOwnState()
		select {
		case <-ctx.Done():
			return
		case <-d.roleChanged:
			d.announceState()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) updateOwnState() {
	pools := d.controller.poolStates()
	d.poolStates.Store(&pools)
	d.directory.update(d.state(), time.Now())
}

// announceState updates this process's own state and sends it to all peers at once.
func (d *Daemon) announceState() {
	d.updateOwnState()
	d.peers.SendHeartbeats()
}

func (d *Daemon) tablesRevision() cyclamendyke.Revision {
	if current := d.tables.Load(); current != nil {
		return current.Revision
	}
	return 0
}

// storeAge returns the time since the store last confirmed this process's view, or
// config.NeverConfirmed.
func (d *Daemon) storeAge() time.Duration {
	return d.configView.Age()
}

// storeUnavailable reports whether the last calls to the store failed.
func (d *Daemon) storeUnavailable() bool {
	return d.configView.StoreState() == config.StoreLost
}

// Heartbeat stores a peer's state and answers with the revisions and age of this process's view.
func (d *Daemon) Heartbeat(_ context.Context, heartbeat peer.Heartbeat) (peer.HeartbeatReply, error) {
	now := time.Now()
	stateKnown := true
	if heartbeat.State != nil {
		heartbeat.State.StoreAge = heartbeat.StoreAge
		d.directory.update(*heartbeat.State, now)
	} else {
		stateKnown = d.directory.renew(heartbeat.Member, heartbeat.StoreAge, now)
	}
	return peer.HeartbeatReply{
		StoreAge:       d.storeAge(),
		TablesRevision: d.tablesRevision(),
		KeysRevision:   d.keyRing.Load().Revision,
		NeedsState:     !stateKnown,
	}, nil
}

// onHeartbeatReply records the age of a peer's view, and copies the view if it has newer revisions.
func (d *Daemon) onHeartbeatReply(member cyclamendyke.Member, sent time.Time, reply peer.HeartbeatReply) {
	d.peerFreshness.update(member.Name, sent, reply)
	if reply.TablesRevision <= d.tablesRevision() && reply.KeysRevision <= d.keyRing.Load().Revision {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCopyTimeout)
	defer cancel()
	if newer, err := d.peers.WatchedCopy(ctx, member.Name); err == nil {
		d.configView.MergePeerCopy(newer)
	}
}

// onPeerLivenessChange handles the loss or return of a peer.
func (d *Daemon) onPeerLivenessChange(member cyclamendyke.Member, alive bool) {
	kind := cyclamendyke.EventPeerBack
	if !alive {
		kind = cyclamendyke.EventPeerLost
		d.metrics.peerLosses.Inc()
		d.peerFreshness.remove(member.Name)
		d.directory.remove(member.Name)
	}
	d.addEvent(cyclamendyke.TimelineEvent{Kind: kind, Detail: string(member.Name)})
	d.log.Info("peer state changed", "member", member.Name, "alive", alive)
}

// onStoreState records the loss or return of the store.
func (d *Daemon) onStoreState(state config.StoreState) {
	kind := cyclamendyke.EventStoreLost
	if state == config.StoreReached {
		kind = cyclamendyke.EventStoreBack
	}
	d.addEvent(cyclamendyke.TimelineEvent{Kind: kind, Detail: string(state)})
	d.log.Info("store state changed", "state", state)
}

// revisionDetail returns the detail of a timeline event about a revision.
func revisionDetail(what string, revision cyclamendyke.Revision) string {
	return what + " " + strconv.FormatUint(uint64(revision), 10)
}
