package client_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"cyclamendyke"
	"cyclamendyke/client"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cyclamendyke": func() { os.Exit(int(client.Main())) },
	})
}

// TestScripts runs each script with the real client, two fake entry VMs, $ENTRY and $ENTRY_B, and an
// address on which nothing listens, $CLOSED.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
		Setup:               setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"inject": injectBehavior,
			"calls":  checkCalls,
			"exits":  checkExitCode,
		},
	})
}

type fakeEntryKey struct{}

func setUp(env *testscript.Env) error {
	a, b := newFakeEntry("a"), newFakeEntry("b")
	env.Defer(a.Close)
	env.Defer(b.Close)
	closed := closedAddress()
	examples, err := filepath.Abs("../examples")
	if err != nil {
		return err
	}
	a.reachable = []cyclamendyke.Member{{Name: "b", Zone: "zone-2", HTTP: b.address()}}
	a.events = []cyclamendyke.TimelineEvent{
		{At: at(1), Member: "a", Kind: cyclamendyke.EventRoleLost, Epoch: cyclamendyke.Epoch{Term: 2, Owner: "a"}},
		{At: at(3), Member: "a", Kind: cyclamendyke.EventAdopted, Request: "zone-1-01", Task: 1, Worker: "w-1", Team: "a"},
	}
	b.events = []cyclamendyke.TimelineEvent{
		{At: at(2), Member: "b", Kind: cyclamendyke.EventRoleTaken, Epoch: cyclamendyke.Epoch{Term: 3, Owner: "b"}, Detail: "lease lapsed"},
	}
	env.Values[fakeEntryKey{}] = a
	env.Vars = append(env.Vars,
		"GORACE=atexit_sleep_ms=0", // With the race detector, each process would sleep for a second before it exits.
		"EXAMPLES="+examples,
		"ENTRY="+a.address(),
		"ENTRY_B="+b.address(),
		"CLOSED="+closed,
		"CYCLAMENDYKE_ENTRY="+a.address(),
		"CYCLAMENDYKE_KEY=cyk-1-good",
		"CYCLAMENDYKE_OPERATOR_KEY=operator",
	)
	return nil
}

func at(millis int) cyclamendyke.Timestamp {
	return cyclamendyke.Timestamp{Wall: fakeTime.Add(time.Duration(millis) * time.Millisecond)}
}

// checkExitCode implements "exits CODE ARGUMENT...", which runs the client and checks its exit code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("cyclamendyke", args[1:]...)
	code := 0
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		code = exitErr.ExitCode()
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("got exit code %d, want %s", code, args[0])
	}
}

// injectBehavior implements "inject NAME", which injects a behavior into one call of $ENTRY; "inject
// unreachable-member" makes $ENTRY list an unreachable member from then on.
func injectBehavior(ts *testscript.TestScript, _ bool, args []string) {
	fake := ts.Value(fakeEntryKey{}).(*fakeEntry)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if args[0] == "unreachable-member" {
		fake.unreachable = []cyclamendyke.Member{{Name: "c", Zone: "zone-2", HTTP: ts.Getenv("CLOSED")}}
		return
	}
	fake.behaviors[args[0]]++
}

// checkCalls implements "calls 'METHOD PATH'...", which checks the calls that $ENTRY received since
// the last check.
func checkCalls(ts *testscript.TestScript, _ bool, args []string) {
	fake := ts.Value(fakeEntryKey{}).(*fakeEntry)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if got, want := fmt.Sprintf("%q", fake.calls), fmt.Sprintf("%q", args); got != want {
		ts.Fatalf("got calls %s, want %s", got, want)
	}
	fake.calls = nil
}
