package daemon

import (
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/keys"
	"cyclamendyke/io/peer"
)

// peerFreshness holds each peer's last heartbeat reply, which shows how current its view of the
// store is.
type peerFreshness struct {
	mu      sync.Mutex
	replies map[cyclamendyke.MemberName]receivedReply
}

// receivedReply is a peer's reply and the time at which its heartbeat was sent.
type receivedReply struct {
	reply peer.HeartbeatReply
	sent  time.Time
}

func newPeerFreshness() *peerFreshness {
	return &peerFreshness{replies: make(map[cyclamendyke.MemberName]receivedReply)}
}

func (f *peerFreshness) update(member cyclamendyke.MemberName, sent time.Time, reply peer.HeartbeatReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replies[member] = receivedReply{reply: reply, sent: sent}
}

func (f *peerFreshness) remove(member cyclamendyke.MemberName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.replies, member)
}

// peerViews returns the inputs that keys.EvaluateFreshness needs about every other known member.
func (f *peerFreshness) peerViews(members []cyclamendyke.Member, now time.Time) []keys.PeerView {
	f.mu.Lock()
	defer f.mu.Unlock()
	views := make([]keys.PeerView, 0, len(members))
	for _, member := range members {
		received, ok := f.replies[member.Name]
		reachable := ok && now.Sub(received.sent) < keys.MaxAge
		views = append(views, keys.PeerView{
			Reachable: reachable,
			StoreAge:  received.reply.StoreAge + now.Sub(received.sent),
			Revision:  received.reply.KeysRevision,
		})
	}
	return views
}
