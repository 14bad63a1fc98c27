package advice

import (
	"math"
	"time"
)

// loadWindow is the time after which a call counts for a third in a load.
const loadWindow = 3 * time.Second

// Load is how many members some calls have kept busy lately, on average.
type Load struct {
	level float64
	at    time.Duration
}

// Add adds the time of a call.
func (l *Load) Add(now, cost time.Duration) {
	l.level = l.Mean(now) + cost.Seconds()/loadWindow.Seconds()
	l.at = now
}

// Mean returns the mean number of busy members.
func (l *Load) Mean(now time.Duration) float64 {
	return l.level * math.Exp(-(now-l.at).Seconds()/loadWindow.Seconds())
}
