package storepath

import "time"

// When callers should come back. Half of the mean is added or taken off at random, so that callers who were
// refused together do not come back together.
const (
	retryElsewhere = 200 * time.Millisecond // Only this VM is without the store; a retry reaches another VM.
	minRetryAfter  = time.Second
	maxRetryAfter  = 3 * time.Second
)

// RetryAfter returns when a refused caller should come back: soon if other VMs are likely to have the
// store, else the later the longer the store has been away.
func (p *Paths) RetryAfter(now time.Duration) time.Duration {
	mean := min(max(now-p.stateSince, minRetryAfter), maxRetryAfter)
	if p.State(now) == Good {
		mean = minRetryAfter
	}
	if p.isAlone(now) {
		mean = retryElsewhere
	}
	return p.spread(mean)
}

// spread returns a random duration around mean.
func (p *Paths) spread(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(p.cfg.Rand.Int64N(int64(mean)))
}

// isAlone reports whether only this VM seems to be without the store: a member stored something lately, or
// no member can be reached, so that this VM is cut off.
func (p *Paths) isAlone(now time.Duration) bool {
	if p.hasStoringMember(now) {
		return true
	}
	failed, unreachable := 0, 0
	for _, h := range p.members {
		if h.failedAt > h.storedAt && now-h.failedAt < memberStoredFor {
			failed++
			if h.isUnreachable {
				unreachable++
			}
		}
	}
	return failed > 0 && unreachable == failed
}
