package scheduler

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamendyke"
)

const (
	randomSeed = "20260101"
	healTime   = 10 * time.Minute
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": randomSeed, "rapid.nofailfile": "true", "rapid.steps": "60"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if given {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRandomFaults combines every fault with every kind of work and checks that what must hold does.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &randomRun{world: newWorld(Config{}), t: rt}
		for i := range 6 {
			r.addVM(cyclamendyke.WorkerName(fmt.Sprintf("w%d", i)), fmt.Sprintf("r%d", i/2))
		}
		r.takeOver()
		rt.Repeat(map[string]func(*rapid.T){
			"submit":  r.submitAny,
			"submit2": r.submitAny,
			"cancel":  r.cancelAny,
			"advance": func(t *rapid.T) {
				r.advance(time.Duration(rapid.SampledFrom([]int{1, 2, 5, 15, 30, 90}).Draw(t, "seconds")) * time.Second)
			},
			"tick":     func(*rapid.T) { r.do(r.s.Tick(r.now)) },
			"finish":   r.finishAny,
			"finish2":  r.finishAny,
			"fault":    r.faultAny,
			"restart":  r.restartAny,
			"list":     r.listAny,
			"takeover": r.takeOverAny,
			"thaw":     func(*rapid.T) { r.thaw() },
			"store":    r.storeAny,
			"hold":     r.holdAny,
			"use":      r.useAny,
			"":         func(*rapid.T) { r.check() },
		})
		r.heal()
	})
}

type randomRun struct {
	*world
	t    *rapid.T
	next int
}

func (r *randomRun) submitAny(t *rapid.T) {
	r.next++
	kind := rapid.SampledFrom([]cyclamendyke.JobKind{"batch", "batch", "gang", "service"}).Draw(t, "kind")
	set := rapid.SampledFrom([]string{"", "", "urgent", "once", "detach", "once detach"}).Draw(t, "set")
	team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	r.submit(parseJob([]string{
		fmt.Sprintf("z-%04d", r.next), team, string(kind),
		fmt.Sprintf("tasks=%d", rapid.IntRange(1, 6).Draw(t, "tasks")),
		fmt.Sprintf("cores=%d", rapid.IntRange(1, 9).Draw(t, "cores")),
		"set=" + set,
	}))
}

func (r *randomRun) cancelAny(t *rapid.T) {
	if ids := sortedKeys(r.jobs); len(ids) > 0 {
		r.do(r.s.Cancel(r.now, rapid.SampledFrom(ids).Draw(t, "request")))
	}
}

func (r *randomRun) finishAny(t *rapid.T) {
	running := make([]cyclamendyke.TaskID, 0, len(r.jobs))
	for _, name := range sortedKeys(r.workers) {
		running = append(running, sortedTasks(r.workers[name].running)...)
	}
	if len(running) > 0 {
		r.finish(rapid.SampledFrom(running).Draw(t, "task"), rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "exit"))
	}
}

func (r *randomRun) anyWorker(t *rapid.T) *fakeWorker {
	return r.workers[rapid.SampledFrom(sortedKeys(r.workers)).Draw(t, "worker")]
}

func (r *randomRun) faultAny(t *rapid.T) {
	f := r.anyWorker(t)
	f.set(rapid.SampledFrom([]string{"deaf", "mute", "lose-starts", "drop-starts", "refuses", "fails", "well", "well"}).Draw(t, "fault"))
}

func (r *randomRun) restartAny(t *rapid.T) {
	f := r.anyWorker(t)
	f.restart()
}

func (r *randomRun) listAny(t *rapid.T) {
	f := r.anyWorker(t)
	f.vm.State = rapid.SampledFrom([]cyclamendyke.VMState{cyclamendyke.VMLive, cyclamendyke.VMLive, cyclamendyke.VMLeaving}).Draw(t, "state")
	f.removed = rapid.IntRange(0, 3).Draw(t, "removed") == 0
	if f.removed {
		f.restart()
		f.deaf = true
	}
	r.list()
}

func (r *randomRun) list() {
	r.vms = nil
	for _, name := range sortedKeys(r.workers) {
		if f := r.workers[name]; !f.removed {
			r.vms = append(r.vms, f.vm)
		}
	}
	r.do(r.s.SetVMs(r.now, r.vms))
}

// takeOverAny replaces the scheduler; callers without an answer hand in their work again.
func (r *randomRun) takeOverAny(t *rapid.T) {
	if !rapid.Bool().Draw(t, "really") {
		return
	}
	r.takeOver()
	if rapid.Bool().Draw(t, "late") {
		r.advance(2 * time.Second)
	}
	r.resubmit()
}

func (r *randomRun) resubmit() {
	for _, id := range sortedKeys(r.jobs) {
		job := r.jobs[id]
		_, answered := r.answers[id]
		if answered || job.Detach && r.journal[id].Job.Request != "" {
			continue
		}
		job.Resubmitted = true
		r.do(r.s.Submit(r.now, job))
	}
}

