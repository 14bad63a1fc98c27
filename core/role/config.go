package role

import (
	"time"

	"cyclamendyke"
)

// Config identifies the process that a Role runs in and sets the timing of its election.
type Config struct {
	Member        cyclamendyke.MemberName
	Zone          cyclamendyke.ZoneName
	StoreLeaseTTL time.Duration     // Lifetime of the store's lease without renewal.
	SessionTTL    time.Duration     // Lifetime of a worker's session without renewal.
	TaskTTL       time.Duration     // How long a worker keeps a task after the last renewal of its session.
	Hold          time.Duration     // How long a worker may delay its answer to a renewal (long poll).
	ClockMargin   time.Duration     // Subtracted from every lease to allow for clock drift.
	InitialVMs    []cyclamendyke.VM // The zone's workers until the first call of SetVMs.
}

// The defaults for fields of Config that are zero.
const (
	DefaultStoreLeaseTTL = 4 * time.Second
	DefaultSessionTTL    = 26 * time.Second // Covers two holds, one lost renewal's timeout and its retry.
	DefaultTaskTTL       = 60 * time.Second
	DefaultHold          = 10 * time.Second
	DefaultClockMargin   = 250 * time.Millisecond
)

const (
	electInterval     = time.Second             // Between a standby's attempts to take the store's lease.
	claimInterval     = 500 * time.Millisecond  // Between rounds of claims while there is no majority.
	candidacyInterval = 2 * time.Second         // Between a standby's candidacies without the store.
	candidacyTimeout  = 1500 * time.Millisecond // How long a candidacy may take to get its majority.

	// Sessions become preemptible again when the store's lease has lasted this long without a gap.
	storeSteadyFor = 10 * time.Second

	// A new term begins when more than 1/rosterDriftDivisor of the worker list has not been in the
	// roster for rosterDriftTolerated.
	rosterDriftTolerated = 30 * time.Second
	rosterDriftDivisor   = 4

	probeSize = 3 // Workers that a candidacy claims first.
)

func (c Config) withDefaults() Config {
	c.StoreLeaseTTL = orDefault(c.StoreLeaseTTL, DefaultStoreLeaseTTL)
	c.SessionTTL = orDefault(c.SessionTTL, DefaultSessionTTL)
	c.TaskTTL = orDefault(c.TaskTTL, DefaultTaskTTL)
	c.Hold = orDefault(c.Hold, DefaultHold)
	c.ClockMargin = orDefault(c.ClockMargin, DefaultClockMargin)
	return c
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// noAuthorityTimeout is how long a term may lack authority before it is released.
//
// It is longer than the sessions of another holder, so that they can expire first.
func (c Config) noAuthorityTimeout() time.Duration {
	return c.SessionTTL + c.Hold + 2*time.Second
}
