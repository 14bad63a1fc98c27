package account

import (
	"cmp"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// The defaults of Config and the fixed bounds of the account.
const (
	DefaultFlushEvery          = 5 * time.Second
	DefaultMaxBuffered         = 10_000
	DefaultIndividualPerMinute = 500

	segmentBytes   = 64_000 // A segment that would grow past this is left, and another one started.
	maxRecordBytes = 500_000
	maxSums        = 4_096 // Sums of a minute; beyond it refusals are summed per hour, then with less detail.
)

// Config sets up a Writer; zero numbers take the defaults.
type Config struct {
	Store               cyclamendyke.Store
	Zone                cyclamendyke.ZoneName
	Member              cyclamendyke.MemberName // With Started, unique among all writers.
	Started             time.Time               // Of the process.
	FlushEvery          time.Duration           // Between two writes of a segment.
	MaxBuffered         int                     // Records that wait for the store; further ones are summed.
	IndividualPerMinute int                     // Refusals of a minute kept one by one; further ones are summed.
	CallTimeout         time.Duration           // Of one call to the store.
}

func (c Config) withDefaults() Config {
	c.FlushEvery = cmp.Or(c.FlushEvery, DefaultFlushEvery)
	c.MaxBuffered = cmp.Or(c.MaxBuffered, DefaultMaxBuffered)
	c.IndividualPerMinute = cmp.Or(c.IndividualPerMinute, DefaultIndividualPerMinute)
	c.CallTimeout = cmp.Or(c.CallTimeout, cas.DefaultCallTimeout)
	return c
}
