package scheduler

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

// TestScripts runs each script of testdata against a scheduler over fake workers; any violated invariant fails it.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[worldKey{}] = newWorld(Config{})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"vms":      scriptVMs,
			"takeover": onWorld(func(w *world, _ []string) { w.takeOver() }),
			"submit":   onWorld(func(w *world, args []string) { w.submit(parseJob(args)) }),
			"cancel":   onWorld(func(w *world, args []string) { w.do(w.s.Cancel(w.now, cyclamendyke.RequestID(args[0]))) }),
			"tick":     onWorld(func(w *world, _ []string) { w.do(w.s.Tick(w.now)) }),
			"pass":     scriptPass,
			"finish":   scriptFinish,
			"worker":   scriptWorker,
			"list":     scriptList,
			"use":      scriptUse,
			"store":    onWorld(func(w *world, args []string) { w.storeMode = cyclamendyke.PersistResult(args[0]) }),
			"hold":     scriptHold,
			"frozen":   onWorld(func(w *world, _ []string) { w.do(w.s.SetAuthority(w.now, cyclamendyke.Authority{})) }),
			"baseline": onWorld(func(w *world, _ []string) { w.cfg.Policies = policy.Baseline() }),
			"tables":   onWorld(changeTables),
			"missed":   onWorld(func(w *world, args []string) { w.tables = tablesWithout(w, args) }),
			"summary":  scriptSummary,
			"want":     scriptWant,
			"waiting":  scriptWaiting,
		},
	})
}

type worldKey struct{}

func onWorld(act func(*world, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		w := ts.Value(worldKey{}).(*world)
		act(w, args)
		checkWorld(ts, w)
	}
}

func checkWorld(ts *testscript.TestScript, w *world) {
	if len(w.violations) > 0 {
		ts.Fatalf("violated: %s", w.violationText())
	}
}

// scriptVMs adds VMs given as name/rack.
func scriptVMs(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	for _, arg := range args {
		name, rack, _ := strings.Cut(arg, "/")
		w.addVM(cyclamendyke.WorkerName(name), rack)
	}
	if w.s != nil {
		w.do(w.s.SetVMs(w.now, w.vms))
	}
}

func scriptPass(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	w.advance(d)
	checkWorld(ts, w)
}

// scriptFinish ends tasks given as request/index, or request/index=exit code.
func scriptFinish(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	for _, arg := range args {
		text, code, _ := strings.Cut(arg, "=")
		exitCode, _ := strconv.Atoi(code)
		if !w.finish(parseTask(text), exitCode) {
			ts.Fatalf("%s does not run", text)
		}
	}
	checkWorld(ts, w)
}

// scriptWorker sets a worker's fault: deaf, mute, lose-starts, drop-starts, refuses, fails, restart or well.
func scriptWorker(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	f := w.workers[cyclamendyke.WorkerName(args[0])]
	f.set(args[1])
	if args[1] == "restart" {
		f.restart()
	}
}

// scriptList changes a VM in the platform's list to live, leaving or gone.
func scriptList(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	var listed []cyclamendyke.VM
	for _, vm := range w.vms {
		if string(vm.Name) == args[0] {
			vm.State = cyclamendyke.VMState(args[1])
		}
		if vm.State != "gone" {
			listed = append(listed, vm)
		}
	}
	w.vms = listed
	w.do(w.s.SetVMs(w.now, w.vms))
	checkWorld(ts, w)
}

// scriptUse reports a task's use: worker, task, milli-cores, memory.
func scriptUse(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	f := w.workers[cyclamendyke.WorkerName(args[0])]
	report := f.report()
	report.Usage = []cyclamendyke.TaskUsage{{Task: parseTask(args[1]), Used: parseJob(args[2:]).PerTask}}
	w.do(w.s.Renewed(w.now, report, w.now))
	checkWorld(ts, w)
}

// scriptHold sets a team's allotment in milli-cores.
func scriptHold(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	cores, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	w.held[cyclamendyke.TeamName(args[0])] = cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(cores)}
	w.do(w.s.SetAllotments(w.now, w.held))
}

