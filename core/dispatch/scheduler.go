package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/advice"
	"cyclamendyke/core/forecast"
	"cyclamendyke/core/invariant"
	"cyclamendyke/core/lease"
	"cyclamendyke/core/reserve"
)

// Config configures a Scheduler.
type Config struct {
	Epoch           uint64
	ElectedRevision cyclamendyke.Revision // Store revision at which this epoch began.
	ClaimedAt       time.Duration         // When the claim that began it was sent.
	Bounds          cyclamendyke.Bounds
	// EarlierRunsEndBy is the time by which the leases that earlier epochs granted are over on every target
	// that has not answered this epoch, unless it is known to be sooner. Tasks that may be done there wait longer.
	EarlierRunsEndBy time.Duration
	LogDecision      func(Decision)
	PassTime         func() time.Duration // How long the present pass has taken so far; nil if passes are not bounded by time.

	RecordViolation func(name invariant.Name, detail string) // Called for each violated invariant.
}

// Scheduler holds the state of all workflows and targets.
type Scheduler struct {
	cfg                Config
	now                time.Duration
	wall               time.Time
	fleet              *cyclamendyke.FleetConfig
	queues             map[cyclamendyke.QueueName]*cyclamendyke.Queue
	learntQueues       map[cyclamendyke.QueueName]time.Time // Queues that only a workflow names, with when it was accepted.
	teams              map[cyclamendyke.TeamName]*team
	jobs               map[cyclamendyke.WorkflowID]*job
	targets            map[cyclamendyke.TargetID]*target
	unknownTargets     map[cyclamendyke.TargetID]cyclamendyke.Target // Described targets of services that the configuration does not name.
	active             activeSteps
	unreleased         map[*job]struct{}                     // Workflows with occurrences that are not released yet.
	unreleasedSteps    map[*occurrence]struct{}              // Occurrences with steps that are ready and not released for want of room.
	heldBytes          int64                                 // Estimated memory of all workflows beside their open occurrences.
	openBytes          int                                   // Estimated memory of all open occurrences.
	planner            *advice.Planner                       // Plans the members' requests for advice.
	adviceWants        []adviceWant                          // Of the present pass.
	foundParts         map[cyclamendyke.QueueName]*float64   // Part of the expected room that steps find.
	adviceBacklog      int                                   // Steps that wait for a member to make their request.
	adviceUses         map[cyclamendyke.QueueName]*AdviceUse // Since the last TakeAdviceUse.
	adviceCalls        map[int64]AdviseCommand               // Requests for advice in flight, by their numbers.
	ended              []*job                                // Workflows whose final state is stored, until their runs have ended.
	endedJobs          map[cyclamendyke.WorkflowID]endedJob
	forgetAt           time.Duration // When endedJobs is next searched for workflows to forget.
	dirty              []*job        // Workflows whose progress must be stored.
	lastRunNumber      int64
	leases             *lease.Ledger
	leasesStated       bool                                    // This epoch has taken a statement about its leases.
	leasesHeldAt       time.Duration                           // When the ledger last learnt which leases may be renewed beside this goroutine; zero if there is another one since.
	renewedAt          time.Duration                           // When Renew was last called.
	attentiveFrom      time.Duration                           // From when silence and the times of ends count as the targets' own, after a time in which none was asked.
	lastListedAt       time.Duration                           // When a target last answered this epoch for the first time; before that, when the first one was added.
	silentLeaseEnds    map[cyclamendyke.TargetID]time.Duration // When leases of earlier epochs are over on targets that were silent for them.
	successorPossible  bool                                    // Another scheduler may have been elected, and may have renewed the leases of silent targets.
	superseded         bool                                    // A target has refused a request because it knows a later epoch.
	startRepeatTokens  float64                                 // How many start orders may be repeated.
	commands           []Command
	forecasts          map[cyclamendyke.ServiceName]*forecast.Forecast
	estimateErrors     map[cyclamendyke.QueueName]*forecast.EstimateError
	lagsIgnored        map[cyclamendyke.ServiceName]bool      // So many targets seem to lag that the estimates are wrong; computed in each pass.
	headrooms          map[cyclamendyke.ServiceName]*headroom // Computed in each pass.
	claims             []*claim
	lines              map[cyclamendyke.ServiceName]*reserve.Line[*stepRun] // Who may reserve room.
	usedShares         map[cyclamendyke.ServiceName]float64                 // Computed in each pass.
	resumeAt           *stepRun                                             // The first step that the last pass did not reach; nil if it has reached all.
	passStarts         int                                                  // Requests to start a run in the present pass.
	roomIndex          roomIndex
	allowedParts       map[cyclamendyke.QueueName]*allowedPart // Part of the targets that advice allows.
	usableByService    map[cyclamendyke.ServiceName][]*target  // Computed in each pass.
	knownRecords       map[cyclamendyke.TargetID]*knownRecord
	knownTargetsDirty  bool                           // Some of knownRecords may be dirty.
	unlistedTasks      map[cyclamendyke.TaskName]bool // Tasks that may still run, or be done, on targets that have not answered.
	earlierRunsKnown   bool                           // Runs left from earlier epochs, and their ends, are all reported by their targets or in unlistedTasks.
	earlierRunsKnownAt time.Duration                  // When earlierRunsKnown is expected at the latest.
	unlistedRunsEnded  bool                           // Runs left from earlier epochs are; there may be more ends.
	earlierLeasesOver  bool                           // EarlierRunsEndBy has come while no successor was possible.
	silences           []silence                      // Targets that do not answer, or ended so.
	unexplainedCrashes map[string]unexplainedCrash    // By address: the last crash of a machine.
	droppedTargets     map[string]*target             // By address: targets that were dropped in silence, with runs.
	orphansLeft        bool                           // Stored runs of workflows that have ended are still running.
	runListDirty       bool                           // Runs have begun since the list of runs was last taken to be stored.
	runListStale       bool                           // Runs that it names have ended; that alone is no reason to store it.
	runListStoring     bool                           // A list of runs is being stored; the next one waits.
	nextRunListAt      time.Duration

	targetsAsOf     time.Duration                     // When the descriptions of targets were last known to be complete.
	capacitiesStale bool                              // That was too long ago to trust capacities.
	staleServices   map[cyclamendyke.ServiceName]bool // Those in which nothing is started for that; computed in each pass.

	evacuatedZones     map[cyclamendyke.ZoneName]bool
	startsHeld         bool                                   // Nothing may be started anywhere.
	evacuatedByService map[cyclamendyke.ServiceName][]*target // Targets that only an evacuation makes unusable; computed in each pass.
}

