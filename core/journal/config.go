package journal

import (
	"cmp"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// The defaults of Config.
const (
	DefaultLinger         = 20 * time.Millisecond
	DefaultInterval       = 100 * time.Millisecond
	DefaultMaxInterval    = 500 * time.Millisecond
	DefaultBytesPerSecond = 200_000
	DefaultPatience       = 2 * time.Second
	DefaultRetention      = time.Hour
	DefaultMaxFinished    = 1024
	DefaultMaxPending     = 8192
	DefaultMaxSegments    = 64
)

// The bounds of one journal, in records and in bytes before compression.
const (
	maxBatchRecords = 256
	maxBatchBytes   = 400_000
	maxRecordBytes  = 800_000 // A larger record is refused.
	headBytes       = 24_000  // A head that would grow past this is sealed into a segment first.
	segmentBytes    = 400_000 // What compaction puts into one segment.
)

// Config sets up a Journal; zero fields take the defaults.
type Config struct {
	Store       cyclamendyke.Store
	Zone        cyclamendyke.ZoneName
	Linger      time.Duration // How long a record may wait for others to share its write.
	Interval    time.Duration // Least time between two writes of the head, which bounds the write rate.
	MaxInterval time.Duration // Longest time between two writes while records wait.
	// BytesPerSecond stretches the interval after large writes, up to MaxInterval.
	BytesPerSecond int
	Patience       time.Duration // How long a record with a waiting caller is tried.
	CallTimeout    time.Duration // Of one call to the store.
	Retention      time.Duration // How long a finished job is kept for its status.
	MaxFinished    int           // Finished jobs kept, the latest first.
	MaxPending     int           // Jobs waiting to be written; beyond it records are refused.
	MaxSegments    int           // Segments added since the last compaction that bring about the next one.
}

func (c Config) withDefaults() Config {
	c.Linger = cmp.Or(c.Linger, DefaultLinger)
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.MaxInterval = cmp.Or(c.MaxInterval, DefaultMaxInterval)
	c.BytesPerSecond = cmp.Or(c.BytesPerSecond, DefaultBytesPerSecond)
	c.Patience = cmp.Or(c.Patience, DefaultPatience)
	c.CallTimeout = cmp.Or(c.CallTimeout, cas.DefaultCallTimeout)
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.MaxFinished = cmp.Or(c.MaxFinished, DefaultMaxFinished)
	c.MaxPending = cmp.Or(c.MaxPending, DefaultMaxPending)
	c.MaxSegments = cmp.Or(c.MaxSegments, DefaultMaxSegments)
	return c
}
