package keys

import (
	"time"

	"cyclamendyke"
)

// MaxAge is how long a store confirmation of a view of the keys counts as recent.
// It bounds how long a withdrawn key is still accepted.
const MaxAge = 8 * time.Second

// Freshness is the reason why a view of the keys may be used, or FreshnessStale if it may not.
type Freshness string

// Results of EvaluateFreshness.
const (
	FreshnessStale            Freshness = "stale"
	FreshnessOwn              Freshness = "own"          // The store confirmed the view to this process.
	FreshnessPeer             Freshness = "peer"         // A reachable peer has a recent store confirmation and no newer keys.
	FreshnessStoreUnreachable Freshness = "none-reaches" // No member reaches the store, so no withdrawal can have been accepted.
)

// PeerView is what a process knows about one other member when it evaluates the freshness of its view.
type PeerView struct {
	Reachable bool
	// StoreAge is the age of the peer's view as the peer reported it, plus the time since it was asked.
	StoreAge time.Duration
	Revision cyclamendyke.Revision // Revision of the keys in the peer's view.
}

// EvaluateFreshness decides whether a view of the keys at revision may be used; the store
// confirmed it ownAge ago, and peers holds every other known member.
//
// If ownAge is below MaxAge, the view may be used. Otherwise, the first rule that applies decides:
//   - If a reachable peer has a higher revision, the view is stale until that peer's copy is applied.
//   - If a reachable peer has a recent store confirmation, the view may be used, since the
//     store then held nothing newer.
//   - If there are peers and all of them are reachable, no member reaches the store, so the
//     view may be used.
//   - Otherwise, the view is stale.
func EvaluateFreshness(revision cyclamendyke.Revision, ownAge time.Duration, peers []PeerView) Freshness {
	if ownAge < MaxAge {
		return FreshnessOwn
	}
	confirmed, unreachable := 0, 0
	for _, peer := range peers {
		switch {
		case !peer.Reachable:
			unreachable++
		case peer.Revision > revision:
			return FreshnessStale
		case peer.StoreAge < MaxAge:
			confirmed++
		}
	}
	switch {
	case confirmed > 0:
		return FreshnessPeer
	case len(peers) > 0 && unreachable == 0:
		return FreshnessStoreUnreachable
	default:
		return FreshnessStale
	}
}
