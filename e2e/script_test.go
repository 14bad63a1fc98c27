package e2e_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"text/template"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"cyclamendyke"
	"cyclamendyke/client"
	"cyclamendyke/daemon"
	"cyclamendyke/standin/server"
)

const (
	operatorKey      = "operator"
	maxParallelCells = 4
	stateTimeout     = 60 * time.Second // Limit of a wait for a state; no test checks how long the wait took.
	pollInterval     = 100 * time.Millisecond
	// scriptsTimeout kills hanging processes, so that the script that waits for them fails.
	scriptsTimeout = 4 * time.Minute
)

// daemons names the daemons for which setUp writes settings files; the first two characters are the
// zone.
var daemons = []string{"z1-a", "z1-b", "z2-a", "z2-b"}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cyclamendyke":          func() { os.Exit(int(client.Main())) },
		"cyclamendyked":         func() { os.Exit(daemon.Main(os.Args[1:], os.Stderr)) },
		"cyclamendyke-platform": func() { os.Exit(server.Main(os.Args[1:], os.Stderr)) },
	})
}

// TestScripts runs the scripts; each starts the processes that it needs, with the settings files
// that setUp writes.
func TestScripts(t *testing.T) {
	cells := make(chan struct{}, maxParallelCells)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
		Deadline:            time.Now().Add(scriptsTimeout),
		Setup: func(env *testscript.Env) error {
			cells <- struct{}{}
			env.Defer(func() { <-cells })
			return setUp(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ready":            waitReady,
			"exits":            checkExitCode,
			"until":            pollUntil,
			"capture":          captureStdout,
			"post":             postToPlatform,
			"signal":           signalProcess,
			"runs":             checkRunCount,
			"check-invariants": checkInvariants,
		},
	})
}

var settingsTemplate = template.Must(template.New("settings").Parse(`[member]
name = {{.Name}}
zone = {{.Zone}}
region = test

[listen]
peer = {{.Peer}}
http = {{.HTTP}}

[platform]
store = {{.Platform}}
vm-list = {{.Platform}}

[operator]
key-hash = {{.Hash}}

[scheduler]
store-lease = 2s
session = 6s
task = 15s
hold = 1s
`))

// setUp writes the tables and the settings files of two daemons in each of the zones z1 and z2, and sets
// environment variables to their addresses.
func setUp(env *testscript.Env) error {
	addresses := freeAddresses(9)
	platform, addresses := addresses[0], addresses[1:]
	for i, name := range daemons {
		values := struct{ Name, Zone, Peer, HTTP, Platform, Hash string }{
			Name:     name,
			Zone:     name[:2],
			Peer:     addresses[2*i],
			HTTP:     addresses[2*i+1],
			Platform: platform,
			Hash:     fmt.Sprintf("%x", sha256.Sum256([]byte(operatorKey))),
		}
		var text bytes.Buffer
		if err := settingsTemplate.Execute(&text, values); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(env.WorkDir, name+".ini"), text.Bytes(), 0o600); err != nil {
			return err
		}
		env.Setenv(fmt.Sprintf("ENTRY%d", i+1), values.HTTP)
	}
	for _, table := range []string{"routes.ini", "pools.ini"} {
		text, err := os.ReadFile(filepath.Join("testdata", table))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(env.WorkDir, table), text, 0o600); err != nil {
			return err
		}
	}
	env.Setenv("GORACE", "atexit_sleep_ms=0") // With the race detector, each process would sleep for a second before it exits.
	env.Setenv("PLATFORM", platform)
	env.Setenv("CYCLAMENDYKE_ENTRY", addresses[1]+","+addresses[3])
	env.Setenv("CYCLAMENDYKE_OPERATOR_KEY", operatorKey)
	return nil
}

// Test ports lie below the ephemeral range, so that no outgoing connection takes one.
const (
	firstPort = 20_000
	portCount = 12_000
)

// portsTried counts the ports that this process has tried. Other test processes start at another
// offset, which depends on the process ID.
var portsTried atomic.Uint32

// freeAddresses returns local addresses on which nothing listens.
func freeAddresses(count int) []string {
	addresses := make([]string, 0, count)
	for len(addresses) < count {
		offset := os.Getpid()*97 + int(portsTried.Add(1))
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		addresses = append(addresses, address)
	}
	return addresses
}

