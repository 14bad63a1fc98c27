package storepath

import (
	"math/rand/v2"
	"time"

	"cyclamendyke"
)

// The timing of attempts: short, since urgent work has little time left after a failed attempt.
const (
	hedgeFactor   = 2 // Multiple of a call's usual duration.
	minHedgeDelay = 60 * time.Millisecond
	maxHedgeDelay = 300 * time.Millisecond

	overdueFactor  = 3 // Multiple of a call's usual duration.
	minOverdue     = 150 * time.Millisecond
	brokenAfter    = 400 * time.Millisecond // A call this long overdue confirms that the path is broken.
	brokenFailures = 2                      // Failures without an answer after which the path is broken.
)

// When a write by the own path is preceded by a call without effect.
const (
	checkAfter   = 50 * time.Millisecond // The store has not answered any call for this long.
	maxCheckTime = 50 * time.Millisecond // The usual duration of a call up to which one more is worth its time.
)

// The limits on asking members.
const (
	// MaxAttempts limits the attempts of one write.
	MaxAttempts = maxOwnAttempts + maxMembersAsked

	maxOwnAttempts   = 3
	maxMembersAsked  = 4
	memberFailureFor = 500 * time.Millisecond // A member that failed is not asked again for this long.
	memberStoredFor  = 10 * time.Second       // A member that stored something counts as able to for this long.
	noMemberFor      = 300 * time.Millisecond // Mean pause after a write that no member stored.
	retrialFor       = 200 * time.Millisecond // How long one write may try the members alone after that pause.
	recheckInterval  = 25 * time.Millisecond  // How often a waiting write looks for a path that works again.
)

// Config configures Paths.
type Config struct {
	Self cyclamendyke.MemberName
	Zone cyclamendyke.ZoneName // Of this VM.
	Rand *rand.Rand
}
