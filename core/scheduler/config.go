package scheduler

import (
	"cmp"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

// Defaults for the fields of Config.
const (
	DefaultTaskTTL              = 60 * time.Second
	DefaultClockMargin          = 2 * time.Second
	DefaultMaxJobs              = 20_000
	DefaultMaxQueue             = 1_000
	DefaultMaxFinishedJobs      = 4_000
	DefaultFinishedJobRetention = 10 * time.Minute
	DefaultPlacementsPerTick    = 2_000
	DefaultUnreachableGrace     = 10 * time.Second
	DefaultDrainGrace           = 30 * time.Second
	DefaultPreemptionDelay      = time.Second
	DefaultCheckpointTimeout    = 3 * time.Second
	DefaultHoldDelay            = 2 * time.Second
	DefaultMaxHoldTime          = 2 * time.Minute
	DefaultMaxFailures          = 3
	DefaultInitialWorkerBackOff = 10 * time.Second
)

// Config holds the settings of a Scheduler; a zero field takes its default.
type Config struct {
	Zone                 cyclamendyke.ZoneName
	TaskTTL              time.Duration             // A task ends this long after the last renewal that reached its worker.
	ClockMargin          time.Duration             // Added to TaskTTL because clocks may run at different speeds.
	Seed                 uint64                    // Seeds the jitter in retry delays.
	MaxJobs              int                       // Limit on unfinished jobs of all teams together.
	MaxQueue             int                       // Limit on waiting jobs per team and route, for routes that set none.
	MaxFinishedJobs      int                       // Limit on finished jobs whose outcome is kept in memory.
	FinishedJobRetention time.Duration             // How long the outcome of a finished job is kept.
	PlacementsPerTick    int                       // Limit on placement attempts in one Tick.
	UnreachableGrace     time.Duration             // Time from the first failed renewal until renewals to the worker end.
	DrainGrace           time.Duration             // Time from the notice that a VM is leaving until its remaining repeatable tasks are stopped.
	PreemptionDelay      time.Duration             // An urgent job waits this long before other tasks are stopped for it.
	CheckpointTimeout    time.Duration             // Time from the stop of a task to its kill.
	HoldDelay            time.Duration             // A gang waits this long before capacity is held for it; a single task, singleTaskHoldFactor times as long.
	MaxHoldTime          time.Duration             // Held capacity is given up after this time.
	MaxFailures          int                       // Limit on the distinct workers on which a job fails, on the failures of one task or gang, and on the failures in a row on one worker.
	InitialWorkerBackOff time.Duration             // First back-off of a failing worker; it doubles each time.
	Policies             policy.Set                // The zero value stands for policy.Standard.
	OnInvariantViolation func(name, detail string) // Called when an invariant is violated.
}

func (c Config) withDefaults() Config {
	c.TaskTTL = cmp.Or(c.TaskTTL, DefaultTaskTTL)
	c.ClockMargin = cmp.Or(c.ClockMargin, DefaultClockMargin)
	c.MaxJobs = cmp.Or(c.MaxJobs, DefaultMaxJobs)
	c.MaxQueue = cmp.Or(c.MaxQueue, DefaultMaxQueue)
	c.MaxFinishedJobs = cmp.Or(c.MaxFinishedJobs, DefaultMaxFinishedJobs)
	c.FinishedJobRetention = cmp.Or(c.FinishedJobRetention, DefaultFinishedJobRetention)
	c.PlacementsPerTick = cmp.Or(c.PlacementsPerTick, DefaultPlacementsPerTick)
	c.UnreachableGrace = cmp.Or(c.UnreachableGrace, DefaultUnreachableGrace)
	c.DrainGrace = cmp.Or(c.DrainGrace, DefaultDrainGrace)
	c.PreemptionDelay = cmp.Or(c.PreemptionDelay, DefaultPreemptionDelay)
	c.CheckpointTimeout = cmp.Or(c.CheckpointTimeout, DefaultCheckpointTimeout)
	c.HoldDelay = cmp.Or(c.HoldDelay, DefaultHoldDelay)
	c.MaxHoldTime = cmp.Or(c.MaxHoldTime, DefaultMaxHoldTime)
	c.MaxFailures = cmp.Or(c.MaxFailures, DefaultMaxFailures)
	c.InitialWorkerBackOff = cmp.Or(c.InitialWorkerBackOff, DefaultInitialWorkerBackOff)
	if c.Policies.Kinds == nil {
		c.Policies = policy.Standard()
	}
	if c.OnInvariantViolation == nil {
		c.OnInvariantViolation = func(string, string) {}
	}
	return c
}
