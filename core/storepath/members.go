package storepath

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamendyke"
)

// Member is another member that may store a write.
type Member struct {
	Name        cyclamendyke.MemberName
	Zone        cyclamendyke.ZoneName
	IsScheduler bool
}

// memberHistory is how a member's latest attempts for this VM ended; zero times stand for never.
type memberHistory struct {
	zone          cyclamendyke.ZoneName
	storedAt      time.Duration
	failedAt      time.Duration
	answeredAt    time.Duration // When an attempt was last answered, also by a refusal.
	isUnreachable bool          // The latest attempt found no connection or got no answer.
}

// hasStored reports whether the member's latest attempt stored something lately.
func (h memberHistory) hasStored(now time.Duration) bool {
	return h.storedAt > h.failedAt && now-h.storedAt < memberStoredFor
}

func (h memberHistory) hasFailed(now time.Duration) bool {
	return h.failedAt > h.storedAt && now-h.failedAt < memberFailureFor
}

// rank orders members: those that stored something lately, then those of which nothing is known, then those
// whose latest attempt failed. The scheduler comes last within these, since all VMs have the same one.
func (p *Paths) rank(now time.Duration, m Member) int {
	h := p.members[m.Name]
	rank := 1
	switch {
	case h.hasStored(now):
		rank = 0
	case h.failedAt > h.storedAt:
		rank = 2
	}
	rank *= 2
	if m.IsScheduler {
		rank++
	}
	return rank
}

// distance spreads the VMs over the members: each VM prefers other members among those of one rank.
func (p *Paths) distance(m Member) uint64 {
	return xxhash.Sum64String(string(p.cfg.Self) + "\x00" + string(m.Name))
}

// chooseMember returns the best member that a write has not asked yet, if possible in a zone in which it
// has not asked.
func (p *Paths) chooseMember(now time.Duration, members []Member, asked []Member) (Member, bool) {
	var candidates []Member
	for _, m := range members {
		if !slices.Contains(asked, m) && !p.members[m.Name].hasFailed(now) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	sameZone := func(m Member) int {
		if slices.ContainsFunc(asked, func(a Member) bool { return a.Zone == m.Zone }) {
			return 1
		}
		return 0
	}
	return slices.MinFunc(candidates, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(p.rank(now, a), p.rank(now, b)),
			cmp.Compare(sameZone(a), sameZone(b)),
			cmp.Compare(p.distance(a), p.distance(b)),
		)
	}), true
}

// recordMember records how a member's attempt ended.
func (p *Paths) recordMember(now time.Duration, member Member, outcome Outcome) {
	h := p.members[member.Name]
	h.zone = member.Zone
	if outcome == Answered || outcome == Refused || outcome == Cancelled {
		h.answeredAt = now
	}
	switch outcome {
	case Answered:
		h.storedAt, h.isUnreachable = now, false
		p.noMemberUntil = 0
	case Abandoned, Rejected, Cancelled:
	default:
		h.failedAt, h.isUnreachable = now, outcome != Refused
	}
	p.members[member.Name] = h
}

// hasStoringMember reports whether a member stored something lately and has not failed since.
func (p *Paths) hasStoringMember(now time.Duration) bool {
	for _, h := range p.members {
		if h.hasStored(now) {
			return true
		}
	}
	return false
}

// isZoneCutOff reports whether this VM's zone seems to be cut off from the others: since the own path has not been
// good, members of other zones could not be reached, and none of them has answered.
func (p *Paths) isZoneCutOff() bool {
	found := false
	for _, h := range p.members {
		switch {
		case h.zone == p.cfg.Zone || max(h.answeredAt, h.failedAt) < p.stateSince:
		case h.answeredAt >= p.stateSince:
			return false
		default:
			found = found || h.isUnreachable
		}
	}
	return found
}

// forgetMembers drops the history of processes that are no longer members.
func (p *Paths) forgetMembers(members []Member) {
	if len(p.members) <= 2*len(members) {
		return
	}
	current := make(map[cyclamendyke.MemberName]memberHistory, len(members))
	for _, m := range members {
		if h, ok := p.members[m.Name]; ok {
			current[m.Name] = h
		}
	}
	p.members = current
}
