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
	drainTime  = 10 * time.Minute
)

// TestMain sets defaults for the rapid flags that the command line does not give.
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

// TestRandomFaults combines faults with every kind of job at random and checks the scheduler's
// invariants after each step.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &randomTest{harness: newHarness(Config{}), t: rt}
		for i := range 6 {
			r.addVM(cyclamendyke.WorkerName(fmt.Sprintf("w%d", i)), fmt.Sprintf("r%d", i/2))
		}
		r.takeOver()
		rt.Repeat(map[string]func(*rapid.T){
			"submit":  r.submitRandomJob,
			"submit2": r.submitRandomJob,
			"cancel":  r.cancelRandomJob,
			"advance": func(t *rapid.T) {
				r.advance(time.Duration(rapid.SampledFrom([]int{1, 2, 5, 15, 30, 90}).Draw(t, "seconds")) * time.Second)
			},
			"tick":     func(*rapid.T) { r.execute(r.s.Tick(r.now)) },
			"finish":   r.finishRandomTask,
			"finish2":  r.finishRandomTask,
			"fault":    r.setRandomFault,
			"restart":  r.restartRandomWorker,
			"list":     r.changeRandomVM,
			"takeover": r.maybeTakeOver,
			"thaw":     func(*rapid.T) { r.resumePrevious() },
			"store":    r.setRandomPersistResult,
			"hold":     r.setRandomAllotment,
			"use":      r.reportRandomUsage,
			"":         func(*rapid.T) { r.check() },
		})
		r.drainAndVerify()
	})
}

type randomTest struct {
	*harness
	t             *rapid.T
	lastJobNumber int
}

func (r *randomTest) submitRandomJob(t *rapid.T) {
	r.lastJobNumber++
	kind := rapid.SampledFrom([]cyclamendyke.JobKind{"batch", "batch", "gang", "service"}).Draw(t, "kind")
	flags := rapid.SampledFrom([]string{"", "", "urgent", "once", "detach", "once detach"}).Draw(t, "set")
	team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	r.submit(parseJob([]string{
		fmt.Sprintf("z-%04d", r.lastJobNumber), team, string(kind),
		fmt.Sprintf("tasks=%d", rapid.IntRange(1, 6).Draw(t, "tasks")),
		fmt.Sprintf("cores=%d", rapid.IntRange(1, 9).Draw(t, "cores")),
		"set=" + flags,
	}))
}

func (r *randomTest) cancelRandomJob(t *rapid.T) {
	if ids := sortedKeys(r.jobs); len(ids) > 0 {
		r.execute(r.s.Cancel(r.now, rapid.SampledFrom(ids).Draw(t, "request")))
	}
}

func (r *randomTest) finishRandomTask(t *rapid.T) {
	running := make([]cyclamendyke.TaskID, 0, len(r.jobs))
	for _, name := range sortedKeys(r.workers) {
		running = append(running, sortedTasks(r.workers[name].running)...)
	}
	if len(running) > 0 {
		r.finish(rapid.SampledFrom(running).Draw(t, "task"), rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "exit"))
	}
}

func (r *randomTest) randomWorker(t *rapid.T) *fakeWorker {
	return r.workers[rapid.SampledFrom(sortedKeys(r.workers)).Draw(t, "worker")]
}

func (r *randomTest) setRandomFault(t *rapid.T) {
	f := r.randomWorker(t)
	f.setFault(rapid.SampledFrom([]string{"drop-requests", "drop-answers", "drop-start-answers", "drop-starts", "refuse-starts", "fail-tasks", "healthy", "healthy"}).Draw(t, "fault"))
}

func (r *randomTest) restartRandomWorker(t *rapid.T) {
	f := r.randomWorker(t)
	f.restart()
}

func (r *randomTest) changeRandomVM(t *rapid.T) {
	f := r.randomWorker(t)
	f.vm.State = rapid.SampledFrom([]cyclamendyke.VMState{cyclamendyke.VMLive, cyclamendyke.VMLive, cyclamendyke.VMLeaving}).Draw(t, "state")
	f.removed = rapid.IntRange(0, 3).Draw(t, "removed") == 0
	if f.removed {
		f.restart()
		f.dropsRequests = true
	}
	r.updateVMs()
}

func (r *randomTest) updateVMs() {
	r.vms = nil
	for _, name := range sortedKeys(r.workers) {
		if f := r.workers[name]; !f.removed {
			r.vms = append(r.vms, f.vm)
		}
	}
	r.execute(r.s.SetVMs(r.now, r.vms))
}

// maybeTakeOver replaces the scheduler in about half of its calls; callers without an answer resubmit their jobs.
func (r *randomTest) maybeTakeOver(t *rapid.T) {
	if !rapid.Bool().Draw(t, "really") {
		return
	}
	r.takeOver()
	if rapid.Bool().Draw(t, "late") {
		r.advance(2 * time.Second)
	}
	r.resubmit()
}

func (r *randomTest) resubmit() {
	for _, id := range sortedKeys(r.jobs) {
		job := r.jobs[id]
		_, answered := r.answers[id]
		if answered || job.Detach && r.journal[id].Job.Request != "" {
			continue
		}
		job.Resubmitted = true
		r.execute(r.s.Submit(r.now, job))
	}
}