// scriptWant looks for a command whose text matches among those since the last match; with ! it looks among all since then.
func scriptWant(ts *testscript.TestScript, neg bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	pattern := regexp.MustCompile("^" + strings.Join(args, " ") + "$")
	for i, line := range w.log {
		if !pattern.MatchString(strings.TrimSpace(line)) {
			continue
		}
		if neg {
			ts.Fatalf("unwanted: %s", line)
		}
		w.log = w.log[i+1:]
		return
	}
	if !neg {
		ts.Fatalf("not found in:\n%s", strings.Join(w.log, "\n"))
	}
}

// scriptWaiting checks how many tasks of a request wait and run.
func scriptWaiting(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	status, _ := w.s.Status(cyclamendyke.RequestID(args[0]))
	got := strconv.Itoa(status.Waiting) + " " + strconv.Itoa(status.Running)
	if want := args[1] + " " + args[2]; got != want {
		ts.Fatalf("waiting and running: %s, want %s", got, want)
	}
}

// changeTables puts a revision of tablesWithout in force, and then the one before, which is too old.
func changeTables(w *world, args []string) {
	older := w.tables
	w.tables = tablesWithout(w, args)
	w.do(w.s.SetTables(w.now, w.tables))
	w.do(w.s.SetTables(w.now, older))
}

// tablesWithout returns a revision in which the named route is gone, or the pool's VMs have other cores.
func tablesWithout(w *world, args []string) *cyclamendyke.Tables {
	changed := testTables()
	changed.Revision = w.tables.Revision + 1
	for _, arg := range args {
		delete(changed.Routes, cyclamendyke.RouteName(arg))
		if cores, err := strconv.ParseInt(arg, 10, 64); err == nil {
			row := changed.Pools["p"]
			row.Shape.Cores = cyclamendyke.MilliCores(cores * 1000)
			changed.Pools["p"] = row
		}
	}
	return changed
}

// scriptSummary compares the cores reserved and the tasks waiting in the pool, a team's demand in cores and the healthy workers.
func scriptSummary(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	healthy := 0
	for _, state := range w.s.Workers() {
		if state.Healthy && state.Claimed && state.BackOff == 0 {
			healthy++
		}
	}
	p := w.s.Summary()["p"]
	demand := w.s.Demand()[cyclamendyke.TeamName(args[0])]
	got := fmt.Sprint(p.Workers, healthy, p.Reserved.Cores, p.Waiting, demand.Reserved.Cores, demand.Waiting.Cores)
	if want := strings.Join(args[1:], " "); got != want {
		ts.Fatalf("workers, healthy, reserved, waiting, team reserved, team waiting: %s, want %s", got, want)
	}
}

func parseTask(text string) cyclamendyke.TaskID {
	request, number, _ := strings.Cut(text, "/")
	index, _ := strconv.Atoi(number)
	return cyclamendyke.TaskID{Request: cyclamendyke.RequestID(request), Index: index}
}

// parseJob reads a request identifier, a team and a kind, then settings as key=value.
func parseJob(args []string) cyclamendyke.Job {
	job := cyclamendyke.Job{Tasks: 1}
	var plain []string
	for _, arg := range args {
		key, value, found := strings.Cut(arg, "=")
		number, _ := strconv.ParseInt(value, 10, 64)
		switch {
		case !found:
			plain = append(plain, arg)
		case key == "tasks":
			job.Tasks = int(number)
		case key == "cores":
			job.PerTask.Cores = cyclamendyke.MilliCores(number * 1000)
		case key == "memory":
			job.PerTask.Memory = cyclamendyke.MiB(number)
		case key == "set":
			job.Urgent = strings.Contains(value, "urgent")
			job.Detach = strings.Contains(value, "detach")
			job.NotRepeatable = strings.Contains(value, "once")
			job.Resubmitted = strings.Contains(value, "again")
		}
	}
	if len(plain) == 3 {
		job.Request = cyclamendyke.RequestID(plain[0])
		job.Team = cyclamendyke.TeamName(plain[1])
		job.Route = cyclamendyke.RouteName(plain[2])
		job.Kind = cyclamendyke.JobKind(plain[2])
	}
	return job
}
