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
	worldLatency   = time.Millisecond // Of a message, one way.
	worldTick      = 50 * time.Millisecond
	worldStep      = 4 * time.Millisecond // Between two passes of a scheduler.
	worldAnswerMax = 600 * time.Millisecond
	worldStopTime  = 100 * time.Millisecond
)

// worldFaults are the faults that a world's messages and VMs suffer, as probabilities.
type worldFaults struct {
	loseAnswer float64 // Carried out, but not answered.
	late       float64 // Not answered, and carried out 2 to 12 s later.
	fail       float64 // A run fails.
}

// world plays targets, store and time against the scheduler, and checks the promises from the targets' side.
type world struct {
	t        testing.TB
	random   *rand.Rand
	faults   worldFaults
	now      time.Duration
	events   eventQueue
	sequence int
	sched    *Scheduler
	epoch    uint64
	revision cyclamendyke.Revision
	fleet    *cyclamendyke.FleetConfig
	work     map[cyclamendyke.WorkflowID]stored
	progress map[cyclamendyke.WorkflowID]kept
	vms      map[cyclamendyke.TargetID]*vm
	tasks    map[cyclamendyke.TaskName]*truth
	running  map[cyclamendyke.TeamName]cyclamendyke.Resources
	starts   int
	stops    int
	advices  int
	violated []string
	passes   int
	passTook time.Duration // By all passes together, of real time.

	members  int                                       // That ask for advice.
	valid    time.Duration                             // How long tickets last.
	advising map[cyclamendyke.MemberName]time.Duration // Until when the advice service works on each member's questions.
	keeping  bool
	known    []KnownTarget                   // The list of targets that the store holds,
	knownSet int                             // and its version.
	paces    map[cyclamendyke.WorkflowID]int // The last pace ordered for a workflow's tasks.
	tail     float64                         // Of all serving tasks' response times, in milliseconds.
	adviseOK func(cyclamendyke.StepName, cyclamendyke.TargetID) bool
}

type stored struct {
	spec     *cyclamendyke.Workflow
	revision cyclamendyke.Revision
}

type kept struct {
	value    []byte
	revision cyclamendyke.Revision
}

// truth is what really happened to a task.
type truth struct {
	running int
	noted   bool // An end as done was acknowledged.
	done    bool
	failed  int // Acknowledged failures.
}

// vm is a target as the platform describes it.
type vm struct {
	info    cyclamendyke.Target
	born    time.Duration
	fence   uint64
	until   time.Duration
	runs    map[cyclamendyke.TaskName]*vmRun
	highest map[cyclamendyke.TaskName]int64 // The highest run that ended or was stopped.
	ends    []cyclamendyke.EndReport
	lastEnd int64
	down    bool
	cut     bool
	hidden  bool // Its description is gone from the store.
	waiting func()
}

type vmRun struct {
	number  int64
	started time.Duration
	lasts   time.Duration
	spec    *cyclamendyke.Step
	team    cyclamendyke.TeamName
	ending  bool
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

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		work: map[cyclamendyke.WorkflowID]stored{}, progress: map[cyclamendyke.WorkflowID]kept{},
		vms: map[cyclamendyke.TargetID]*vm{}, tasks: map[cyclamendyke.TaskName]*truth{},
		running: map[cyclamendyke.TeamName]cyclamendyke.Resources{},
		fleet:   &cyclamendyke.FleetConfig{Version: 1},
		members: 4,
		valid:   2 * time.Second,

		advising: map[cyclamendyke.MemberName]time.Duration{},
		paces:    map[cyclamendyke.WorkflowID]int{},
		adviseOK: func(cyclamendyke.StepName, cyclamendyke.TargetID) bool { return true },
	}
	return w
}

func (w *world) bounds() cyclamendyke.Bounds {
	return cyclamendyke.Bounds{
		MaxLease: 10 * time.Second, StopTimeout: worldStopTime, StatusKept: 2 * time.Minute,
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now + d, w.sequence, do})
}

func (w *world) violate(format string, args ...any) {
	w.violated = append(w.violated, fmt.Sprintf("%v: ", w.now-time.Hour)+fmt.Sprintf(format, args...))
}

// elect begins a new epoch, whose scheduler knows what the store holds; the old one's messages still arrive.
func (w *world) elect() {
	w.epoch++
	w.revision++
	w.keeping = false
	w.knownSet = -1
	sched := New(Config{
		Epoch: w.epoch, Elected: w.revision, Bounds: w.bounds(), Settled: w.now + LongestLease(w.bounds()) + lapseMargin,
	})
	w.sched = sched
	sched.Advance(w.now, w.wall())
	sched.Configure(w.fleet)
	for _, s := range w.work {
		sched.Submit(s.spec, s.revision)
	}
	for id, k := range w.progress {
		if err := sched.Load(id, k.value, k.revision); err != nil {
			w.t.Fatal(err)
		}
	}
	for _, v := range w.vms {
		if !v.down && !v.hidden {
			sched.Describe(v.info)
		}
	}
	for _, known := range w.known {
		sched.Expect(known)
	}
	sched.SetAdvisers(memberNames(w.members))
	w.schedule(sched)
}

