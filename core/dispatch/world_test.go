package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cyclamendyke"
)

const (
	simLatency       = time.Millisecond // One way.
	simTick          = 50 * time.Millisecond
	simPassDelay     = 4 * time.Millisecond   // Between an answer and the pass that follows it.
	simAnswerTimeout = 600 * time.Millisecond // After which a sender gives up.
	simStopTime      = 100 * time.Millisecond
)

// simFaults holds the probabilities of the faults that are injected.
type simFaults struct {
	loseAnswer float64 // A request is carried out but not answered.
	delay      float64 // A request is carried out 2 to 12 s later and not answered.
	failRun    float64 // A run fails.
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
	vms            map[cyclamendyke.TargetID]*vm
	history        map[cyclamendyke.TaskName]*taskHistory
	teamRunning    map[cyclamendyke.TeamName]cyclamendyke.Resources
	starts         int
	stops          int
	adviceRequests int
	violations     []string
	passes         int
	passTime       time.Duration // Real time spent in all passes.

	members              int                                                     // Number of members that request advice.
	ticketTTL            time.Duration                                           // How long tickets are valid.
	adviceBusyUntil      map[cyclamendyke.MemberName]time.Duration               // When each member's requests are all answered.
	storing              bool                                                    // A write to the store is in flight.
	storedTargets        []KnownTarget                                           // The stored list of targets.
	storedTargetsVersion int                                                     // The TargetSetVersion of storedTargets.
	paces                map[cyclamendyke.WorkflowID]int                         // The last pace ordered for each workflow's tasks.
	servingLatency       float64                                                 // Tail latency of all serving tasks, in milliseconds.
	adviceAllows         func(cyclamendyke.StepName, cyclamendyke.TargetID) bool // Whether advice allows a step on a target.
}

type storedWorkflow struct {
	spec     *cyclamendyke.Workflow
	revision cyclamendyke.Revision
}

type storedProgress struct {
	value    []byte
	revision cyclamendyke.Revision
}

// taskHistory is what has happened to a task on all VMs.
type taskHistory struct {
	running       int
	doneAcked     bool // A successful end was acknowledged.
	done          bool
	failuresAcked int // Number of acknowledged failures.
}

// vm is a simulated target VM.
type vm struct {
	info         cyclamendyke.Target
	bootedAt     time.Duration
	fence        uint64
	leaseUntil   time.Duration
	runs         map[cyclamendyke.TaskName]*vmRun
	highestEnded map[cyclamendyke.TaskName]int64 // The highest run number that ended or was stopped.
	ends         []cyclamendyke.EndReport
	lastEnd      int64
	down         bool
	unreachable  bool
	removed      bool // Its description was removed from the store.
	pendingReply func()
}

type vmRun struct {
	number   int64
	started  time.Duration
	duration time.Duration
	spec     *cyclamendyke.Step
	team     cyclamendyke.TeamName
	stopping bool
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
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		workflows: map[cyclamendyke.WorkflowID]storedWorkflow{}, progress: map[cyclamendyke.WorkflowID]storedProgress{},
		vms: map[cyclamendyke.TargetID]*vm{}, history: map[cyclamendyke.TaskName]*taskHistory{},
		teamRunning: map[cyclamendyke.TeamName]cyclamendyke.Resources{},
		fleet:       &cyclamendyke.FleetConfig{Version: 1},
		members:     4,
		ticketTTL:   2 * time.Second,

		adviceBusyUntil: map[cyclamendyke.MemberName]time.Duration{},
		paces:           map[cyclamendyke.WorkflowID]int{},
		adviceAllows:    func(cyclamendyke.StepName, cyclamendyke.TargetID) bool { return true },
	}
	return w
}

func (w *simulation) bounds() cyclamendyke.Bounds {
	return cyclamendyke.Bounds{
		MaxLease: 10 * time.Second, StopTimeout: simStopTime, StatusRetention: 2 * time.Minute,
	}
}

func (w *simulation) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now + d, w.sequence, do})
}

func (w *simulation) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now-time.Hour)+fmt.Sprintf(format, args...))
}

// elect starts a new epoch whose scheduler loads what the store holds; requests of the old one
// still arrive, but it gets no answers.
func (w *simulation) elect() {
	w.epoch++
	w.revision++
	w.storing = false
	w.storedTargetsVersion = -1
	sched := New(Config{
		Epoch: w.epoch, ElectedRevision: w.revision, Bounds: w.bounds(), EarlierRunsEndBy: w.now + LongestLease(w.bounds()) + leaseMargin,
	})
	w.sched = sched
	sched.Advance(w.now, w.wall())
	sched.Configure(w.fleet)
	for _, s := range w.workflows {
		sched.Submit(s.spec, s.revision)
	}
	for id, progress := range w.progress {
		if err := sched.Load(id, progress.value, progress.revision); err != nil {
			w.t.Fatal(err)
		}
	}
	for _, v := range w.vms {
		if !v.down && !v.removed {
			sched.UpdateTarget(v.info)
		}
	}
	for _, known := range w.storedTargets {
		sched.AddKnownTarget(known)
	}
	sched.SetAdvisers(memberNames(w.members))
	w.runPeriodically(sched)
}

func memberNames(count int) []cyclamendyke.MemberName {
	names := make([]cyclamendyke.MemberName, count)
	for i := range names {
		names[i] = cyclamendyke.MemberName(fmt.Sprintf("m%02d", i))
	}
	return names
}

