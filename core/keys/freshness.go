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
// A peer that holds a higher revision proves the view stale until it is taken over.
func Judge(revision cyclamendyke.Revision, ownAge time.Duration, peers []Peer) Freshness {
	allReachable := true
	noneReaches := true
	peerFresh := false
	for _, peer := range peers {
		if !peer.Reachable {
			allReachable = false
			continue
		}
		if peer.Revision > revision {
			return FreshnessStale
		}
		if peer.StoreAge < MaxAge {
			noneReaches = false
			peerFresh = peerFresh || peer.Revision == revision
		}
	}
	switch {
	case ownAge < MaxAge:
		return FreshnessOwn
	case peerFresh:
		return FreshnessPeer
	case allReachable && noneReaches && len(peers) > 0:
		return FreshnessNoneReaches
	default:
		return FreshnessStale
	}
}