// waitReady implements "ready ZONE...", which puts the tables into force, waits until each zone accepts
// work, and grants team a the key that the following commands use.
func waitReady(ts *testscript.TestScript, _ bool, zones []string) {
	pollUntil(ts, false, []string{"^revision", "tables", "edit", "--routes", "routes.ini", "--pools", "pools.ini"})
	for _, zone := range zones {
		pollUntil(ts, false, []string{zone + " .* scheduler", "nodes", "members"})
		pollUntil(ts, false, []string{"main-001 .* ready", "nodes", "workers", "--zone", zone})
	}
	checkExitCode(ts, false, []string{"0", "keys", "grant", "a"})
	captureStdout(ts, false, []string{"CYCLAMENDYKE_KEY", `^key +(\S+)$`})
	pollUntil(ts, false, []string{"ran", "submit", "--route", "work", "--retry-for", "20s"})
}

// checkExitCode implements "exits CODE ARGUMENT...", which runs the client and checks its exit code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	if code := runClient(ts, args[1:]); strconv.Itoa(code) != args[0] {
		ts.Fatalf("got exit code %d, want %s", code, args[0])
	}
}

func runClient(ts *testscript.TestScript, args []string) int {
	err := ts.Exec("cyclamendyke", args...)
	var exitErr *exec.ExitError
	switch {
	case errors.As(err, &exitErr):
		return exitErr.ExitCode()
	case err != nil:
		ts.Fatalf("%v", err)
	}
	return 0
}

// pollUntil implements "until PATTERN ARGUMENT...", which repeats a client command until its output
// matches.
func pollUntil(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile("(?m)" + args[0])
	for deadline := time.Now().Add(stateTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		runClient(ts, args[1:])
		if pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("timed out before the output matched %q", args[0])
}

// captureStdout implements "capture VARIABLE PATTERN", which sets a variable to the pattern's first
// group in the last output.
func captureStdout(ts *testscript.TestScript, _ bool, args []string) {
	match := regexp.MustCompile("(?m)" + args[1]).FindStringSubmatch(ts.ReadFile("stdout"))
	if match == nil {
		ts.Fatalf("the output does not match %q", args[1])
	}
	ts.Setenv(args[0], match[1])
}

// postToPlatform implements "post PATH BODY", which changes the state of the platform stand-in.
func postToPlatform(ts *testscript.TestScript, _ bool, args []string) {
	response, err := http.Post("http://"+ts.Getenv("PLATFORM")+args[0], "application/json", bytes.NewBufferString(args[1]))
	ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("the stand-in answered %s", response.Status)
	}
}

// signalProcess implements "signal NAME FILE", which signals the process whose ID is in the file.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	pid, err := strconv.Atoi(strings.TrimSpace(ts.ReadFile(args[1])))
	ts.Check(err)
	ts.Check(syscall.Kill(pid, signals[args[0]]))
}

// checkRunCount implements "runs COUNT PAYLOAD", which checks how many tasks with the payload were
// started on all workers.
func checkRunCount(ts *testscript.TestScript, _ bool, args []string) {
	var reply struct{ Runs int }
	getJSON(ts, "/runs?payload="+url.QueryEscape(args[1]), &reply)
	if strconv.Itoa(reply.Runs) != args[0] {
		ts.Fatalf("%d tasks were started, want %s", reply.Runs, args[0])
	}
}

// checkInvariants implements "check-invariants", which checks that no task ran in two places and that no
// reachable daemon reports an invariant violation.
func checkInvariants(ts *testscript.TestScript, _ bool, _ []string) {
	var reply struct{ Doubled []cyclamendyke.TaskID }
	getJSON(ts, "/counts", &reply)
	if len(reply.Doubled) > 0 {
		ts.Fatalf("tasks ran in two places: %v", reply.Doubled)
	}
	for i := range daemons {
		response, err := http.Get("http://" + ts.Getenv(fmt.Sprintf("ENTRY%d", i+1)) + "/metrics")
		if err != nil {
			continue
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		ts.Check(err)
		if violation := violationPattern.Find(text); violation != nil {
			ts.Fatalf("%s: %s", daemons[i], violation)
		}
	}
}

var violationPattern = regexp.MustCompile(`(?m)^cyclamendyke_invariant_violations_total\{.*\} [^0].*$`)

func getJSON(ts *testscript.TestScript, path string, reply any) {
	response, err := http.Get("http://" + ts.Getenv("PLATFORM") + path)
	ts.Check(err)
	defer response.Body.Close()
	ts.Check(json.NewDecoder(response.Body).Decode(reply))
}
