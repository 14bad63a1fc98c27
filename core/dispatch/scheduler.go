package dispatch

import (
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/advice"
	"cyclamendyke/core/invariant"
)

// Config configures a Scheduler.
type Config struct {
	Epoch           uint64
	ElectedRevision cyclamendyke.Revision // Store revision at which this epoch began.
	Bounds          cyclamendyke.Bounds
	// EarlierRunsEndBy is the time by which the leases that earlier epochs granted are over on every target
	// that has not answered this epoch; tasks listed for closed targets wait longer.
	EarlierRunsEndBy time.Duration
	LogDecision      func(Decision)

	RecordViolation func(name invariant.Name, detail string) // Called for each violated invariant.
}

// Scheduler holds the state of all workflows and targets.
type Scheduler struct {
	cfg               Config
	now               time.Duration
	wall              time.Time
	fleet             *cyclamendyke.FleetConfig
	queues            map[cyclamendyke.QueueName]*cyclamendyke.Queue
	teams             map[cyclamendyke.TeamName]*team
	jobs              map[cyclamendyke.WorkflowID]*job
	targets           map[cyclamendyke.TargetID]*target
	active            activeSteps
	unreleased        map[*job]struct{} // Workflows with occurrences that are not due yet.
	planner           *advice.Planner   // Plans the members' requests for advice.
	adviceWants       []adviceWant      // Of the present pass.
	foundParts        map[cyclamendyke.QueueName]*float64
	adviceBacklog     int                                   // Steps that wait for a member to make their request.
	adviceUses        map[cyclamendyke.QueueName]*AdviceUse // Since the last TakeAdviceUse.
	adviceCalls       map[int64]AdviseCommand               // Requests for advice in flight, by their numbers.
	ended             []*job                                // Workflows whose final state is stored, until their runs have ended.
	endedJobs         map[cyclamendyke.WorkflowID]endedJob
	forgetAt          time.Duration // When endedJobs is next searched for workflows to forget.
	dirty             []*job        // Workflows whose progress must be stored.
	lastRunNumber     int64
	successorPossible bool // Another scheduler may have been elected, and may have renewed the leases of silent targets.
	superseded        bool // A target has refused a request because it knows a later epoch.
	commands          []Command
	forecasts         map[cyclamendyke.ServiceName]*forecast
	headrooms         map[cyclamendyke.ServiceName]*headroom // Computed in each pass.
	claims            []*claim
	roomIndex         roomIndex
	allowedParts      map[cyclamendyke.QueueName]*allowedPart
	usableByService   map[cyclamendyke.ServiceName][]*target // Computed in each pass.
	knownRecords      map[cyclamendyke.TargetID]*knownRecord
	knownTargetsDirty bool                           // Some of knownRecords may be dirty.
	unlistedTasks     map[cyclamendyke.TaskName]bool // Tasks that may still run, or be done, on targets that have not answered.
	earlierRunsKnown  bool                           // Runs left from earlier epochs are all listed or in unlistedTasks.
	earlierLeasesOver bool                           // EarlierRunsEndBy has come while no successor was possible.
	orphansLeft       bool                           // Stored runs of workflows that have ended are still running.
	runListDirty      bool                           // Runs have begun since the list of runs was last taken to be stored.
	runListStale      bool                           // Runs that it names have ended; that alone is no reason to store it.
	runListStoring    bool                           // A list of runs is being stored; the next one waits.
	nextRunListAt     time.Duration

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
	return &Scheduler{
		cfg:           cfg,
		queues:        map[cyclamendyke.QueueName]*cyclamendyke.Queue{},
		teams:         map[cyclamendyke.TeamName]*team{},
		jobs:          map[cyclamendyke.WorkflowID]*job{},
		endedJobs:     map[cyclamendyke.WorkflowID]endedJob{},
		targets:       map[cyclamendyke.TargetID]*target{},
		unreleased:    map[*job]struct{}{},
		planner:       advice.NewPlanner(),
		adviceUses:    map[cyclamendyke.QueueName]*AdviceUse{},
		foundParts:    map[cyclamendyke.QueueName]*float64{},
		adviceCalls:   map[int64]AdviseCommand{},
		allowedParts:  map[cyclamendyke.QueueName]*allowedPart{},
		knownRecords:  map[cyclamendyke.TargetID]*knownRecord{},
		forecasts:     map[cyclamendyke.ServiceName]*forecast{},
		headrooms:     map[cyclamendyke.ServiceName]*headroom{},
		lastRunNumber: int64(cfg.Epoch) * runsPerEpoch,
	}
}

