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
			"vms":             scriptVMs,
			"takeover":        onHarness(func(h *harness, _ []string) { h.takeOver() }),
			"submit":          onHarness(func(h *harness, args []string) { h.submit(parseJob(args)) }),
			"cancel":          onHarness(func(h *harness, args []string) { h.execute(h.s.Cancel(h.now, cyclamendyke.RequestID(args[0]))) }),
			"tick":            onHarness(func(h *harness, _ []string) { h.execute(h.s.Tick(h.now)) }),
			"advance":         scriptAdvance,
			"finish":          scriptFinish,
			"worker":          scriptWorker,
			"vm-state":        scriptVMState,
			"usage":           scriptUsage,
			"store":           onHarness(func(h *harness, args []string) { h.persistResult = cyclamendyke.PersistResult(args[0]) }),
			"allotment":       scriptAllotment,
			"lose-authority":  onHarness(func(h *harness, _ []string) { h.execute(h.s.SetAuthority(h.now, cyclamendyke.Authority{})) }),
			"baseline":        onHarness(func(h *harness, _ []string) { h.cfg.Policies = policy.Baseline() }),
			"tables":          onHarness(changeTables),
			"next-tables":     onHarness(func(h *harness, args []string) { h.tables = nextTables(h, args) }),
			"summary":         scriptSummary,
			"want":            scriptWant,
			"waiting-running": scriptWaitingRunning,
		},
	})
}

type harnessKey struct{}

func onHarness(act func(*harness, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		h := ts.Value(harnessKey{}).(*harness)
		act(h, args)
		checkViolations(ts, h)
	}
}

func checkViolations(ts *testscript.TestScript, h *harness) {
	if len(h.violations) > 0 {
		ts.Fatalf("invariants violated: %s", h.violationText())
	}
}

// scriptVMs adds VMs given as name/rack.
func scriptVMs(ts *testscript.TestScript, _ bool, args []string) {
	h := ts.Value(harnessKey{}).(*harness)
	for _, arg := range args {
		name, rack, _ := strings.Cut(arg, "/")
		h.addVM(cyclamendyke.WorkerName(name), rack)
	}
	if h.s != nil {
		h.execute(h.s.SetVMs(h.now, h.vms))
	}
}

func scriptAdvance(ts *testscript.TestScript, _ bool, args []string) {
	h := ts.Value(harnessKey{}).(*harness)
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	h.advance(d)
	checkViolations(ts, h)
}

// scriptFinish ends tasks given as request/index or request/index=exit-code.
func scriptFinish(ts *testscript.TestScript, _ bool, args []string) {
	h := ts.Value(harnessKey{}).(*harness)
	for _, arg := range args {
		text, code, _ := strings.Cut(arg, "=")
		exitCode, _ := strconv.Atoi(code)
		if !h.finish(parseTask(text), exitCode) {
			ts.Fatalf("%s is not running", text)
		}
	}
	checkViolations(ts, h)
}

// scriptWorker sets or clears a worker's fault, named as in setFault, or restarts it.
func scriptWorker(ts *testscript.TestScript, _ bool, args []string) {
	h := ts.Value(harnessKey{}).(*harness)
	f := h.workers[cyclamendyke.WorkerName(args[0])]
	f.setFault(args[1])
	if args[1] == "restart" {
		f.restart()
	}
}

// scriptVMState sets a VM's state in the platform's list: live, leaving or removed.
func scriptVMState(ts *testscript.TestScript, _ bool, args []string) {
	h := ts.Value(harnessKey{}).(*harness)
	var remaining []cyclamendyke.VM
	for _, vm := range h.vms {
		if string(vm.Name) == args[0] {
			vm.State = cyclamendyke.VMState(args[1])
		}
		if vm.State != "removed" {
			remaining = append(remaining, vm)
		}
	}
	h.vms = remaining
	h.execute(h.s.SetVMs(h.now, h.vms))
	checkViolations(ts, h)
}

// scriptUsage reports a task's resource usage, given as worker, task and settings as in submit.
func scriptUsage(ts *testscript.TestScript, _ bool, args []string) {
	h := ts.Value(harnessKey{}).(*harness)
	f := h.workers[cyclamendyke.WorkerName(args[0])]
	report := f.report()
	report.Usage = []cyclamendyke.TaskUsage{{Task: parseTask(args[1]), Used: parseJob(args[2:]).PerTask}}
	h.execute(h.s.Renewed(h.now, report, h.now))
	checkViolations(ts, h)
}

// scriptAllotment sets a team's allotment in milli-cores.
func scriptAllotment(ts *testscript.TestScript, _ bool, args []string) {
	h := ts.Value(harnessKey{}).(*harness)
	cores, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	h.allotments[cyclamendyke.TeamName(args[0])] = cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(cores)}
	h.execute(h.s.SetAllotments(h.now, h.allotments))
}

// scriptWant fails unless a command logged after the previous match matches the pattern; with ! it
// fails if one does.
func scriptWant(ts *testscript.TestScript, neg bool, args []string) {
	h := ts.Value(harnessKey{}).(*harness)
	pattern := regexp.MustCompile("^" + strings.Join(args, " ") + "$")
	for i, line := range h.log {
		if !pattern.MatchString(strings.TrimSpace(line)) {
			continue
		}
		if neg {
			ts.Fatalf("unexpected command: %s", line)
		}
		h.log = h.log[i+1:]
		return
	}
	if !neg {
		ts.Fatalf("no match in:\n%s", strings.Join(h.log, "\n"))
	}
}

// scriptWaitingRunning checks the numbers of waiting and running tasks of a request.
func scriptWaitingRunning(ts *testscript.TestScript, _ bool, args []string) {
	h := ts.Value(harnessKey{}).(*harness)
	status, _ := h.s.Status(cyclamendyke.RequestID(args[0]))
	got := strconv.Itoa(status.Waiting) + " " + strconv.Itoa(status.Running)
	if want := args[1] + " " + args[2]; got != want {
		ts.Fatalf("waiting and running: %s, want %s", got, want)
	}
}

// changeTables puts the revision that nextTables returns in force, then sets the older one, which must be ignored.
func changeTables(h *harness, args []string) {
	older := h.tables
	h.tables = nextTables(h, args)
	h.execute(h.s.SetTables(h.now, h.tables))
	h.execute(h.s.SetTables(h.now, older))
}

// nextTables returns the next revision of the test tables; an argument is the name of a route
// to remove, or the number of cores of each VM.
func nextTables(h *harness, args []string) *cyclamendyke.Tables {
	changed := testTables()
	changed.Revision = h.tables.Revision + 1
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
	h := ts.Value(harnessKey{}).(*harness)
	healthy := 0
	for _, state := range h.s.Workers() {
		if state.Healthy && state.Claimed && state.BackOff == 0 {
			healthy++
		}
	}
	p := h.s.Summary()["p"]
	demand := h.s.Demand()[cyclamendyke.TeamName(args[0])]
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
	var positional []string
	for _, arg := range args {
		key, value, found := strings.Cut(arg, "=")
		number, _ := strconv.ParseInt(value, 10, 64)
		switch {
		case !found:
			positional = append(positional, arg)
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
	if len(positional) == 3 {
		job.Request = cyclamendyke.RequestID(positional[0])
		job.Team = cyclamendyke.TeamName(positional[1])
		job.Route = cyclamendyke.RouteName(positional[2])
		job.Kind = cyclamendyke.JobKind(positional[2])
	}
	return job
}
