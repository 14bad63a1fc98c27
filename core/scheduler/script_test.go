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

// TestScripts runs each script in testdata against a scheduler with fake workers; a violated
// invariant fails the test.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[harnessKey{}] = newHarness(Config{})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"vms":            scriptVMs,
			"takeover":       onHarness(func(w *harness, _ []string) { w.takeOver() }),
			"submit":         onHarness(func(w *harness, args []string) { w.submit(parseJob(args)) }),
			"cancel":         onHarness(func(w *harness, args []string) { w.execute(w.s.Cancel(w.now, cyclamendyke.RequestID(args[0]))) }),
			"tick":           onHarness(func(w *harness, _ []string) { w.execute(w.s.Tick(w.now)) }),
			"advance":        scriptAdvance,
			"finish":         scriptFinish,
			"worker":         scriptWorker,
			"vm-state":       scriptVMState,
			"usage":          scriptUsage,
			"store":          onHarness(func(w *harness, args []string) { w.persistResult = cyclamendyke.PersistResult(args[0]) }),
			"allotment":      scriptAllotment,
			"lose-authority": onHarness(func(w *harness, _ []string) { w.execute(w.s.SetAuthority(w.now, cyclamendyke.Authority{})) }),
			"baseline":       onHarness(func(w *harness, _ []string) { w.cfg.Policies = policy.Baseline() }),
			"tables":         onHarness(changeTables),
			"next-tables":    onHarness(func(w *harness, args []string) { w.tables = tablesWithout(w, args) }),
			"summary":        scriptSummary,
			"want":           scriptWant,
			"waiting":        scriptWaiting,
		},
	})
}

type harnessKey struct{}

func onHarness(act func(*harness, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		w := ts.Value(harnessKey{}).(*harness)
		act(w, args)
		checkViolations(ts, w)
	}
}

func checkViolations(ts *testscript.TestScript, w *harness) {
	if len(w.violations) > 0 {
		ts.Fatalf("invariants violated: %s", w.violationText())
	}
}

// scriptVMs adds VMs given as name/rack.
func scriptVMs(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(harnessKey{}).(*harness)
	for _, arg := range args {
		name, rack, _ := strings.Cut(arg, "/")
		w.addVM(cyclamendyke.WorkerName(name), rack)
	}
	if w.s != nil {
		w.execute(w.s.SetVMs(w.now, w.vms))
	}
}

func scriptAdvance(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(harnessKey{}).(*harness)
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	w.advance(d)
	checkViolations(ts, w)
}

// scriptFinish ends tasks given as request/index or request/index=exit-code.
func scriptFinish(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(harnessKey{}).(*harness)
	for _, arg := range args {
		text, code, _ := strings.Cut(arg, "=")
		exitCode, _ := strconv.Atoi(code)
		if !w.finish(parseTask(text), exitCode) {
			ts.Fatalf("%s is not running", text)
		}
	}
	checkViolations(ts, w)
}

// scriptWorker sets or clears a worker's fault, named as in setFault, or restarts it.
func scriptWorker(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(harnessKey{}).(*harness)
	f := w.workers[cyclamendyke.WorkerName(args[0])]
	f.setFault(args[1])
	if args[1] == "restart" {
		f.restart()
	}
}

// scriptVMState sets a VM's state in the platform's list: live, leaving or removed.
func scriptVMState(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(harnessKey{}).(*harness)
	var remaining []cyclamendyke.VM
	for _, vm := range w.vms {
		if string(vm.Name) == args[0] {
			vm.State = cyclamendyke.VMState(args[1])
		}
		if vm.State != "removed" {
			remaining = append(remaining, vm)
		}
	}
	w.vms = remaining
	w.execute(w.s.SetVMs(w.now, w.vms))
	checkViolations(ts, w)
}

// scriptUsage reports a task's resource usage: worker, task, then settings as in submit.
func scriptUsage(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(harnessKey{}).(*harness)
	f := w.workers[cyclamendyke.WorkerName(args[0])]
	report := f.report()
	report.Usage = []cyclamendyke.TaskUsage{{Task: parseTask(args[1]), Used: parseJob(args[2:]).PerTask}}
	w.execute(w.s.Renewed(w.now, report, w.now))
	checkViolations(ts, w)
}

// scriptAllotment sets a team's allotment in milli-cores.
func scriptAllotment(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(harnessKey{}).(*harness)
	cores, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	w.allotments[cyclamendyke.TeamName(args[0])] = cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(cores)}
	w.execute(w.s.SetAllotments(w.now, w.allotments))
}

// scriptWant fails unless a command after the last match matches; with ! it fails if one does.
func scriptWant(ts *testscript.TestScript, neg bool, args []string) {
	w := ts.Value(harnessKey{}).(*harness)
	pattern := regexp.MustCompile("^" + strings.Join(args, " ") + "$")
	for i, line := range w.log {
		if !pattern.MatchString(strings.TrimSpace(line)) {
			continue
		}
		if neg {
			ts.Fatalf("unexpected command: %s", line)
		}
		w.log = w.log[i+1:]
		return
	}
	if !neg {
		ts.Fatalf("no match in:\n%s", strings.Join(w.log, "\n"))
	}
}

// scriptWaiting checks the numbers of waiting and running tasks of a request.
func scriptWaiting(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(harnessKey{}).(*harness)
	status, _ := w.s.Status(cyclamendyke.RequestID(args[0]))
	got := strconv.Itoa(status.Waiting) + " " + strconv.Itoa(status.Running)
	if want := args[1] + " " + args[2]; got != want {
		ts.Fatalf("waiting and running: %s, want %s", got, want)
	}
}

// changeTables puts a revision made by tablesWithout in force, then sets the older one, which must be ignored.
func changeTables(w *harness, args []string) {
	older := w.tables
	w.tables = tablesWithout(w, args)
	w.execute(w.s.SetTables(w.now, w.tables))
	w.execute(w.s.SetTables(w.now, older))
}

// tablesWithout returns the next revision, with a named route removed, or with VMs of the given number of cores.
func tablesWithout(w *harness, args []string) *cyclamendyke.Tables {
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

// scriptSummary checks the pool's workers, healthy workers, reserved cores and waiting tasks,
// then a team's reserved and waiting cores.
func scriptSummary(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(harnessKey{}).(*harness)
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

// parseJob parses a request identifier, a team and a kind, and settings as key=value.
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
			job.Resubmitted = strings.Contains(value, "resubmitted")
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