// runsPerEpoch is the number of run numbers set aside for each epoch, so that they increase across
// takeovers without being stored.
const runsPerEpoch = 1_000_000

// Superseded reports whether a target has refused a request because it knows a later epoch.
func (s *Scheduler) Superseded() bool {
	return s.superseded
}

// team holds a team's settings and the resources of its runs.
type team struct {
	config          cyclamendyke.TeamConfig
	used            cyclamendyke.Resources
	maxUnlistedUse  cyclamendyke.Resources // Upper bound of what runs of earlier epochs use on targets that have not answered.
	shareTokens     float64                // Workflows that the team may submit now without exceeding its share.
	shareRefilledAt time.Duration
	adviceUse       advice.Load // Time that requests for its steps have taken.
}

func (s *Scheduler) team(name cyclamendyke.TeamName) *team {
	found := s.teams[name]
	if found == nil {
		found = &team{config: cyclamendyke.TeamConfig{Team: name}}
		s.teams[name] = found
	}
	return found
}

// admits reports whether the team's limit allows need in addition to its runs.
func (t *team) admits(need cyclamendyke.Resources) bool {
	after := t.used.Add(t.maxUnlistedUse).Add(need)
	limit := t.config.Limit
	return (limit.Cores == 0 || after.Cores <= limit.Cores) &&
		(limit.Memory == 0 || after.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || after.Accelerators <= limit.Accelerators)
}

// Configure applies a version of the operators' configuration, unless a newer one is in force.
func (s *Scheduler) Configure(fleet *cyclamendyke.FleetConfig) {
	if s.fleet != nil && fleet.Version < s.fleet.Version {
		return
	}
	s.fleet = fleet
	for i := range fleet.Queues {
		queue := &fleet.Queues[i]
		s.queues[queue.Name] = queue // A removed queue keeps its last settings for the workflows still in it.
	}
	s.planner.SetHasUrgent(slices.ContainsFunc(fleet.Queues, func(q cyclamendyke.Queue) bool { return q.Advice != nil && q.Priority == 0 }))
	for _, t := range s.teams {
		t.config = cyclamendyke.TeamConfig{Team: t.config.Team}
	}
	for _, config := range fleet.Teams {
		s.team(config.Team).config = config
	}
}

// Advance sets the current time, which every other method uses.
func (s *Scheduler) Advance(now time.Duration, wall time.Time) {
	s.now = max(s.now, now)
	s.wall = wall
}

// SetSuccessorPossible says whether another scheduler may have been elected. While it may, the lease of a
// target that does not answer does not count as over, since the other scheduler may have renewed it.
func (s *Scheduler) SetSuccessorPossible(possible bool) {
	s.successorPossible = possible
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
	s.indexUsable()
	s.checkTargets()
	s.resetRoomIndex()
	s.updateHeadroom()
	s.placeAll()
	s.requestAdvice()
	s.renewAll()
	commands := s.commands
	s.commands = nil
	return commands
}

