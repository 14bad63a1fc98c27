package daemon

import (
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/keys"
	"cyclamendyke/io/peer"
)

// peerFreshness holds each peer's last report about its view of the store.
type peerFreshness struct {
	mu      sync.Mutex
	answers map[cyclamendyke.MemberName]peerAnswer
}

// peerAnswer is a peer's answer and the time at which the call was sent.
type peerAnswer struct {
	reply peer.HeartbeatReply
	sent  time.Time
}

func newPeerFreshness() *peerFreshness {
	return &peerFreshness{answers: make(map[cyclamendyke.MemberName]peerAnswer)}
}

func (f *peerFreshness) update(member cyclamendyke.MemberName, sent time.Time, reply peer.HeartbeatReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[member] = peerAnswer{reply: reply, sent: sent}
}

func (f *peerFreshness) remove(member cyclamendyke.MemberName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.answers, member)
}

// peers returns the inputs that keys.EvaluateFreshness needs about every other known member.
func (f *peerFreshness) peers(members []cyclamendyke.Member, now time.Time) []keys.PeerView {
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := make([]keys.PeerView, 0, len(members))
	for _, member := range members {
		answer, ok := f.answers[member.Name]
		reachable := ok && now.Sub(answer.sent) < keys.MaxAge
		peers = append(peers, keys.PeerView{
			Reachable: reachable,
			StoreAge:  answer.reply.StoreAge + now.Sub(answer.sent),
			Revision:  answer.reply.KeysRevision,
		})
	}
	return peers
}
