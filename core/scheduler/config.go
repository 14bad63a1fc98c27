package scheduler

import (
	"cmp"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

// Defaults of Config.
const (
	DefaultTaskTTL           = 60 * time.Second
	DefaultClockMargin       = 2 * time.Second
	DefaultMaxJobs           = 20_000
	DefaultMaxQueue          = 1_000
	DefaultRememberJobs      = 4_000
	DefaultRememberFor       = 10 * time.Minute
	DefaultPlacementsPerTick = 2_000
	DefaultSilentGrace       = 10 * time.Second
	DefaultLeavingGrace      = 30 * time.Second
	DefaultPreemptAfter      = time.Second
	DefaultCheckpointTimeout = 3 * time.Second
	DefaultHoldAfter         = 2 * time.Second
	DefaultHoldMax           = 2 * time.Minute
	DefaultFailLimit         = 3
	DefaultWorkerBackOff     = 10 * time.Second
)

// Config sets up a Scheduler; a zero field takes its default.
type Config struct {
	Zone              cyclamendyke.ZoneName
	TaskTTL           time.Duration // Tasks end this long after the last renewal that reached their worker.
	ClockMargin       time.Duration // Added to TaskTTL for clocks that run unevenly.
	Seed              uint64        // Of the jitter in retry times.
	MaxJobs           int           // Unfinished jobs of all teams.
	MaxQueue          int           // Waiting jobs of a team on a route that sets no bound.
	RememberJobs      int           // Finished jobs whose outcome is kept.
	RememberFor       time.Duration // How long they are kept.
	PlacementsPerTick int           // Decisions in one Tick.
	SilentGrace       time.Duration // From the first failed renewal to the end of renewals.
	LeavingGrace      time.Duration // From the notice that a VM leaves to the stop of its batch work.
	PreemptAfter      time.Duration // Urgent work waits this long before it preempts.
	CheckpointTimeout time.Duration // From a checkpoint to the kill of the same task.
	HoldAfter         time.Duration // A job waits this long before room is held for it.
	HoldMax           time.Duration // Held room is given up after this time.
	FailLimit         int           // Distinct workers on which a job fails before it is given up.
	WorkerBackOff     time.Duration // The first back-off of a worker that fails everything; doubled each time.
	Policies          policy.Set
	Violated          func(name, detail string) // Called when an invariant does not hold.
}

func (c Config) withDefaults() Config {
	c.TaskTTL = cmp.Or(c.TaskTTL, DefaultTaskTTL)
	c.ClockMargin = cmp.Or(c.ClockMargin, DefaultClockMargin)
	c.MaxJobs = cmp.Or(c.MaxJobs, DefaultMaxJobs)
	c.MaxQueue = cmp.Or(c.MaxQueue, DefaultMaxQueue)
	c.RememberJobs = cmp.Or(c.RememberJobs, DefaultRememberJobs)
	c.RememberFor = cmp.Or(c.RememberFor, DefaultRememberFor)
	c.PlacementsPerTick = cmp.Or(c.PlacementsPerTick, DefaultPlacementsPerTick)
	c.SilentGrace = cmp.Or(c.SilentGrace, DefaultSilentGrace)
	c.LeavingGrace = cmp.Or(c.LeavingGrace, DefaultLeavingGrace)
	c.PreemptAfter = cmp.Or(c.PreemptAfter, DefaultPreemptAfter)
	c.CheckpointTimeout = cmp.Or(c.CheckpointTimeout, DefaultCheckpointTimeout)
	c.HoldAfter = cmp.Or(c.HoldAfter, DefaultHoldAfter)
	c.HoldMax = cmp.Or(c.HoldMax, DefaultHoldMax)
	c.FailLimit = cmp.Or(c.FailLimit, DefaultFailLimit)
	c.WorkerBackOff = cmp.Or(c.WorkerBackOff, DefaultWorkerBackOff)
	if c.Policies.Kinds == nil {
		c.Policies = policy.Standard()
	}
	if c.Violated == nil {
		c.Violated = func(string, string) {}
	}
	return c
}
