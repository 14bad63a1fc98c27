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
	holderMaxAge          = config.DefaultConfirmWithin
	vmListInterval        = 2 * time.Second
	vmListTimeout         = 3 * time.Second
	peerCopyTimeout       = 2 * time.Second
	allotmentInterval     = 250 * time.Millisecond
	allotmentWriteTimeout = 2 * time.Second
)

// applySnapshot takes in a new snapshot of the watched part of the store.
func (d *Daemon) applySnapshot(snapshot config.Snapshot) {
	d.applyTablesAndKeys(snapshot)
	d.applyMembers(snapshot)
	d.controller.setRoleRecord(snapshot.Schedulers(), d.member.Zone)
}

// applyTablesAndKeys puts the operators' tables and keys in force; both the watch and the process's own edits bring them.
func (d *Daemon) applyTablesAndKeys(snapshot config.Snapshot) {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	d.applyTables(snapshot)
	d.applyKeys(snapshot)
}

// applyTables puts the tables in force; text that does not parse was written past the checks and is left out.
func (d *Daemon) applyTables(snapshot config.Snapshot) {
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
	d.controller.setTables(parsed)
	d.addEvent(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventRevision, Detail: revisionDetail("tables", revision)})
	d.log.Info("tables in force", "revision", revision)
}

// roleHolder returns the holder of this zone's scheduler role, if the store has confirmed it lately.
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

// applyKeys puts the keys in force.
func (d *Daemon) applyKeys(snapshot config.Snapshot) {
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
	d.addEvent(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventRevision, Detail: revisionDetail("keys", ring.Revision)})
}

// applyMembers keeps connections to every registered process; while the store holds none, to those of the settings.
func (d *Daemon) applyMembers(snapshot config.Snapshot) {
	members := snapshot.Members()
	if len(members) == 0 {
		return
	}
	d.knownMembers.update(members)
	d.peers.SetMembers(d.knownMembers.list())
}

// seedMembers stands the addresses of the settings in for members, so that a process that starts while the store is away finds a copy.
func seedMembers(addresses []string) []cyclamendyke.Member {
	members := make([]cyclamendyke.Member, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, cyclamendyke.Member{Name: cyclamendyke.MemberName(address), Peer: address})
	}
	return members
}

// pollVMs reads the platform's list until ctx ends.
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
		return // The last list stays in use while the platform is away.
	}
	if addressable, ok := d.platform.Workers.(Addressable); ok {
		addressable.SetVMs(vms)
	}
	d.controller.setVMs(vms)
}

// state returns what each heartbeat tells the peers.
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
	if pools := d.pools.Load(); scheduling && pools != nil {
		state.Pools = *pools
	}
	return state
}

// maintainOwnState publishes this process's own state until ctx ends.
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
	d.pools.Store(&pools)
	d.directory.update(d.state(), time.Now())
}

// announceState tells this process and its peers at once that the role has moved.
func (d *Daemon) announceState() {
	d.updateOwnState()
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
	return d.configView.Age()
}

// storeUnavailable reports whether the last calls to the store failed.
func (d *Daemon) storeUnavailable() bool {
	return d.configView.Store() == config.StoreLost
}

// Heartbeat takes in a peer's state and answers with the freshness of this process's view.
func (d *Daemon) Heartbeat(_ context.Context, beat peer.Beat) (peer.ViewState, error) {
	now := time.Now()
	stateKnown := true
	if beat.State != nil {
		beat.State.StoreAge = beat.StoreAge
		d.directory.update(*beat.State, now)
	} else {
		stateKnown = d.directory.renew(beat.Member, beat.StoreAge, now)
	}
	return peer.ViewState{
		StoreAge:       d.storeAge(),
		TablesRevision: d.tablesRevision(),
		KeysRevision:   d.keyRing.Load().Revision,
		StateWanted:    !stateKnown,
	}, nil
}

// onPeerView takes in how fresh a peer's view is, and copies it if it is newer than the own one.
func (d *Daemon) onPeerView(member cyclamendyke.Member, sent time.Time, answer peer.ViewState) {
	d.peerFreshness.update(member.Name, sent, answer)
	if answer.TablesRevision <= d.tablesRevision() && answer.KeysRevision <= d.keyRing.Load().Revision {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCopyTimeout)
	defer cancel()
	if newer, err := d.peers.Watched(ctx, member.Name); err == nil {
		d.configView.Offer(newer)
	}
}

// onPeerVerdict notes that a peer was lost or is back.
func (d *Daemon) onPeerVerdict(member cyclamendyke.Member, alive bool) {
	kind := cyclamendyke.EventPeerBack
	if !alive {
		kind = cyclamendyke.EventPeerLost
		d.metrics.peerLosses.Inc()
		d.peerFreshness.remove(member.Name)
		d.directory.remove(member.Name)
	}
	d.addEvent(cyclamendyke.TimelineEvent{Kind: kind, Detail: string(member.Name)})
	d.log.Info("peer", "member", member.Name, "alive", alive)
}

// onStoreState notes that the store was lost or is back.
func (d *Daemon) onStoreState(state config.StoreState) {
	kind := cyclamendyke.EventStoreLost
	if state == config.StoreReached {
		kind = cyclamendyke.EventStoreBack
	}
	d.addEvent(cyclamendyke.TimelineEvent{Kind: kind, Detail: string(state)})
	d.log.Info("store", "state", state)
}

// revisionDetail names a revision on the time line.
func revisionDetail(what string, revision cyclamendyke.Revision) string {
	return what + " " + strconv.FormatUint(uint64(revision), 10)
}
