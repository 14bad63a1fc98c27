package lease

import (
	"time"

	"cyclamendyke"
)

// The limits of leases.
const (
	grantFraction = 0.725                  // Part of the longest lease that targets accept.
	MinClockRate  = 0.98                   // Slowest rate at which a target's clock may run.
	Margin        = 200 * time.Millisecond // Added to the computed end of a lease before its runs count as ended.
)

// LongestGrant returns the longest lease that a scheduler grants, by the target's clock, where targets accept maxLease.
func LongestGrant(maxLease time.Duration) time.Duration {
	return time.Duration(grantFraction * float64(maxLease))
}

// Longest returns the longest time for which a granted lease can last.
func Longest(maxLease time.Duration) time.Duration {
	return time.Duration(float64(LongestGrant(maxLease)) / MinClockRate)
}

// Round is one of the rounds in which a scheduler confirms that it grants leases.
type Round struct {
	Epoch  uint64 `json:"epoch"`  // Of the scheduler; zero if there was no round.
	Number int64  `json:"number"` // Rises with each round of an epoch.
}

// isAfter reports whether a round is later than another one.
func (r Round) isAfter(other Round) bool {
	return r.Epoch > other.Epoch || r.Epoch == other.Epoch && r.Number > other.Number
}

// SilentTarget is an entry of the list of silent targets, on which no lease is granted.
type SilentTarget struct {
	ID         cyclamendyke.TargetID `json:"id"`
	Serial     int64                 `json:"serial"`        // Names this entry; a target that falls silent again gets another one.
	LeftMillis int64                 `json:"lease-left-ms"` // How long its leases can last from when the entry was first stored.
}

// Statement is what a scheduler stores about the leases that it grants.
type Statement struct {
	Round         Round
	Silent        []SilentTarget // The whole list, sorted by target.
	SilentChanged bool           // The stored list is another one, or there is none.
}
