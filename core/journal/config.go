package journal

import (
	"cmp"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// Default values of Config.
const (
	DefaultLinger              = 20 * time.Millisecond
	DefaultMinCommitInterval   = 100 * time.Millisecond
	DefaultMaxCommitInterval   = 500 * time.Millisecond
	DefaultBytesPerSecond      = 200_000
	DefaultCommitTimeout       = 2 * time.Second
	DefaultRetention           = time.Hour
	DefaultMaxFinished         = 1024
	DefaultMaxPending          = 8192
	DefaultCompactionThreshold = 64
)

// Limits in records, in deletions and in bytes before compression.
const (
	maxBatchRecords = 256
	maxBatchBytes   = 400_000
	maxDeletions    = 4       // Deletions of obsolete segments after a commit, which adds at most one segment itself.
	maxRecordBytes  = 800_000 // Larger records lose their tasks' output and are refused if that is not enough.
	maxHeadBytes    = 24_000  // Before the head grows beyond this, its records move to a segment.
	maxSegmentBytes = 400_000 // Largest segment that compaction writes, unless a single record is larger.
)

// Config configures a Journal; zero fields take the defaults.
type Config struct {
	Store             cyclamendyke.Store
	Zone              cyclamendyke.ZoneName
	Linger            time.Duration // How long a record waits so that others can join its batch.
	MinCommitInterval time.Duration // Shortest pause after a commit, which limits the write rate.
	MaxCommitInterval time.Duration // Longest pause after a commit, also used after a failed one.
	// BytesPerSecond limits the write rate by a longer pause after large commits, up to MaxCommitInterval.
	BytesPerSecond      int
	CommitTimeout       time.Duration // Time limit of one commit or compaction, retries included.
	CallTimeout         time.Duration // Time limit of one call to the store.
	Retention           time.Duration // How long finished jobs are kept, so that their status can be queried.
	MaxFinished         int           // Number of finished jobs kept; the oldest are dropped.
	MaxPending          int           // Limit of jobs with a queued record; at the limit, a further job's record is refused if it has a callback.
	CompactionThreshold int           // Number of added segments that triggers a compaction.
}

func (c Config) withDefaults() Config {
	c.Linger = cmp.Or(c.Linger, DefaultLinger)
	c.MinCommitInterval = cmp.Or(c.MinCommitInterval, DefaultMinCommitInterval)
	c.MaxCommitInterval = cmp.Or(c.MaxCommitInterval, DefaultMaxCommitInterval)
	c.BytesPerSecond = cmp.Or(c.BytesPerSecond, DefaultBytesPerSecond)
	c.CommitTimeout = cmp.Or(c.CommitTimeout, DefaultCommitTimeout)
	c.CallTimeout = cmp.Or(c.CallTimeout, cas.DefaultCallTimeout)
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.MaxFinished = cmp.Or(c.MaxFinished, DefaultMaxFinished)
	c.MaxPending = cmp.Or(c.MaxPending, DefaultMaxPending)
	c.CompactionThreshold = cmp.Or(c.CompactionThreshold, DefaultCompactionThreshold)
	return c
}
