package lease

import (
	"maps"
	"time"

	"cyclamendyke"
)

// Sightings are when a member first saw the last stored round and the entries of the list of silent targets, by its
// own clock.
type Sightings struct {
	last    roundSighting
	earlier roundSighting // The last round seen of an epoch before that of last.
	silent  map[cyclamendyke.TargetID]silentSighting
}

// roundSighting is a round as a member has seen it.
type roundSighting struct {
	round  Round
	seenAt time.Duration
}

// silentSighting is an entry of the list as a member has seen it.
type silentSighting struct {
	serial int64
	end    time.Duration // When the leases on the target are over.
}

// Clone returns a copy.
func (s *Sightings) Clone() *Sightings {
	return &Sightings{last: s.last, earlier: s.earlier, silent: maps.Clone(s.silent)}
}

// SeeRound notes the round that the store holds.
func (s *Sightings) SeeRound(round Round, now time.Duration) {
	if !round.isAfter(s.last.round) {
		return
	}
	if round.Epoch != s.last.round.Epoch {
		s.earlier = s.last
	}
	s.last = roundSighting{round, now}
}

// SeeSilent notes the list that the store holds.
func (s *Sightings) SeeSilent(list []SilentTarget, now time.Duration) {
	seen := make(map[cyclamendyke.TargetID]silentSighting, len(list))
	for _, entry := range list {
		known, isKnown := s.silent[entry.ID]
		if !isKnown || known.serial != entry.Serial {
			known = silentSighting{entry.Serial, now + time.Duration(entry.LeftMillis)*time.Millisecond}
		}
		seen[entry.ID] = known
	}
	s.silent = seen
}

// Ends are when leases that earlier schedulers granted are over on targets that do not answer.
type Ends struct {
	Silent map[cyclamendyke.TargetID]time.Duration
	Others time.Duration // On targets that Silent does not name; zero if none was ever granted.
}

// Ends returns what the sightings tell of leases, where targets accept maxLease.
func (s *Sightings) Ends(maxLease time.Duration) Ends {
	ends := Ends{Silent: make(map[cyclamendyke.TargetID]time.Duration, len(s.silent))}
	for id, seen := range s.silent {
		ends.Silent[id] = seen.end
	}
	if s.last.round.Epoch != 0 {
		ends.Others = s.last.seenAt + Longest(maxLease) + Margin
	}
	return ends
}
