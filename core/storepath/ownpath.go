package storepath

import (
	"slices"
	"time"
)

// State is what is known of this VM's own path to the store.
type State string

// The states of the own path.
const (
	Good    State = "good"
	Suspect State = "suspect" // There is one sign that it is broken; it is used only if there is no other path.
	Broken  State = "broken"  // It is used only by probes.
)

// CallID identifies a call to the store that has not ended.
type CallID uint64

// ownCall is a call to the store that has not ended.
type ownCall struct {
	id   CallID
	sent time.Duration
}

// ownPath is a circuit breaker for this VM's own calls to the store. Signs of trouble count until a call
// that was sent after them is answered.
type ownPath struct {
	latency      latency
	lastID       CallID
	inFlight     []ownCall     // In the order in which they were sent.
	lastAnswered time.Duration // When the latest of the answered calls was sent.
	answeredAt   time.Duration // When the last answer arrived.
	lastFailed   time.Duration // When the latest of the failed calls was sent.
	failures     int           // Failed calls since.
}

func (o *ownPath) begin(now time.Duration) CallID {
	o.lastID++
	o.inFlight = append(o.inFlight, ownCall{o.lastID, now})
	return o.lastID
}

func (o *ownPath) end(now time.Duration, id CallID, outcome Outcome) {
	i := slices.IndexFunc(o.inFlight, func(c ownCall) bool { return c.id == id })
	if i < 0 {
		return
	}
	sent := o.inFlight[i].sent
	o.inFlight = slices.Delete(o.inFlight, i, i+1)
	if outcome == Answered {
		o.latency.observe(now - sent)
		o.answeredAt = now
	}
	o.record(sent, outcome)
}

// record evaluates the outcome of a call that was sent at the given time.
func (o *ownPath) record(sent time.Duration, outcome Outcome) {
	switch outcome {
	case Abandoned:
	case Answered:
		o.lastAnswered = max(o.lastAnswered, sent)
		if sent > o.lastFailed {
			o.failures = 0
		}
	default:
		if sent >= o.lastAnswered {
			o.failures++
			o.lastFailed = max(o.lastFailed, sent)
		}
	}
}

func (o *ownPath) state(now time.Duration) State {
	waited := o.longestWait(now)
	overdue := o.latency.overdueAfter()
	switch {
	case o.failures >= brokenFailures, waited > max(brokenAfter, overdue):
		return Broken
	case o.failures > 0, waited > overdue:
		return Suspect
	}
	return Good
}

// longestWait returns how long the oldest call without an answer has been waiting, except for calls before
// one that was answered: only their own answers were lost.
func (o *ownPath) longestWait(now time.Duration) time.Duration {
	for _, call := range o.inFlight {
		if call.sent > o.lastAnswered {
			return now - call.sent
		}
	}
	return 0
}
