package keys

import (
	"time"

	"cyclamendyke"
)

// MaxAge is how old the confirmation of a view of the keys may be.
const MaxAge = 8 * time.Second

// Freshness says why a view of the keys may be relied on.
type Freshness string

// The grounds for relying on a view, and their absence.
const (
	FreshnessStale       Freshness = "stale"
	FreshnessOwn         Freshness = "own"          // The store confirmed it to this process.
	FreshnessPeer        Freshness = "peer"         // The store confirmed it to a reachable peer.
	FreshnessNoneReaches Freshness = "none-reaches" // No member reaches the store, so that none can have taken a withdrawal.
)

// Peer is what a process knows of one other member for the rule of freshness.
type Peer struct {
	Reachable bool
	// StoreAge is the time since the store confirmed the peer's view, counted up to now from before the peer was asked.
	StoreAge time.Duration
	Revision cyclamendyke.Revision // Of the keys in the peer's view.
}

// Judge rules on a view of the keys at revision, confirmed by the store ownAge
// ago, where peers holds every other known member.
//
// Without an own confirmation, a peer that holds a higher revision proves the
// view stale until it is taken over; one that holds the same or a lower one, and
// to which the store confirmed it, proves the view fresh.
func Judge(revision cyclamendyke.Revision, ownAge time.Duration, peers []Peer) Freshness {
	if ownAge < MaxAge {
		return FreshnessOwn
	}
	reaching, silent := 0, 0
	for _, peer := range peers {
		switch {
		case !peer.Reachable:
			silent++
		case peer.Revision > revision:
			return FreshnessStale
		case peer.StoreAge < MaxAge:
			reaching++
		}
	}
	switch {
	case reaching > 0:
		return FreshnessPeer
	case len(peers) > 0 && silent == 0:
		return FreshnessNoneReaches
	default:
		return FreshnessStale
	}
}
