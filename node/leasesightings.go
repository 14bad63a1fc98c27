package node

import (
	"context"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/lease"
	"cyclamendyke/io/member"
)

// leaseView is what the store says of leases on targets, and when this process has seen it. Changes replace its
// pointers.
type leaseView struct {
	sightings      *lease.Sightings // Nil if nothing was seen.
	silent         []lease.SilentTarget
	roundRevision  cyclamendyke.Revision
	silentRevision cyclamendyke.Revision
	epoch          uint64 // The last one whose scheduler has bounded its leases, as all before it.
	epochRevision  cyclamendyke.Revision
}

// clone returns a copy of the sightings, empty ones if there are none.
func (l leaseView) clone() *lease.Sightings {
	if l.sightings == nil {
		return &lease.Sightings{}
	}
	return l.sightings.Clone()
}

// applyLeases applies an entry that tells of leases, unless a later one is known.
func (d *directory) applyLeases(entry cyclamendyke.Entry) {
	l := &d.leases
	now := bootTime()
	switch entry.Key {
	case leaseRoundKey:
		var round lease.Round
		if entry.Revision > l.roundRevision && d.decode(entry, &round) {
			l.sightings, l.roundRevision = l.clone(), entry.Revision
			l.sightings.SeeRound(round, now)
		}
	case leaseSilentKey:
		var silent []lease.SilentTarget
		if entry.Revision > l.silentRevision && d.decode(entry, &silent) {
			l.sightings, l.silentRevision, l.silent = l.clone(), entry.Revision, silent
			l.sightings.SeeSilent(silent, now)
		}
	case leaseEpochKey:
		var epoch uint64
		if entry.Revision > l.epochRevision && d.decode(entry, &epoch) {
			l.epoch, l.epochRevision = epoch, entry.Revision
		}
	}
}

// LeaseSightings returns when this process has seen what the store says of leases on targets.
func (n *Node) LeaseSightings(context.Context, member.LeaseSightingsRequest) (member.LeaseSightings, error) {
	return member.LeaseSightings{Report: n.dir.view().leases.clone().Report(bootTime())}, nil
}

// The limits of asking members for their sightings.
const (
	sightingsTimeout  = 700 * time.Millisecond
	maxSightingsAsked = 12 // Members.
	sightingsAttempts = 2  // Members that have just begun may not be known at the first one.
)

// askForSightings asks other members when they have seen what the store says of leases: one that has been there for
// longer than this process knows of an earlier end.
func (t *term) askForSightings() {
	asked := map[cyclamendyke.MemberName]bool{t.node.cfg.Settings.Node: true}
	for range sightingsAttempts {
		for _, m := range t.node.dir.allMembers() {
			if !asked[m.Name] && len(asked) <= maxSightingsAsked {
				asked[m.Name] = true
				t.wg.Go(func() { t.addSightings(m) })
			}
		}
		sleep(t.ctx, sightingsTimeout)
	}
}

// addSightings asks one member for its sightings.
func (t *term) addSightings(from memberRecord) {
	ctx, cancel := context.WithTimeout(t.ctx, sightingsTimeout)
	defer cancel()
	answer, err := t.node.peers.LeaseSightings(ctx, from.Address, member.LeaseSightingsRequest{})
	if err != nil {
		return // It only means that this process's own sightings count.
	}
	arrivedAt := bootTime()
	t.postWhenLoaded(func() {
		t.sightings.Merge(answer.Report, arrivedAt)
		t.limitEarlierLeases()
	})
}

// limitEarlierLeases tells the scheduler when leases of earlier epochs are over, by what members have seen.
func (t *term) limitEarlierLeases() {
	if t.election.areLeasesBounded {
		t.sched.LimitEarlierLeases(t.sightings.Ends(t.node.cfg.Settings.Bounds.MaxLease))
	}
}
