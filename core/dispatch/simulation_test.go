package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/invariant"
	"cyclamendyke/core/lease"
	"cyclamendyke/core/progress"
)

const (
	simLatency       = time.Millisecond // One way.
	simTick          = 50 * time.Millisecond
	simPassDelay     = 4 * time.Millisecond   // Between an answer and the pass that follows it.
	simSlowest       = 900 * time.Millisecond // One way, for a slow message.
	simAnswerTimeout = 600 * time.Millisecond // After which a sender gives up.
	simStopTime      = 100 * time.Millisecond
	simAdviceTimeout = 3 * time.Second // After which a member gives up a request for advice.
)

// simFaults holds the probabilities of the faults that are injected.
type simFaults struct {
	loseAnswer float64 // A request is carried out but not answered.
	delay      float64 // A request is carried out 2 to 12 s later and not answered.
	failRun    float64 // A run fails.
	refuse     float64 // A target that is not well refuses an order and does nothing.
	slow       float64 // A message takes up to simSlowest on its way, so that later ones overtake it.
}

// simulation simulates targets, store, advice service and time for a scheduler, and checks its
// invariants as the targets see them.
type simulation struct {
	t              testing.TB
	random         *rand.Rand
	faults         simFaults
	now            time.Duration
	events         eventQueue
	sequence       int
	sched          *Scheduler
	epoch          uint64
	revision       cyclamendyke.Revision
	fleet          *cyclamendyke.FleetConfig
	workflows      map[cyclamendyke.WorkflowID]storedWorkflow
	progress       map[cyclamendyke.WorkflowID]storedProgress
	finals         map[cyclamendyke.WorkflowID]progress.Final
	vms            map[cyclamendyke.TargetID]*vm
	history        map[cyclamendyke.TaskName]*taskHistory
	teamUsed       map[cyclamendyke.TeamName]cyclamendyke.Resources
	starts         int
	stops          int
	adviceRequests int
	adviceTime     time.Duration // Time that the advice service took for all requests.
	adviceTimeouts int           // Requests that members gave up.
	violations     []string
	passes         int
	passDue        bool // A pass is scheduled.
	noPasses       bool // No pass is made.
	stalls         simStalls
	passTime       time.Duration // Real time spent in all passes.

	logDecision     func(Decision) // Called for each decision of schedulers elected from now on; may be nil.
	maxCapacityAge  time.Duration  // How long a capacity may be used without being confirmed; zero if there is no limit.
	ordersOutlive   bool           // Late orders reach the next incarnation of their VM; otherwise they are lost with theirs.
	describeDelay   time.Duration  // How late the descriptions of VMs that boot arrive at most.
	stopTime        time.Duration
	maxLease        time.Duration
	checkpointEvery time.Duration                                  // Work between two checkpoints; zero for one only at a stop.
	restoreTime     time.Duration                                  // Time to resume from a checkpoint.
	runTime         func(cyclamendyke.TaskName, *vm) time.Duration // How long a whole run of a task takes on a VM.
	crashing        crashingTasks
	fails           func(cyclamendyke.TaskName) bool  // Whether a run that begins now fails at its end.
	saved           map[cyclamendyke.TaskName]float64 // Part of each task's work that is in its checkpoint.
	wasted          float64                           // Core-seconds of work that was lost.
	gangs           map[gangKey]*gangRun
	badTickets      int // Starts rejected since their ticket had expired.

	members         int                                       // Number of members that request advice.
	ticketTTL       time.Duration                             // How long tickets are valid.
	adviceBusyUntil map[cyclamendyke.MemberName]time.Duration // When each member's requests are all answered.
	silentAdvisers  map[cyclamendyke.MemberName]bool          // Members whose requests are not answered.
	commitsInFlight int                                       // Batches that are being written to the store.
	batchEntries    int                                       // Most entries of a batch.
	writeDelay      func() time.Duration                      // How long the store takes for the next batch.
	storeBackAt     time.Duration                             // The store writes nothing before this time.
	evacuations     simEvacuations
	leases          simLeases
	heldBack        map[cyclamendyke.ZoneName]bool // Zones in which members hold all starts back.
	storedTargets   map[cyclamendyke.TargetID]storedTarget
	storedRuns      []byte                                                  // The list of runs.
	asksLast        bool                                                    // A new epoch asks the last scheduler for its final list.
	askDelay        time.Duration                                           // How long the last scheduler goes on at most, and how long its answer takes.
	listedEnds      int                                                     // Ends at which a VM cuts its listing; zero if it never does.
	goingOn         map[*Scheduler]bool                                     // Last schedulers that go on without the store until they are asked.
	batches         int                                                     // Batches written to the store.
	paces           map[cyclamendyke.WorkflowID]int                         // The last pace ordered for each workflow's tasks.
	servingLatency  float64                                                 // Tail latency of all serving tasks, in milliseconds.
	adviceAllows    func(cyclamendyke.StepName, cyclamendyke.TargetID) bool // Whether advice allows a step on a target.
}

