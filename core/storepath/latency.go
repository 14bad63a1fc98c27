package storepath

import "time"

// The weights of a new measurement, as in Jacobson's estimator of TCP round-trip times.
const (
	meanWeight      = 8
	deviationWeight = 4
	deviations      = 4 // The usual duration is the mean and this many deviations.
)

// latency estimates the usual duration of a kind of call.
type latency struct {
	mean, deviation time.Duration
	known           bool
}

// observe adds the duration of an answered call.
func (l *latency) observe(d time.Duration) {
	if !l.known {
		l.mean, l.deviation, l.known = d, d/2, true
		return
	}
	difference := d - l.mean
	l.mean += difference / meanWeight
	l.deviation += (difference.Abs() - l.deviation) / deviationWeight
}

// usual returns a duration that few calls exceed.
func (l *latency) usual() time.Duration {
	return l.mean + deviations*l.deviation
}

// hedgeAfter returns how long a caller waits for a call before it tries another path as well. A call is
// never hedged within its usual duration, so that a slow store does not get each write twice.
func (l *latency) hedgeAfter() time.Duration {
	return min(max(hedgeFactor*l.usual(), minHedgeDelay), max(maxHedgeDelay, l.usual()))
}

// overdueAfter returns after how long a call without an answer is a sign that its path is broken.
func (l *latency) overdueAfter() time.Duration {
	return max(overdueFactor*l.usual(), minOverdue)
}
