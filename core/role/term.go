package role

import (
	"slices"
	"time"

	"cyclamendyke"
)

// term is the epoch that a role holds or strives for.
type term struct {
	epoch       cyclamendyke.Epoch
	roster      []cyclamendyke.WorkerName
	earlier     [][]cyclamendyke.WorkerName
	established bool
	recorded    bool // The store has a record of the epoch under a lease of this process.
	probing     bool // Only a few workers are claimed until one grants its session.
	acted       bool // There has been authority.
	acting      bool // As last reported by a RoleChangedCommand.

	mode        cyclamendyke.SessionMode
	modeVersion uint64
	storeUntil  time.Time
	steadySince time.Time // Since when the store has kept the lease without a gap.
	sessions    sessionTable
	fenced      map[cyclamendyke.WorkerName]bool // Workers with a fence above the epoch.

	lackingSince time.Time // Since when there has been no authority.
	nextClaim    time.Time
	nextRenewal  time.Time
	driftSince   time.Time
}

// until returns when the right to act ends, which is zero or past if there is none.
func (t *term) until(gone func(cyclamendyke.WorkerName) bool) time.Time {
	preemptible := earlier(t.jointUntil(gone, false), t.storeUntil)
	if t.mode != cyclamendyke.SessionHeld {
		return preemptible
	}
	return later(preemptible, t.jointUntil(gone, true))
}

// jointUntil returns until when a majority of every roster that counts has sessions.
func (t *term) jointUntil(gone func(cyclamendyke.WorkerName) bool, held bool) time.Time {
	until := t.sessions.majorityUntil(t.roster, gone, held)
	if t.established {
		return until
	}
	for _, roster := range t.earlier {
		if slices.ContainsFunc(roster, func(w cyclamendyke.WorkerName) bool { return !gone(w) }) {
			until = earlier(until, t.sessions.majorityUntil(roster, gone, held))
		}
	}
	return until
}

func (t *term) setMode(mode cyclamendyke.SessionMode) {
	t.mode = mode
	t.modeVersion++
	t.sessions.dropHeld()
}

// members returns every worker of the rosters that count, in order.
func (t *term) members() []cyclamendyke.WorkerName {
	all := slices.Clone(t.roster)
	if !t.established {
		all = slices.Concat(append([][]cyclamendyke.WorkerName{all}, t.earlier...)...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
