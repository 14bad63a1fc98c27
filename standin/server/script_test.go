package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
)

// callTimeout limits each scripted call, not counting the time for which the call may wait.
const callTimeout = 2 * time.Second

// TestScripts runs each script in process, over HTTP and through the logging wrappers, on a fake clock.
func TestScripts(t *testing.T) {
	text, err := os.ReadFile("testdata/platform.txt")
	if err != nil {
		t.Fatal(err)
	}
	for section := range strings.SplitSeq(string(text), "\n## ") {
		name, body, _ := strings.Cut(section, "\n")
		_, only, restricted := strings.Cut(name, "only ")
		for variant, connect := range map[string]func(*testPlatform, *pipeListener) func(){"in-process": connectInProcess, "http": connectHTTP, "logged": connectLogged} {
			if restricted && only != variant {
				continue
			}
			t.Run(strings.TrimPrefix(name, "## ")+"/"+variant, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runScript(t, body, connect) })
			})
		}
	}
}

func runScript(t *testing.T, body string, connect func(*testPlatform, *pipeListener) func()) {
	is := is.New(t)
	listener := newPipeListener()
	server, err := New(Config{
		Listener: listener,
		Topology: standin.Topology{
			Zones: []cyclamendyke.ZoneName{"z"},
			Pools: []standin.Pool{{Name: "p", Shape: standin.Shape(4, 8, 0), Workers: 2, PerRack: 1}},
		},
		ListLag:  time.Second,
		UsageLag: 5 * time.Second,
		Store:    kv.Config{WritesPerSecond: 20, ReadsPerSecond: 40},
	})
	is.NoErr(err)
	go func() { _ = server.Start(context.Background()) }()
	p := &testPlatform{server: server, listener: listener}
	disconnect := connect(p, listener)
	for line := range strings.Lines(body) {
		command, want, ok := strings.Cut(strings.TrimSpace(line), " => ")
		if !ok {
			continue
		}
		if got := p.runCommand(strings.Fields(command)); got != want {
			t.Errorf("%s\n got %s\nwant %s", command, got, want)
		}
	}
	disconnect()
	is.NoErr(server.Stop(context.Background()))
}

func formatReport(report cyclamendyke.WorkerReport) string {
	text := fmt.Sprintf("sequence=%d", report.Sequence)
	for _, running := range report.Running {
		text += fmt.Sprintf(" running=%s", running.Task)
	}
	for _, finished := range report.Finished {
		text += fmt.Sprintf(" finished=%s:%d:%s:%t", finished.Task, finished.ExitCode, finished.Output, finished.Stopped)
	}
	for _, usage := range report.Usage {
		text += fmt.Sprintf(" usage=%s:%d", usage.Task, usage.Used.Cores)
	}
	return text
}

func formatEntries(entries []cyclamendyke.Entry, revision cyclamendyke.Revision) string {
	text := ""
	for _, entry := range entries {
		if entry.Deleted {
			text += fmt.Sprintf("%s-@%d ", entry.Key, entry.Revision)
			continue
		}
		text += fmt.Sprintf("%s=%s@%d ", entry.Key, entry.Value, entry.Revision)
	}
	return fmt.Sprintf("%sat %d", text, revision)
}

// formatResult returns text, or the kind of the error and the fence that it reports, if any.
func formatResult(text string, err error) string {
	var failure *cyclamendyke.Error
	if !errors.As(err, &failure) {
		return text
	}
	if failure.Fence.IsZero() {
		return string(failure.Kind)
	}
	return fmt.Sprintf("%s (fence %d)", failure.Kind, failure.Fence.Term)
}

func parseInt(text string) int64 {
	parsed, _ := strconv.ParseInt(text, 10, 64)
	return parsed
}

func parseDuration(text string) time.Duration {
	parsed, _ := time.ParseDuration(text)
	return parsed
}

func mustDecode[T any](text string) T {
	var value T
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		panic(err)
	}
	return value
}
