package daemon

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cyclamendyke"
)

// unlistedRetention is how long a process stays known after it left the store's list, since it may
// only have lost its connection to the store.
const unlistedRetention = 2 * time.Minute

// knownMembers holds the other processes, including those whose store entry expired recently.
type knownMembers struct {
	mu      sync.Mutex
	self    cyclamendyke.MemberName
	members map[cyclamendyke.MemberName]knownMember
}

// knownMember is a process and the time at which it left the store's list, zero while it is listed.
type knownMember struct {
	member        cyclamendyke.Member
	unlistedSince time.Time
}

func newKnownMembers(self cyclamendyke.MemberName) *knownMembers {
	return &knownMembers{self: self, members: make(map[cyclamendyke.MemberName]knownMember)}
}

// update applies the store's list of members; unlistedRetention begins for those no longer listed.
func (k *knownMembers) update(members []cyclamendyke.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for name, known := range k.members {
		if known.unlistedSince.IsZero() {
			known.unlistedSince = now
			k.members[name] = known
		}
	}
	for _, member := range members {
		k.members[member.Name] = knownMember{member: member}
	}
}

// list returns every other known process, sorted by name.
func (k *knownMembers) list() []cyclamendyke.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	members := make([]cyclamendyke.Member, 0, len(k.members))
	for name, known := range k.members {
		switch {
		case !known.unlistedSince.IsZero() && time.Since(known.unlistedSince) > unlistedRetention:
			delete(k.members, name)
		case name != k.self:
			members = append(members, known.member)
		}
	}
	slices.SortFunc(members, func(a, b cyclamendyke.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}
