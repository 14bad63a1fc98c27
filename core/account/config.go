package account

import (
	"cmp"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// Default values of Config and fixed limits.
const (
	DefaultFlushInterval          = 5 * time.Second
	DefaultMaxBuffered            = 10_000
	DefaultMaxIndividualPerMinute = 500

	maxSegmentBytes = 64_000  // Before a segment grows beyond this, the next one is started.
	maxRecordBytes  = 500_000 // Larger records are aggregated.

	closeRetryInterval = time.Second // Between two flushes of a closing writer, unless FlushInterval is shorter.

	// maxAggregates is the number of aggregates from which on new ones are per hour instead of per minute.
	// From twice this number on they are per day and without route, from three times also without team.
	maxAggregates = 4_096
)

// Config configures a Writer; zero numbers take the defaults.
type Config struct {
	Store                  cyclamendyke.Store
	Zone                   cyclamendyke.ZoneName
	Member                 cyclamendyke.MemberName // Together with Started, unique among all writers.
	Started                time.Time               // Start time of the process.
	FlushInterval          time.Duration           // Interval between two flushes.
	MaxBuffered            int                     // Limit of buffered records, for refusals half of it; further ones are aggregated.
	MaxIndividualPerMinute int                     // Limit of refusals per minute recorded one by one; further ones are aggregated.
	CallTimeout            time.Duration           // Time limit of one call to the store.
}

func (c Config) withDefaults() Config {
	c.FlushInterval = cmp.Or(c.FlushInterval, DefaultFlushInterval)
	c.MaxBuffered = cmp.Or(c.MaxBuffered, DefaultMaxBuffered)
	c.MaxIndividualPerMinute = cmp.Or(c.MaxIndividualPerMinute, DefaultMaxIndividualPerMinute)
	c.CallTimeout = cmp.Or(c.CallTimeout, cas.DefaultCallTimeout)
	return c
}
