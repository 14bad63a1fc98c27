package logline

import "time"

const (
	day     = 24 * time.Hour
	halfDay = 12 * time.Hour
)

// dayCounter dates the time stamps of one process that have no date: each is at most half a day away
// from the one before it.
type dayCounter struct {
	last time.Time
}

// date returns the time with the counted days added if it has no date of its own.
func (d *dayCounter) date(at time.Time, dated bool) time.Time {
	if dated {
		return at
	}
	if !d.last.IsZero() {
		at = at.Add(d.last.Truncate(day).Sub(at.Truncate(day)))
		switch change := at.Sub(d.last); {
		case change < -halfDay:
			at = at.Add(day)
		case change > halfDay:
			at = at.Add(-day)
		}
	}
	d.last = at
	return at
}