// resumePrevious ticks the scheduler of the previous term, as if a frozen process resumed.
func (r *randomTest) resumePrevious() {
	if r.previous == nil {
		return
	}
	r.previous.SetAuthority(r.now, cyclamendyke.Authority{})
	for _, command := range r.previous.Tick(r.now) {
		if start, isStart := command.(cyclamendyke.StartCommand); isStart {
			r.addViolation("start of %s after its term ended", start.Start.Task)
		}
	}
}

func (r *randomTest) setRandomPersistResult(t *rapid.T) {
	results := []cyclamendyke.PersistResult{cyclamendyke.PersistKept, cyclamendyke.PersistKept, cyclamendyke.PersistRefused, cyclamendyke.PersistUnknown}
	r.persistResult = rapid.SampledFrom(results).Draw(t, "store")
}

func (r *randomTest) setRandomAllotment(t *rapid.T) {
	r.allotments["c"] = cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(rapid.IntRange(0, 16).Draw(t, "cores") * 1000)}
	r.execute(r.s.SetAllotments(r.now, r.allotments))
}

func (r *randomTest) reportRandomUsage(t *rapid.T) {
	f := r.randomWorker(t)
	tasks := sortedTasks(f.running)
	if len(tasks) == 0 || f.dropsRequests || f.dropsAnswers || f.epoch != r.epoch() {
		return
	}
	report := f.report()
	report.Usage = []cyclamendyke.TaskUsage{{Task: tasks[0], Used: cyclamendyke.Resources{Cores: 6000, Memory: 12000}}}
	r.execute(r.s.Renewed(r.now, report, r.now))
}

// check compares the scheduler's totals with its tasks and fails on any violation so far.
func (r *randomTest) check() {
	if len(r.violations) > 0 {
		r.t.Fatalf("%s", r.violationText())
	}
	reservedByTeam := make(map[cyclamendyke.TeamName]cyclamendyke.Resources)
	for _, w := range r.s.workersInOrder() {
		var sum cyclamendyke.Resources
		for _, t := range w.tasksInOrder() {
			sum = sum.Add(t.reserved)
			reservedByTeam[t.job.spec.Team] = reservedByTeam[t.job.spec.Team].Add(t.reserved)
			if t.job.tasks[t.id.Index] != t {
				r.t.Fatalf("%s is placed on %s but missing from its job", t.id, w.vm.Name)
			}
		}
		if sum != w.reserved {
			r.t.Fatalf("%s: reserved %+v, but its tasks reserve %+v", w.vm.Name, w.reserved, sum)
		}
		if w.indexed != w.schedulable() {
			r.t.Fatalf("%s: indexed is %v, but schedulable is not", w.vm.Name, w.indexed)
		}
	}
	waitingByTeam := make(map[cyclamendyke.TeamName]cyclamendyke.Resources)
	for _, j := range r.s.unfinishedJobs() {
		waitingByTeam[j.spec.Team] = waitingByTeam[j.spec.Team].Add(j.spec.PerTask.Scale(int64(j.countedTasks)))
	}
	for _, t := range r.s.teamsInOrder() {
		if reservedByTeam[t.name] != t.reserved || waitingByTeam[t.name] != t.demand {
			r.t.Fatalf("team %s: reserved %+v, but its tasks reserve %+v; demand %+v, but its waiting tasks need %+v", t.name, t.reserved, reservedByTeam[t.name], t.demand, waitingByTeam[t.name])
		}
	}
}

// drainAndVerify clears all faults, cancels services and lets all tasks finish; then each request
// must have a final answer and no task may be left.
func (r *randomTest) drainAndVerify() {
	r.persistResult = cyclamendyke.PersistKept
	r.allotments["c"] = cyclamendyke.Resources{Cores: 16000}
	for _, name := range sortedKeys(r.workers) {
		f := r.workers[name]
		f.setFault("healthy")
		f.removed = false
		f.vm.State = cyclamendyke.VMLive
	}
	r.updateVMs()
	r.execute(r.s.SetAllotments(r.now, r.allotments))
	r.resubmitUnknown()
	for _, id := range sortedKeys(r.jobs) {
		if r.jobs[id].Kind == cyclamendyke.KindService {
			r.execute(r.s.Cancel(r.now, id))
		}
	}
	for end := r.now.Add(drainTime); r.now.Before(end); {
		r.advance(5 * time.Second)
		r.finishAll()
		r.check()
	}
	answered := 0
	for _, id := range sortedKeys(r.jobs) {
		if !r.answers[id].Verdict.IsFinal() {
			status, known := r.s.Status(id)
			r.t.Fatalf("%s has no final answer; known to the scheduler: %v, status: %+v", id, known, status)
		}
		answered++
	}
	if answered != r.submittedJobs {
		r.t.Fatalf("%d requests, but %d answers", r.submittedJobs, answered)
	}
	for _, w := range r.s.workersInOrder() {
		if len(w.tasks) > 0 {
			r.t.Fatalf("%s still has task %+v", w.vm.Name, w.tasksInOrder()[0])
		}
	}
}

// resubmitUnknown resubmits unanswered jobs that the scheduler does not know.
func (r *randomTest) resubmitUnknown() {
	for _, id := range sortedKeys(r.jobs) {
		_, answered := r.answers[id]
		if _, known := r.s.Status(id); !known && !answered {
			job := r.jobs[id]
			job.Resubmitted = true
			r.execute(r.s.Submit(r.now, job))
		}
	}
}

func (r *randomTest) finishAll() {
	for _, name := range sortedKeys(r.workers) {
		for _, task := range sortedTasks(r.workers[name].running) {
			r.finish(task, 0)
		}
	}
}