// taskHistory is what has happened to a task on all VMs.
type taskHistory struct {
	running       int
	doneAcked     bool // A successful end was acknowledged.
	done          bool
	doneRuns      map[int64]bool // Runs that were done, and whether another run started after each.
	failuresAcked int            // Number of acknowledged failures.
	crashes       int            // VMs that crashed under it because of it.
	startsTooMany int            // Starts after three such crashes.
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		workflows: map[cyclamendyke.WorkflowID]storedWorkflow{}, progress: map[cyclamendyke.WorkflowID]storedProgress{},
		storedTargets: map[cyclamendyke.TargetID]storedTarget{},
		finals:        map[cyclamendyke.WorkflowID]progress.Final{},
		vms:           map[cyclamendyke.TargetID]*vm{}, history: map[cyclamendyke.TaskName]*taskHistory{},
		teamUsed:  map[cyclamendyke.TeamName]cyclamendyke.Resources{},
		fleet:     &cyclamendyke.FleetConfig{Version: 1},
		members:   4,
		ticketTTL: 2 * time.Second,

		batchEntries: cyclamendyke.MaxBatchEntries,
		writeDelay:   func() time.Duration { return simWriteTime },

		stopTime: simStopTime,
		maxLease: 10 * time.Second,
		saved:    map[cyclamendyke.TaskName]float64{},
		gangs:    map[gangKey]*gangRun{},
		goingOn:  map[*Scheduler]bool{},

		adviceBusyUntil: map[cyclamendyke.MemberName]time.Duration{},
		paces:           map[cyclamendyke.WorkflowID]int{},
		adviceAllows:    func(cyclamendyke.StepName, cyclamendyke.TargetID) bool { return true },
	}
	sim.runTime = func(name cyclamendyke.TaskName, _ *vm) time.Duration {
		return sim.workflows[name.Workflow].spec.Steps[name.Step].Estimate
	}
	sim.fails = func(cyclamendyke.TaskName) bool { return sim.random.Float64() < sim.faults.failRun }
	return sim
}

func (sim *simulation) bounds() cyclamendyke.Bounds {
	return cyclamendyke.Bounds{
		MaxLease: sim.maxLease, StopTimeout: sim.stopTime, StatusRetention: 2 * time.Minute, RestoreTime: sim.restoreTime,
		MaxCapacityAge: sim.maxCapacityAge,
	}
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now + d, sim.sequence, do})
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now-time.Hour)+fmt.Sprintf(format, args...))
}

// elect starts a new epoch whose scheduler loads what the store holds; requests of the old one
// still arrive, but it gets no answers.
func (sim *simulation) elect() {
	last := sim.sched
	sim.epoch++
	sim.revision++
	sim.commitsInFlight = 0
	sched := New(Config{
		Epoch: sim.epoch, ElectedRevision: sim.revision, ClaimedAt: sim.now, Bounds: sim.bounds(), EarlierRunsEndBy: sim.now + lease.Longest(sim.maxLease) + lease.Margin,
		LogDecision:     sim.logDecision,
		RecordViolation: func(name invariant.Name, detail string) { sim.reportViolation("%s: %s", name, detail) },
	})
	sim.sched = sched
	sched.Advance(sim.now, sim.wall())
	sched.SetTargetsAsOf(sim.now)
	sched.Configure(sim.fleet)
	for id, s := range sim.workflows {
		if _, ended := sim.finals[id]; !ended {
			sched.Submit(s.spec, s.revision)
		}
	}
	for id, progress := range sim.progress {
		if err := sched.Load(id, progress.value, progress.revision); err != nil {
			sim.t.Fatal(err)
		}
	}
	for _, v := range sim.vms {
		if !v.down && !v.removed {
			sched.UpdateTarget(v.info)
		}
	}
	for _, known := range sim.storedTargets {
		sched.AddKnownTarget(known.known, known.revision)
	}
	if sim.storedRuns != nil {
		if err := sched.AddRunList(sim.storedRuns); err != nil {
			sim.t.Fatal(err)
		}
	}
	sim.tellLeases(sched)
	sched.SetAdvisers(memberNames(sim.members))
	sim.tellEvacuations()
	if last != nil && sim.asksLast {
		sim.askLast(last, sched)
	}
	sim.runPeriodically(sched)
}

