package dispatch

import (
	"time"

	"cyclamendyke"
)

// runState says what is known of a run.
type runState int

// The states of a run; a run in any of them counts against its target and its team.
const (
	runStarting runState = iota
	runRunning
	runStartUnknown // The answer to its start was lost.
	runStopping
)

// run is one start of a task on a target.
type run struct {
	step           *stepRun
	taskIndex      int
	number         int64
	target         *target
	zone           cyclamendyke.ZoneName // Of its target when it was counted in its step's zoneRuns.
	state          runState
	startedAt      time.Duration // When it was ordered or adopted, or when its start became uncertain.
	starts         startOrders   // The requests to start it; empty if it was adopted.
	confirmedAt    time.Duration // When the target confirmed that it runs.
	progress       percentages
	checkpoint     string  // Last reported checkpoint, at first the one that it was started from.
	load           float64 // Last reported load: for a serving task, its tail latency in milliseconds.
	pace           int     // Last ordered percentage of full speed.
	stopSentAt     time.Duration
	stopAcceptedAt time.Duration // When the target accepted the stop; zero before.
	stopInFlight   bool          // A stop request has no answer yet.
	urgent         bool          // Its queue had priority 0 when it was ordered.
	resumed        bool          // It began from a checkpoint.
	adopted        bool          // It was started by an earlier epoch.
	startedCold    bool          // Its target was cold when it was ordered.
}

func (r *run) taskName() cyclamendyke.TaskName {
	return r.step.taskName(r.taskIndex)
}