// New returns a scheduler without workflows and targets.
func New(cfg Config) *Scheduler {
	if cfg.LogDecision == nil {
		cfg.LogDecision = func(Decision) {}
	}
	if cfg.RecordViolation == nil {
		cfg.RecordViolation = func(invariant.Name, string) {}
	}
	s := &Scheduler{
		cfg:                cfg,
		silentLeaseEnds:    map[cyclamendyke.TargetID]time.Duration{},
		queues:             map[cyclamendyke.QueueName]*cyclamendyke.Queue{},
		learntQueues:       map[cyclamendyke.QueueName]time.Time{},
		teams:              map[cyclamendyke.TeamName]*team{},
		jobs:               map[cyclamendyke.WorkflowID]*job{},
		endedJobs:          map[cyclamendyke.WorkflowID]endedJob{},
		targets:            map[cyclamendyke.TargetID]*target{},
		unknownTargets:     map[cyclamendyke.TargetID]cyclamendyke.Target{},
		unreleased:         map[*job]struct{}{},
		unreleasedSteps:    map[*occurrence]struct{}{},
		planner:            advice.NewPlanner(),
		adviceUses:         map[cyclamendyke.QueueName]*AdviceUse{},
		foundParts:         map[cyclamendyke.QueueName]*float64{},
		adviceCalls:        map[int64]AdviseCommand{},
		allowedParts:       map[cyclamendyke.QueueName]*allowedPart{},
		unexplainedCrashes: map[string]unexplainedCrash{},
		droppedTargets:     map[string]*target{},
		knownRecords:       map[cyclamendyke.TargetID]*knownRecord{},
		forecasts:          map[cyclamendyke.ServiceName]*forecast.Forecast{},
		lines:              map[cyclamendyke.ServiceName]*reserve.Line[*stepRun]{},
		usedShares:         map[cyclamendyke.ServiceName]float64{},
		headrooms:          map[cyclamendyke.ServiceName]*headroom{},
		lastRunNumber:      int64(cfg.Epoch) * runsPerEpoch,
		startRepeatTokens:  startRepeatBurst,
		estimateErrors:     map[cyclamendyke.QueueName]*forecast.EstimateError{},
	}
	s.leases = s.newLedger(nil)
	return s
}

// runsPerEpoch is the number of run numbers set aside for each epoch, so that they increase across
// takeovers without being stored.
const runsPerEpoch = 1_000_000

// Superseded reports whether a target has refused a request because it knows a later epoch.
func (s *Scheduler) Superseded() bool {
	return s.superseded
}

// Configure applies a version of the operators' configuration, unless a newer one is in force.
func (s *Scheduler) Configure(fleet *cyclamendyke.FleetConfig) {
	if s.fleet != nil && fleet.Version < s.fleet.Version {
		return
	}
	s.fleet = fleet
	for i := range fleet.Queues {
		queue := &fleet.Queues[i]
		delete(s.learntQueues, queue.Name)
		s.queues[queue.Name] = queue // A removed queue keeps its last settings for the workflows still in it.
	}
	s.planner.SetHasUrgent(slices.ContainsFunc(fleet.Queues, func(q cyclamendyke.Queue) bool { return q.Advice != nil && q.Priority == 0 }))
	for _, t := range s.teams {
		t.config = cyclamendyke.TeamConfig{Team: t.config.Team}
	}
	for _, config := range fleet.Teams {
		s.team(config.Team).config = config
	}
	s.addTargetsOfNewServices()
}

// Advance sets the current time, which every other method uses.
func (s *Scheduler) Advance(now time.Duration, wall time.Time) {
	s.now = max(s.now, now)
	s.wall = wall
	if s.renewedAt != 0 && s.now >= s.renewedAt+renewWait {
		s.attentiveFrom = s.now + silenceTime
	}
	s.takeKept()
}

func (s *Scheduler) emit(command Command) {
	s.commands = append(s.commands, command)
}

// Run makes one scheduling pass and returns the commands to carry out.
func (s *Scheduler) Run() []Command {
	s.forgetEnded()
	s.dropOverdue()
	s.checkEarlierRuns()
	s.releaseDue()
	s.updateAvoided()
	s.updateStaleServices()
	s.indexUsable()
	s.checkTargets()
	s.updateSilent()
	s.checkTrials()
	s.updateLagging()
	s.resetRoomIndex()
	clear(s.usedShares)
	s.updateHeadroom()
	s.placeAll()
	s.requestAdvice()
	s.renewAll()
	commands := s.commands
	s.commands = nil
	return commands
}

// UnstoredEnds returns the number of reported ends whose effect is not stored yet.
func (s *Scheduler) UnstoredEnds() int {
	count := 0
	for _, t := range s.targets {
		count += len(t.unstoredEnds)
	}
	return count
}
