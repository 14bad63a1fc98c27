package dispatch

import (
	"time"

	"cyclamendyke"
)

// Config configures a Scheduler.
type Config struct {
	Epoch    uint64
	Elected  cyclamendyke.Revision // The store's revision at which this epoch began.
	Bounds   cyclamendyke.Bounds
	Settled  time.Duration // When everything is over that an earlier epoch left on targets that never answered this one.
	Decision func(Decision)
}

// Scheduler holds the state of all workflows and targets.
type Scheduler struct {
	cfg          Config
	now          time.Duration
	wall         time.Time
	fleet        *cyclamendyke.FleetConfig
	queues       map[cyclamendyke.QueueName]*cyclamendyke.Queue
	teams        map[cyclamendyke.TeamName]*team
	jobs         map[cyclamendyke.WorkflowID]*job
	targets      map[cyclamendyke.TargetID]*target
	active       activeSteps
	timed        map[*job]struct{} // Workflows with occurrences to come.
	advisers     map[cyclamendyke.MemberName]*adviser
	adviserNames []cyclamendyke.MemberName // In order.
	dirty        []*job
	lastRun      int64
	deposed      bool
	commands     []Command
	ready        map[cyclamendyke.ServiceName][]*target // The usable targets of each service, as of this pass.
	targetSet    int                                    // Changes with what Known returns.
	shadowed     map[cyclamendyke.TaskName]bool         // Tasks that may run on closed targets that were not listed yet.
	settled      bool                                   // Nothing of earlier epochs can be running unseen.
}

// New returns a scheduler without workflows and targets.
func New(cfg Config) *Scheduler {
	if cfg.Decision == nil {
		cfg.Decision = func(Decision) {}
	}
	return &Scheduler{
		cfg:      cfg,
		queues:   map[cyclamendyke.QueueName]*cyclamendyke.Queue{},
		teams:    map[cyclamendyke.TeamName]*team{},
		jobs:     map[cyclamendyke.WorkflowID]*job{},
		targets:  map[cyclamendyke.TargetID]*target{},
		timed:    map[*job]struct{}{},
		advisers: map[cyclamendyke.MemberName]*adviser{},
		lastRun:  int64(cfg.Epoch) * runsPerEpoch,
	}
}

// runsPerEpoch separates the run numbers of epochs, so that they rise over takeovers without being stored.
const runsPerEpoch = 1_000_000

// Deposed reports whether a target has refused an order for the fence of a later epoch.
func (s *Scheduler) Deposed() bool {
	return s.deposed
}

// team is what a team has running and may have.
type team struct {
	terms   cyclamendyke.Tenancy
	running cyclamendyke.Resources
	hidden  cyclamendyke.Resources // The most that an earlier epoch may have left running unseen.
	share   float64                // Workflows that it may send now without going beyond its share,
	shareAt time.Duration          // as of this moment.
}

func (s *Scheduler) team(name cyclamendyke.TeamName) *team {
	found := s.teams[name]
	if found == nil {
		found = &team{terms: cyclamendyke.Tenancy{Team: name}}
		s.teams[name] = found
	}
	return found
}

// admits reports whether the team may have need more running.
func (t *team) admits(need cyclamendyke.Resources) bool {
	after := t.running.Add(t.hidden).Add(need)
	limit := t.terms.Limit
	return (limit.Cores == 0 || after.Cores <= limit.Cores) &&
		(limit.Memory == 0 || after.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || after.Accelerators <= limit.Accelerators)
}

// Configure puts a version of the operators' configuration in force.
func (s *Scheduler) Configure(fleet *cyclamendyke.FleetConfig) {
	s.fleet = fleet
	for i := range fleet.Queues {
		queue := &fleet.Queues[i]
		s.queues[queue.Name] = queue // A queue that was removed keeps its last terms for the workflows that it has.
	}
	for _, t := range s.teams {
		t.terms = cyclamendyke.Tenancy{Team: t.terms.Team}
	}
	for _, terms := range fleet.Teams {
		s.team(terms.Team).terms = terms
	}
}

// Advance sets the time; every other call speaks of this moment.
func (s *Scheduler) Advance(now time.Duration, wall time.Time) {
	s.now = max(s.now, now)
	s.wall = wall
}

func (s *Scheduler) emit(command Command) {
	s.commands = append(s.commands, command)
}

// Run returns what is to be done now.
func (s *Scheduler) Run() []Command {
	s.settle()
	s.releaseDue()
	s.listUsable()
	s.checkTargets()
	s.placeAll()
	s.renewAll()
	commands := s.commands
	s.commands = nil
	return commands
}

// settle notes the moment from which nothing of earlier epochs can run unseen, but for tasks that are known by name.
func (s *Scheduler) settle() {
	if s.settled && len(s.shadowed) == 0 {
		return
	}
	before := s.settled
	s.settled = true
	var unseen cyclamendyke.Resources
	s.shadowed = map[cyclamendyke.TaskName]bool{}
	for _, t := range s.targets {
		switch {
		case !s.unseen(t):
		case t.bounded:
			for _, name := range t.shadows {
				s.shadowed[name] = true
			}
		default:
			s.settled = false
			unseen = unseen.Add(t.info.Capacity)
		}
	}
	s.countHidden(unseen)
	if !s.settled || before {
		return
	}
	s.cfg.Decision(Decision{Event: EventSettled, Count: len(s.targets)})
}

// countHidden works out what of each team may be running on targets of the given capacity that were not listed yet.
func (s *Scheduler) countHidden(unseen cyclamendyke.Resources) {
	for _, t := range s.teams {
		t.hidden = cyclamendyke.Resources{}
	}
	for _, j := range s.jobs {
		if !s.settled && j.inherited && !j.state.IsFinal() {
			t := s.team(j.spec.Team)
			t.hidden = t.hidden.Add(j.mayRun())
		}
	}
	for _, t := range s.teams {
		t.hidden = t.hidden.Min(unseen)
	}
	for name := range s.shadowed {
		if step := s.find(name); step != nil {
			t := s.team(step.job.spec.Team)
			t.hidden = t.hidden.Add(step.spec.Reserved())
		}
	}
}

// mayRun returns what the workflow's tasks would take that are neither done nor known to run.
func (j *job) mayRun() cyclamendyke.Resources {
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
