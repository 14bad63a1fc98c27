package role

import (
	"slices"
	"time"

	"cyclamendyke"
)

// session is the holder's view of its session at one worker; times are on the holder's clock.
type session struct {
	until     time.Time // When the session ends, whatever its mode.
	heldUntil time.Time // When it ends as a session in mode held, granted for the present mode version.
}

// sessionTable holds the sessions of one epoch.
type sessionTable map[cyclamendyke.WorkerName]session

func (t sessionTable) extend(worker cyclamendyke.WorkerName, until time.Time, held bool) {
	s := t[worker]
	s.until = later(s.until, until)
	if held {
		s.heldUntil = later(s.heldUntil, until)
	}
	t[worker] = s
}

// clearHeldUntil is called when the mode changes, since workers must grant the new mode anew.
func (t sessionTable) clearHeldUntil() {
	for worker, s := range t {
		s.heldUntil = time.Time{}
		t[worker] = s
	}
}

// majorityUntil returns until when a majority of roster, not counting removed workers, has sessions; if held
// is set, only sessions in mode held count.
func (t sessionTable) majorityUntil(roster []cyclamendyke.WorkerName, removed func(cyclamendyke.WorkerName) bool, held bool) time.Time {
	expiries := make([]time.Time, 0, len(roster))
	for _, worker := range roster {
		if removed(worker) {
			continue
		}
		s := t[worker]
		if held {
			expiries = append(expiries, s.heldUntil)
		} else {
			expiries = append(expiries, s.until)
		}
	}
	if len(expiries) == 0 {
		return time.Time{}
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	return expiries[len(expiries)/2]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
