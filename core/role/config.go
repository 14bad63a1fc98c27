package role

import (
	"time"

	"cyclamendyke"
)

// Config holds the identity and the timing of a role.
type Config struct {
	Member        cyclamendyke.MemberName
	Zone          cyclamendyke.ZoneName
	StoreLeaseTTL time.Duration // Of the store's lease on the role.
	SessionTTL    time.Duration // Of a worker's session.
	TaskTTL       time.Duration // Of a task after the last renewal of its worker.
	Hold          time.Duration // How long a renewal may wait at a worker.
	ClockMargin   time.Duration // Taken off every lease for the drift between two clocks.
	InitialVMs    []cyclamendyke.VM
}

// The timing used for fields of Config that are zero.
const (
	DefaultStoreLeaseTTL = 4 * time.Second
	DefaultSessionTTL    = 26 * time.Second // Two holds, the timeout of a lost renewal and its retry.
	DefaultTaskTTL       = 60 * time.Second
	DefaultHold          = 10 * time.Second
	DefaultClockMargin   = 250 * time.Millisecond
)

const (
	electInterval       = time.Second            // Between a standby's tries for the store's lease.
	claimInterval       = 500 * time.Millisecond // Between claims of workers while a majority is lacking.
	candidateInterval   = 2 * time.Second        // Between a standby's tries without the store.
	candidateWindow     = 1500 * time.Millisecond
	storeSteadyFor      = 10 * time.Second // How long the store answers before sessions become preemptible again.
	rosterSteadyFor     = 30 * time.Second // How long the list of workers differs before a new term is begun for it.
	rosterDriftFraction = 4                // A new term is begun when one in so many workers is not in the roster.
	probeSize           = 3                // Workers asked first by a standby without the store.
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

// giveUpAfter is how long a term may lack its majority before it is released: longer than another holder's sessions last.
func (c Config) giveUpAfter() time.Duration {
	return c.SessionTTL + c.Hold + 2*time.Second
}