// thaw lets the scheduler of the term before act on, as a frozen process would.
func (r *randomRun) thaw() {
	if r.previous == nil {
		return
	}
	r.previous.SetAuthority(r.now, cyclamendyke.Authority{})
	for _, command := range r.previous.Tick(r.now) {
		if start, isStart := command.(cyclamendyke.StartCommand); isStart {
			r.violate("start of %s after a lost term", start.Start.Task)
		}
	}
}

func (r *randomRun) storeAny(t *rapid.T) {
	modes := []cyclamendyke.PersistResult{cyclamendyke.PersistKept, cyclamendyke.PersistKept, cyclamendyke.PersistRefused, cyclamendyke.PersistUnknown}
	r.storeMode = rapid.SampledFrom(modes).Draw(t, "store")
}

func (r *randomRun) holdAny(t *rapid.T) {
	r.held["c"] = cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(rapid.IntRange(0, 16).Draw(t, "cores") * 1000)}
	r.do(r.s.SetAllotments(r.now, r.held))
}

func (r *randomRun) useAny(t *rapid.T) {
	f := r.anyWorker(t)
	tasks := sortedTasks(f.running)
	if len(tasks) == 0 || f.deaf || f.mute || f.epoch != r.epoch() {
		return
	}
	report := f.report()
	report.Usage = []cyclamendyke.TaskUsage{{Task: tasks[0], Used: cyclamendyke.Resources{Cores: 6000, Memory: 12000}}}
	r.do(r.s.Renewed(r.now, report, r.now))
}

// check compares the scheduler's sums with its tasks and fails on any violation so far.
func (r *randomRun) check() {
	if len(r.violations) > 0 {
		r.t.Fatalf("%s", r.violationText())
	}
	teams := make(map[cyclamendyke.TeamName]cyclamendyke.Resources)
	for _, w := range r.s.workersInOrder() {
		var sum cyclamendyke.Resources
		for _, t := range w.tasksInOrder() {
			sum = sum.Add(t.reserved)
			teams[t.job.spec.Team] = teams[t.job.spec.Team].Add(t.reserved)
			if t.job.tasks[t.id.Index] != t {
				r.t.Fatalf("%s is on %s and not in its job", t.id, w.vm.Name)
			}
		}
		if sum != w.reserved {
			r.t.Fatalf("%s: reserved %+v, tasks %+v", w.vm.Name, w.reserved, sum)
		}
		if w.indexed != w.takesWork() {
			r.t.Fatalf("%s: indexed %v", w.vm.Name, w.indexed)
		}
	}
	waiting := make(map[cyclamendyke.TeamName]cyclamendyke.Resources)
	for _, j := range r.s.unfinishedJobs() {
		waiting[j.spec.Team] = waiting[j.spec.Team].Add(j.spec.PerTask.Scale(int64(j.counted)))
	}
	for _, t := range r.s.teamsInOrder() {
		if teams[t.name] != t.reserved || waiting[t.name] != t.wanted {
			r.t.Fatalf("team %s: reserved %+v, tasks %+v; wanted %+v, waiting %+v", t.name, t.reserved, teams[t.name], t.wanted, waiting[t.name])
		}
	}
}

// heal ends all faults and services and lets everything finish; then each request must have its one answer.
func (r *randomRun) heal() {
	r.storeMode = cyclamendyke.PersistKept
	r.held["c"] = cyclamendyke.Resources{Cores: 16000}
	for _, name := range sortedKeys(r.workers) {
		f := r.workers[name]
		f.set("well")
		f.removed = false
		f.vm.State = cyclamendyke.VMLive
	}
	r.list()
	r.do(r.s.SetAllotments(r.now, r.held))
	r.resubmitUnknown()
	for _, id := range sortedKeys(r.jobs) {
		if r.jobs[id].Kind == cyclamendyke.KindService {
			r.do(r.s.Cancel(r.now, id))
		}
	}
	for end := r.now.Add(healTime); r.now.Before(end); {
		r.advance(5 * time.Second)
		r.finishAll()
		r.check()
	}
	answered := 0
	for _, id := range sortedKeys(r.jobs) {
		if !r.answers[id].Verdict.IsFinal() {
			status, known := r.s.Status(id)
			r.t.Fatalf("%s has no answer: known %v, %+v", id, known, status)
		}
		answered++
	}
	if answered != r.accepted {
		r.t.Fatalf("%d requests, %d answers", r.accepted, answered)
	}
	for _, w := range r.s.workersInOrder() {
		if len(w.tasks) > 0 {
			r.t.Fatalf("%s still holds %+v", w.vm.Name, w.tasksInOrder()[0])
		}
	}
}

// resubmitUnknown hands in again what a caller still waits for and the scheduler does not know.
func (r *randomRun) resubmitUnknown() {
	for _, id := range sortedKeys(r.jobs) {
		_, answered := r.answers[id]
		if _, known := r.s.Status(id); !known && !answered {
			job := r.jobs[id]
			job.Resubmitted = true
			r.do(r.s.Submit(r.now, job))
		}
	}
}

func (r *randomRun) finishAll() {
	for _, name := range sortedKeys(r.workers) {
		for _, task := range sortedTasks(r.workers[name].running) {
			r.finish(task, 0)
		}
	}
}