// askLast gives a new scheduler the final list of the last one: at once, or after the last one has gone on for
// a while without the store.
func (sim *simulation) askLast(last, next *Scheduler) {
	if sim.askDelay == 0 {
		sim.addFinalList(next, sim.takeFinalList(last), sim.now)
		return
	}
	sim.goingOn[last] = true
	last.SetSuccessorPossible(true)
	answerTime := sim.randomTime(sim.askDelay)
	sim.after(sim.randomTime(sim.askDelay), func() {
		delete(sim.goingOn, last)
		value, takenAt := sim.takeFinalList(last), sim.now
		sim.after(answerTime, func() { sim.addFinalList(next, value, takenAt) })
	})
}

func (sim *simulation) takeFinalList(last *Scheduler) []byte {
	last.Advance(sim.now, sim.wall())
	value, err := last.FinalList(true)
	if err != nil {
		sim.t.Fatal(err)
	}
	return value
}

func (sim *simulation) addFinalList(next *Scheduler, value []byte, takenAt time.Duration) {
	if sim.sched != next {
		return
	}
	next.Advance(sim.now, sim.wall())
	if _, err := next.AddFinalList(value, FinalListTimes{NotBefore: takenAt, NotAfter: sim.now}); err != nil {
		sim.t.Fatal(err)
	}
}

// acts reports whether a scheduler is the current one, or goes on without the store.
func (sim *simulation) acts(sched *Scheduler) bool {
	return sim.sched == sched || sim.goingOn[sched] && !sched.Superseded()
}

func memberNames(count int) []cyclamendyke.MemberName {
	names := make([]cyclamendyke.MemberName, count)
	for i := range names {
		names[i] = cyclamendyke.MemberName(fmt.Sprintf("m%02d", i))
	}
	return names
}

func (sim *simulation) wall() time.Time {
	return time.Unix(1_000_000, 0).Add(sim.now)
}

// runPeriodically makes a pass of a scheduler every simTick, for as long as it is the current one.
func (sim *simulation) runPeriodically(sched *Scheduler) {
	if !sim.acts(sched) {
		return
	}
	sim.pass(sched)
	sim.after(simTick, func() { sim.runPeriodically(sched) })
}

func (sim *simulation) pass(sched *Scheduler) {
	if !sim.acts(sched) || sim.noPasses || sim.stalledFor(sched) > 0 {
		return
	}
	sched.Advance(sim.now, sim.wall())
	if sim.sched == sched && !sim.storeAway() {
		sched.SetTargetsAsOf(sim.now)
	}
	began := time.Now()
	var commands []Command
	if sim.stalls.areDrawn {
		commands = sched.Renew()
	}
	commands = append(commands, sched.Run()...)
	sim.passTime += time.Since(began)
	sim.passes++
	for _, command := range commands {
		sim.deliver(sched, command)
	}
	if sim.sched == sched {
		sim.storeRecords(sched)
		sim.storeStatement(sched)
	}
}

// status returns a workflow's state from the scheduler or, if it does not know the workflow, from the
// store.
func (sim *simulation) status(id cyclamendyke.WorkflowID) cyclamendyke.WorkflowState {
	if state, _, ok := sim.sched.Status(id); ok {
		return state
	}
	return sim.finals[id].State
}

// submit stores a workflow and passes it to the scheduler.
func (sim *simulation) submit(spec *cyclamendyke.Workflow) {
	sim.revision++
	spec.AcceptedAt = sim.wall()
	sim.workflows[spec.ID] = storedWorkflow{spec, sim.revision}
	if sim.sched != nil {
		sim.sched.Advance(sim.now, sim.wall())
		sim.sched.Submit(spec, sim.revision)
	}
}

// run advances the simulated time and handles the events up to then.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.do()
	}
	sim.now = end
}
