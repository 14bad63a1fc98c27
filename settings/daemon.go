package settings

import (
	"time"

	"cyclamendyke"
)

// Daemon holds the contents of a daemon's settings file.
type Daemon struct {
	Member          cyclamendyke.Member // Started is left zero.
	Store           []string            // IP and port of each address of the key-value store.
	VMList          string              // IP and port of the platform's VM list service.
	Peers           []string            // IP and port of other daemons, used until the store has been read.
	OperatorKeyHash string              // SHA-256 of the operators' key in lower-case hexadecimal.
	Log             Log
	Limits          Limits
	Scheduler       Scheduler
}

// Log sets the level and format of log lines.
type Log struct {
	Level  LogLevel
	Format LogFormat
}

// LogLevel is the lowest level of log lines that are written.
type LogLevel string

// The log levels.
const (
	LevelDebug LogLevel = "debug"
	LevelInfo  LogLevel = "info"
	LevelWarn  LogLevel = "warn"
	LevelError LogLevel = "error"
)

// LogFormat is the format of log lines.
type LogFormat string

// The log formats.
const (
	FormatText   LogFormat = "text"
	FormatJSON   LogFormat = "json"
	FormatLogfmt LogFormat = "logfmt"
)

// Limits sets the daemon's capacity limits and timeouts.
type Limits struct {
	RequestsInFlight     int           // Maximum number of callers' requests in progress; further ones are refused.
	WaitingJobs          int           // Maximum number of waiting jobs in the zone, over all teams.
	TimelineEvents       int           // Events kept in the timeline's ring buffer.
	StoreWritesPerSecond int           // Rate limit on this process's writes to the store.
	AnswerTimeout        time.Duration // Limits how long a caller waits for an outcome.
	PeerTimeout          time.Duration // Limits one call to another daemon or to a worker.
	StoreTimeout         time.Duration // Limits one call to the store; a watch adds its hold time.
	StopTimeout          time.Duration // Limits how long a planned stop waits for requests in progress.
}

// Scheduler holds the durations of leases and sessions.
type Scheduler struct {
	StoreLease time.Duration // TTL of the zone scheduler's lease in the store.
	SessionTTL time.Duration // TTL of a worker's session.
	TaskTTL    time.Duration // How long tasks keep running after the last renewal of their worker's session.
	Hold       time.Duration // How long a renewal waits at the worker for something to report.
}
