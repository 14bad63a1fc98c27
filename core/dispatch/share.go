package dispatch

import "time"

// shareBurstSeconds is how many seconds of its share a team may submit at once.
const shareBurstSeconds = 2.0

// takeShareToken counts a workflow accepted at a given time against its team's share, and reports
// whether it is within the share.
//
// The share is a token bucket that refills by the team's weight in workflows per second. Workflows
// within it rank before the excess of other teams, so that one team's overload does not delay the
// others.
func (t *team) takeShareToken(at time.Duration) bool {
	if t.config.Weight <= 0 {
		return true
	}
	full := shareBurstSeconds * t.config.Weight
	if t.shareRefilledAt == 0 {
		t.shareTokens, t.shareRefilledAt = full, at
	}
	t.shareTokens = min(full, t.shareTokens+t.config.Weight*max(0, at-t.shareRefilledAt).Seconds())
	t.shareRefilledAt = max(t.shareRefilledAt, at)
	if t.shareTokens < 1 {
		return false
	}
	t.shareTokens--
	return true
}
