package role

import (
	"slices"
	"time"

	"cyclamendyke"
)

// term is an epoch under which this process has, or tries to get, authority.
type term struct {
	epoch          cyclamendyke.Epoch
	roster         []cyclamendyke.WorkerName   // A majority of it is always required.
	earlierRosters [][]cyclamendyke.WorkerName // A majority of each is required until the term is established.
	established    bool
	recorded       bool // The store has recorded the epoch under a lease of this process.
	probing        bool // Only probeSize workers are claimed until one of them grants a session.
	hadAuthority   bool // The term has had authority at some time.
	hasAuthority   bool // As in the last RoleChangedCommand.

	mode             cyclamendyke.SessionMode
	modeVersion      uint64
	storeLeaseUntil  time.Time
	storeSteadySince time.Time // Since when the lease has been renewed without a gap.
	sessions         sessionTable
	fenced           map[cyclamendyke.WorkerName]bool // Workers whose fence is a later epoch.

	noAuthoritySince time.Time // Also set when probing ends.
	nextClaim        time.Time
	nextRenewal      time.Time
	rosterDriftSince time.Time
}

// authorityUntil returns when authority ends; the time is zero or past if there is none.
func (t *term) authorityUntil(removed func(cyclamendyke.WorkerName) bool) time.Time {
	preemptible := earlier(t.majoritiesUntil(removed, false), t.storeLeaseUntil)
	if t.mode != cyclamendyke.SessionHeld {
		return preemptible
	}
	return later(preemptible, t.majoritiesUntil(removed, true))
}

// majoritiesUntil returns until when a majority of every required roster has sessions; if held is set,
// only sessions in mode held count.
func (t *term) majoritiesUntil(removed func(cyclamendyke.WorkerName) bool, held bool) time.Time {
	until := t.sessions.majorityUntil(t.roster, removed, held)
	if t.established {
		return until
	}
	for _, roster := range t.earlierRosters {
		if slices.ContainsFunc(roster, func(w cyclamendyke.WorkerName) bool { return !removed(w) }) {
			until = earlier(until, t.sessions.majorityUntil(roster, removed, held))
		}
	}
	return until
}

func (t *term) setMode(mode cyclamendyke.SessionMode) {
	t.mode = mode
	t.modeVersion++
	t.sessions.clearHeldUntil()
}

// rosterWorkers returns the workers of all required rosters, sorted by name.
func (t *term) rosterWorkers() []cyclamendyke.WorkerName {
	all := slices.Clone(t.roster)
	if !t.established {
		all = slices.Concat(append([][]cyclamendyke.WorkerName{all}, t.earlierRosters...)...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
