package settings

import (
	"time"

	"cyclamendyke"
)

// Daemon is the content of a daemon's settings file.
type Daemon struct {
	Member          cyclamendyke.Member // Without Started.
	Store           []string            // IP and port of each address of the key-value service.
	VMList          string              // IP and port of the platform's list of VMs.
	Peers           []string            // IP and port of other daemons, used while the store has not been read.
	OperatorKeyHash string              // SHA-256 of the operators' key in lower-case hexadecimal.
	Log             Log
	Limits          Limits
	Scheduler       Scheduler
}

// Log says which log lines are written and how.
type Log struct {
	Level  LogLevel
	Format LogFormat
}

// LogLevel is the least level of a log line that is written.
type LogLevel string

// The levels of log lines.
const (
	LevelDebug LogLevel = "debug"
	LevelInfo  LogLevel = "info"
	LevelWarn  LogLevel = "warn"
	LevelError LogLevel = "error"
)

// LogFormat is the form of a log line.
type LogFormat string

// The forms of log lines.
const (
	FormatText   LogFormat = "text"
	FormatJSON   LogFormat = "json"
	FormatLogfmt LogFormat = "logfmt"
)

// Limits bounds what the daemon holds and how long it waits.
type Limits struct {
	RequestsInFlight     int // Callers' requests that this process works on at once; more are refused.
	WaitingJobs          int // Jobs that wait in the zone, over all teams.
	TimelineEvents       int // Events that the ring of the time line keeps.
	StoreWritesPerSecond int // Writes that this process sends to the store.
	AnswerTimeout        time.Duration
	PeerTimeout          time.Duration // Of one call to another daemon or to a worker.
	StoreTimeout         time.Duration // Of one call to the store, besides the hold of a watch.
	StopTimeout          time.Duration // Of a planned stop.
}

// Scheduler holds the durations of leases and sessions.
type Scheduler struct {
	StoreLease time.Duration // Time to live of the zone scheduler's lease in the store.
	SessionTTL time.Duration // Time to live of a worker's session.
	TaskTTL    time.Duration // How long tasks outlive the last renewal of their worker's session.
	Hold       time.Duration // How long a renewal waits at the worker for something to report.
}