func (w *simulation) wall() time.Time {
	return time.Unix(1_000_000, 0).Add(w.now)
}

// runPeriodically makes a pass of a scheduler every simTick, for as long as it is the current one.
func (w *simulation) runPeriodically(sched *Scheduler) {
	if w.sched != sched {
		return
	}
	w.pass(sched)
	w.after(simTick, func() { w.runPeriodically(sched) })
}

func (w *simulation) pass(sched *Scheduler) {
	if w.sched != sched {
		return
	}
	sched.Advance(w.now, w.wall())
	began := time.Now()
	commands := sched.Run()
	w.passTime += time.Since(began)
	w.passes++
	for _, command := range commands {
		w.deliver(sched, command)
	}
	w.storeRecords(sched)
}

// storeRecords writes the scheduler's records and list of targets to the store.
func (w *simulation) storeRecords(sched *Scheduler) {
	if w.storing || !sched.Dirty() && sched.TargetSetVersion() == w.storedTargetsVersion {
		return
	}
	targetSetVersion := sched.TargetSetVersion()
	known := sched.KnownTargets()
	records, err := sched.TakeRecords(cyclamendyke.MaxBatchPuts)
	if err != nil {
		w.t.Fatal(err)
	}
	w.storing = true
	w.after(5*time.Millisecond, func() {
		if w.sched != sched {
			return // The store rejects writes of an earlier epoch.
		}
		w.revision++
		w.storedTargets = known
		for _, r := range records {
			w.progress[r.ID] = storedProgress{r.Value, w.revision}
		}
		w.after(simLatency, func() {
			if w.sched != sched {
				return
			}
			w.storing = false
			sched.Advance(w.now, w.wall())
			w.storedTargetsVersion = targetSetVersion
			sched.KnownTargetsStored(known)
			sched.RecordsStored(records, w.revision)
			w.pass(sched)
		})
	})
}

// submit stores a workflow and passes it to the scheduler.
func (w *simulation) submit(spec *cyclamendyke.Workflow) {
	w.revision++
	spec.Accepted = w.wall()
	w.workflows[spec.ID] = storedWorkflow{spec, w.revision}
	if w.sched != nil {
		w.sched.Advance(w.now, w.wall())
		w.sched.Submit(spec, w.revision)
	}
}

func (w *simulation) addVM(info cyclamendyke.Target) {
	v := &vm{info: info}
	w.vms[info.ID] = v
	w.boot(v)
}

// boot starts a VM without any state.
func (w *simulation) boot(v *vm) {
	v.down = false
	v.bootedAt = w.now
	v.info.StartedMillis = int64(w.now / time.Millisecond)
	v.fence, v.leaseUntil, v.lastEnd, v.ends = 0, 0, 0, nil
	v.runs = map[cyclamendyke.TaskName]*vmRun{}
	v.highestEnded = map[cyclamendyke.TaskName]int64{}
	if w.sched != nil {
		w.sched.Advance(w.now, w.wall())
		w.sched.UpdateTarget(v.info)
	}
}

// crash ends all runs on a VM without reporting them.
func (w *simulation) crash(v *vm) {
	for name := range v.runs {
		w.removeRun(v, name)
	}
	v.down = true
	v.pendingReply = nil
}

// removeRun removes a run from a VM.
func (w *simulation) removeRun(v *vm, name cyclamendyke.TaskName) {
	r := v.runs[name]
	delete(v.runs, name)
	w.history[name].running--
	w.teamRunning[r.team] = w.teamRunning[r.team].Sub(r.spec.Reserved())
}

// end ends a run and reports its end.
func (w *simulation) end(v *vm, name cyclamendyke.TaskName, how cyclamendyke.EndKind) {
	r := v.runs[name]
	w.removeRun(v, name)
	v.highestEnded[name] = max(v.highestEnded[name], r.number)
	v.lastEnd++
	v.ends = append(v.ends, cyclamendyke.EndReport{Sequence: v.lastEnd, Task: name, Run: r.number, Kind: how})
	if how == cyclamendyke.EndDone {
		w.history[name].done = true
	}
	if reply := v.pendingReply; reply != nil {
		v.pendingReply = nil
		reply()
	}
}

func (v *vm) clock(now time.Duration) time.Duration { return now - v.bootedAt }

// expireLease ends all runs on a VM when its lease has expired.
func (w *simulation) expireLease(v *vm) {
	if v.leaseUntil == 0 || v.clock(w.now) < v.leaseUntil {
		return
	}
	names := make([]cyclamendyke.TaskName, 0, len(v.runs))
	for name := range v.runs {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b cyclamendyke.TaskName) int { return compareText(a.String(), b.String()) })
	for _, name := range names {
		w.end(v, name, cyclamendyke.EndLeaseExpired)
	}
}

func compareText(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// extendLease extends the lease of a VM.
func (w *simulation) extendLease(v *vm, until time.Duration) {
	v.leaseUntil = max(v.leaseUntil, min(until, v.clock(w.now)+w.bounds().MaxLease))
	w.after(v.leaseUntil-v.clock(w.now)+time.Microsecond, func() { w.expireLease(v) })
}

// run advances the simulated time and handles the events up to then.
func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	w.now = end
}
