package daemon

import (
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/keys"
	"cyclamendyke/io/peer"
)

// freshness holds how fresh each peer's view was when it last answered.
type freshness struct {
	mu      sync.Mutex
	answers map[cyclamendyke.MemberName]freshAnswer
}

// freshAnswer is a peer's answer with the time at which its call was sent.
type freshAnswer struct {
	view peer.ViewState
	sent time.Time
}

func newFreshness() *freshness {
	return &freshness{answers: make(map[cyclamendyke.MemberName]freshAnswer)}
}

func (f *freshness) answered(member cyclamendyke.MemberName, sent time.Time, view peer.ViewState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[member] = freshAnswer{view: view, sent: sent}
}

func (f *freshness) lost(member cyclamendyke.MemberName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.answers, member)
}

// peers returns what the rule of freshness asks of every other known member.
func (f *freshness) peers(known []cyclamendyke.Member, now time.Time) []keys.PeerView {
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := make([]keys.PeerView, 0, len(known))
	for _, member := range known {
		answer, ok := f.answers[member.Name]
		reachable := ok && now.Sub(answer.sent) < keys.MaxAge
		peers = append(peers, keys.PeerView{
			Reachable: reachable,
			StoreAge:  answer.view.StoreAge + now.Sub(answer.sent),
			Revision:  answer.view.KeysRevision,
		})
	}
	return peers
}