// checkEarlierRuns updates earlierRunsKnown, unlistedTasks, orphansLeft and the teams' maxUnlistedUse.
func (s *Scheduler) checkEarlierRuns() {
	s.earlierLeasesOver = s.earlierLeasesOver || !s.successorPossible && s.now >= s.cfg.EarlierRunsEndBy
	if s.earlierRunsKnown && len(s.unlistedTasks) == 0 && !s.orphansLeft {
		return
	}
	knownBefore := s.earlierRunsKnown
	s.earlierRunsKnown, s.orphansLeft = true, false
	silentTargets := 0
	var unlistedCapacity cyclamendyke.Resources
	s.unlistedTasks = map[cyclamendyke.TaskName]bool{}
	for _, t := range s.targets {
		t.earlierLeaseOver = s.isEarlierLeaseOver(t)
		switch {
		case !s.mayHaveUnlistedRuns(t):
			if t.expired || len(t.orphans) == 0 {
				t.earlierRuns = nil
			}
			s.orphansLeft = s.orphansLeft || len(t.earlierRuns) > 0
		case t.unlistedTasksComplete || t.earlierLeaseOver:
			silentTargets++
			s.addUnlistedTasks(t)
		default:
			s.earlierRunsKnown = false
			unlistedCapacity = unlistedCapacity.Add(t.info.Capacity)
		}
	}
	s.updateMaxUnlistedUse(unlistedCapacity)
	if !s.earlierRunsKnown || knownBefore {
		return
	}
	s.cfg.LogDecision(Decision{
		Event: EventSettled, Count: len(s.targets),
		Reason: fmt.Sprintf("%d targets without an answer, %d tasks may still run or be done there", silentTargets, len(s.unlistedTasks)),
	})
}

// addUnlistedTasks adds the tasks that wait for a target to answer.
func (s *Scheduler) addUnlistedTasks(t *target) {
	for _, r := range t.earlierRuns {
		if !t.earlierLeaseOver || s.mayBeDone(r) {
			s.unlistedTasks[r.task] = true
		}
	}
}

// updateMaxUnlistedUse computes each team's maxUnlistedUse; unlistedCapacity is the total capacity of
// the targets on which unknown runs of earlier epochs may be left.
func (s *Scheduler) updateMaxUnlistedUse(unlistedCapacity cyclamendyke.Resources) {
	for _, t := range s.teams {
		t.maxUnlistedUse = cyclamendyke.Resources{}
	}
	for _, j := range s.jobs {
		if !s.earlierRunsKnown && j.inherited {
			t := s.team(j.spec.Team)
			t.maxUnlistedUse = t.maxUnlistedUse.Add(j.unstartedDemand())
		}
	}
	for _, t := range s.teams {
		t.maxUnlistedUse = t.maxUnlistedUse.Min(unlistedCapacity)
	}
	for _, t := range s.targets {
		for _, r := range t.earlierRuns {
			if s.countsAsUnlisted(t, r) {
				team := s.team(r.team)
				team.maxUnlistedUse = team.maxUnlistedUse.Add(r.need)
			}
		}
	}
}

// countsAsUnlisted reports whether a stored run may still use resources that are counted neither as a
// known run nor in an unstartedDemand.
func (s *Scheduler) countsAsUnlisted(t *target, r earlierRun) bool {
	switch {
	case r.ended:
		return false
	case t.listed:
		return t.hasOrphan(r.task)
	case !s.mayHaveUnlistedRuns(t) || t.earlierLeaseOver:
		return false
	case t.unlistedTasksComplete:
		return true
	}
	step := s.findStep(r.task)
	return step == nil || !step.job.inherited || step.tasks[r.task.Index].done || len(step.tasks[r.task.Index].runs) > 0
}

// unstartedDemand returns the resources of the tasks that are not done and have no known run.
func (j *job) unstartedDemand() cyclamendyke.Resources {
	var sum cyclamendyke.Resources
	for _, occ := range j.occurrences {
		for _, step := range occ.steps {
			for i := range step.tasks {
				if !step.tasks[i].done && len(step.tasks[i].runs) == 0 {
					sum = sum.Add(step.spec.Reserved())
				}
			}
		}
	}
	return sum
}

// UnstoredEnds returns the number of reported ends whose effect is not stored yet.
func (s *Scheduler) UnstoredEnds() int {
	count := 0
	for _, t := range s.targets {
		count += len(t.unstoredEnds)
	}
	return count
}