func memberNames(count int) []cyclamendyke.MemberName {
	names := make([]cyclamendyke.MemberName, count)
	for i := range names {
		names[i] = cyclamendyke.MemberName(fmt.Sprintf("m%02d", i))
	}
	return names
}

func (w *world) wall() time.Time {
	return time.Unix(1_000_000, 0).Add(w.now)
}

// schedule lets a scheduler run now and then for as long as it is the current one.
func (w *world) schedule(sched *Scheduler) {
	if w.sched != sched {
		return
	}
	w.pass(sched)
	w.after(worldTick, func() { w.schedule(sched) })
}

func (w *world) pass(sched *Scheduler) {
	if w.sched != sched {
		return
	}
	sched.Advance(w.now, w.wall())
	began := time.Now()
	commands := sched.Run()
	w.passTook += time.Since(began)
	w.passes++
	for _, command := range commands {
		w.carryOut(sched, command)
	}
	w.keep(sched)
}

// keep writes the scheduler's records to the store.
func (w *world) keep(sched *Scheduler) {
	if w.keeping || !sched.Dirty() && sched.TargetSet() == w.knownSet {
		return
	}
	set := sched.TargetSet()
	known := sched.Known()
	records, err := sched.TakeRecords(cyclamendyke.MaxBatchPuts)
	if err != nil {
		w.t.Fatal(err)
	}
	w.keeping = true
	w.after(5*time.Millisecond, func() {
		if w.sched != sched {
			return // The epoch's key has changed.
		}
		w.revision++
		w.known = known
		for _, r := range records {
			w.progress[r.ID] = kept{r.Value, w.revision}
		}
		w.after(worldLatency, func() {
			if w.sched != sched {
				return
			}
			w.keeping = false
			sched.Advance(w.now, w.wall())
			w.knownSet = set
			sched.KeptKnown(known)
			sched.Recorded(records, w.revision)
			w.pass(sched)
		})
	})
}

// submit stores a workflow and tells the scheduler.
func (w *world) submit(spec *cyclamendyke.Workflow) {
	w.revision++
	spec.Accepted = w.wall()
	w.work[spec.ID] = stored{spec, w.revision}
	if w.sched != nil {
		w.sched.Advance(w.now, w.wall())
		w.sched.Submit(spec, w.revision)
	}
}

func (w *world) addVM(info cyclamendyke.Target) {
	v := &vm{info: info}
	w.vms[info.ID] = v
	w.boot(v)
}

// boot starts a VM that knows nothing of before.
func (w *world) boot(v *vm) {
	v.down = false
	v.born = w.now
	v.info.Born = int64(w.now / time.Millisecond)
	v.fence, v.until, v.lastEnd, v.ends = 0, 0, 0, nil
	v.runs = map[cyclamendyke.TaskName]*vmRun{}
	v.highest = map[cyclamendyke.TaskName]int64{}
	if w.sched != nil {
		w.sched.Advance(w.now, w.wall())
		w.sched.Describe(v.info)
	}
}

// crash ends all that runs on a VM without a word.
func (w *world) crash(v *vm) {
	for name := range v.runs {
		w.over(v, name)
	}
	v.down = true
	v.waiting = nil
}

// over ends a run on a VM.
func (w *world) over(v *vm, name cyclamendyke.TaskName) {
	r := v.runs[name]
	delete(v.runs, name)
	w.tasks[name].running--
	w.running[r.team] = w.running[r.team].Sub(r.spec.Reserved())
}

// end ends a run and lists its end.
func (w *world) end(v *vm, name cyclamendyke.TaskName, how cyclamendyke.EndKind) {
	r := v.runs[name]
	w.over(v, name)
	v.highest[name] = max(v.highest[name], r.number)
	v.lastEnd++
	v.ends = append(v.ends, cyclamendyke.EndReport{Sequence: v.lastEnd, Task: name, Run: r.number, How: how})
	if how == cyclamendyke.EndDone {
		w.tasks[name].done = true
	}
	if answer := v.waiting; answer != nil {
		v.waiting = nil
		answer()
	}
}

func (v *vm) clock(now time.Duration) time.Duration { return now - v.born }

// lapse kills everything when the lease has run out.
func (w *world) lapse(v *vm) {
	if v.until == 0 || v.clock(w.now) < v.until {
		return
	}
	names := make([]cyclamendyke.TaskName, 0, len(v.runs))
	for name := range v.runs {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b cyclamendyke.TaskName) int { return cmpText(a.String(), b.String()) })
	for _, name := range names {
		w.end(v, name, cyclamendyke.EndLapsed)
	}
}

func cmpText(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// extend extends the lease of a VM.
func (w *world) extend(v *vm, until time.Duration) {
	v.until = max(v.until, min(until, v.clock(w.now)+w.bounds().MaxLease))
	w.after(v.until-v.clock(w.now)+time.Microsecond, func() { w.lapse(v) })
}

// run plays for a while.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	w.now = end
}
