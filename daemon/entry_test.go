package daemon

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/io/peer"
)

// readRows returns the lines of a data file as pairs: the words before the arrow and the text after
// it.
func readRows(t *testing.T, name string) [][2]string {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	var found [][2]string
	for line := range strings.Lines(string(data)) {
		before, after, ok := strings.Cut(strings.TrimSpace(line), "=> ")
		if ok && !strings.HasPrefix(line, "#") {
			found = append(found, [2]string{strings.TrimSpace(before), after})
		}
	}
	return found
}

// scriptedScheduler gives its answers in order and repeats the last one.
type scriptedScheduler struct {
	answers        []string
	lastJob        cyclamendyke.Job
	lastHadOutcome bool // The last call returned an outcome.
}

func (s *scriptedScheduler) submit(_ context.Context, _ cyclamendyke.ZoneName, job cyclamendyke.Job) (cyclamendyke.Outcome, error) {
	s.lastJob = job
	answer := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	verdict, detail, _ := strings.Cut(answer, ":")
	s.lastHadOutcome = verdict != "error"
	if verdict != "error" {
		return cyclamendyke.Outcome{Request: job.Request, Verdict: cyclamendyke.Verdict(verdict), Reason: cyclamendyke.Reason(detail)}, nil
	}
	kinds := map[string]cyclamendyke.Kind{
		"not-scheduler": peer.KindNotScheduler,
		"unavailable":   cyclamendyke.KindUnavailable,
		"unknown":       cyclamendyke.KindUnknown,
	}
	return cyclamendyke.Outcome{}, peer.NewError("submit", kinds[detail], nil)
}

func TestForwardOutcome(t *testing.T) {
	for _, row := range readRows(t, "entry.txt") {
		t.Run(row[0], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				script := &scriptedScheduler{answers: strings.Fields(row[0])}
				var recorded []cyclamendyke.Outcome
				outcome := newForwarder("z", script, newMetrics(), appendOutcome(&recorded)).forward(t.Context(), cyclamendyke.Job{Request: "z-1"})
				got := strings.Join(strings.Fields(fmt.Sprintf("%s %s resubmitted=%t", outcome.Verdict, outcome.Reason, script.lastJob.Resubmitted)), " ")
				is.Equal(got, row[1])
				is.Equal(outcome.Request, cyclamendyke.RequestID("z-1"))
				if script.lastHadOutcome {
					is.Equal(len(recorded), 0) // the scheduler records its own outcomes
					return
				}
				is.Equal(recorded, []cyclamendyke.Outcome{outcome})
			})
		})
	}
}

// appendOutcome returns a callback that appends the outcomes of given-up requests to recorded.
func appendOutcome(recorded *[]cyclamendyke.Outcome) func(cyclamendyke.Job, cyclamendyke.Outcome) {
	return func(_ cyclamendyke.Job, outcome cyclamendyke.Outcome) { *recorded = append(*recorded, outcome) }
}

// TestForwardCallerDeadline checks that a request is answered at once when the caller's deadline
// passes, and is "not run" only if nothing was sent.
func TestForwardCallerDeadline(t *testing.T) {
	for answer, verdict := range map[string]cyclamendyke.Verdict{
		"error:not-scheduler": cyclamendyke.VerdictNotRun,
		"error:unknown":       cyclamendyke.VerdictMayHaveRun,
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			start := time.Now()
			outcome := newForwarder("z", &scriptedScheduler{answers: []string{answer}}, newMetrics(), appendOutcome(new([]cyclamendyke.Outcome))).forward(ctx, cyclamendyke.Job{Request: "z-1"})
			is.Equal(outcome.Verdict, verdict)
			is.Equal(outcome.Reason, cyclamendyke.ReasonDeadline)
			is.Equal(time.Since(start), time.Second) // exactly at the deadline
		})
	}
}

// TestRetryBudget checks that the retry budget stops many requests from retrying against a peer
// that refuses connections.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder("z", &scriptedScheduler{answers: []string{"error:unavailable"}}, newMetrics(), appendOutcome(new([]cyclamendyke.Outcome)))
		overloaded := 0
		for range 2 * retryBudgetBurst {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			if f.forward(ctx, cyclamendyke.Job{Request: "z-1"}).Reason == cyclamendyke.ReasonOverload {
				overloaded++
			}
			cancel()
		}
		is.True(overloaded > retryBudgetBurst/2)
	})
}

func TestHomeZone(t *testing.T) {
	tables := &cyclamendyke.Tables{Pools: map[cyclamendyke.PoolName]cyclamendyke.Pool{
		"main": {Name: "main", Shape: cyclamendyke.Resources{Cores: 8000}, Zones: []cyclamendyke.ZoneName{"a", "b", "c"}},
	}}
	route := cyclamendyke.Route{Pools: []cyclamendyke.PoolName{"main"}}
	for _, row := range readRows(t, "homezone.txt") {
		t.Run(row[0], func(t *testing.T) {
			is := is.New(t)
			d := &Daemon{member: cyclamendyke.Member{Zone: "b"}, directory: newDirectory()}
			words := strings.Fields(row[0])
			tasks, err := strconv.Atoi(strings.TrimPrefix(words[0], "tasks="))
			is.NoErr(err)
			for _, word := range words[1:] {
				d.directory.update(loadedScheduler(t, word), time.Now())
			}
			job := cyclamendyke.Job{Tasks: tasks, PerTask: cyclamendyke.Resources{Cores: 1000}}
			is.Equal(string(d.homeZone(tables, route, job)), row[1])
		})
	}
}

// loadedScheduler parses zone:workers:free-tasks:waiting, optionally followed by :stopping.
func loadedScheduler(t *testing.T, word string) cyclamendyke.MemberState {
	t.Helper()
	fields := strings.Split(word, ":")
	numbers := make([]int, 0, 3)
	for _, field := range fields[1:4] {
		number, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		numbers = append(numbers, number)
	}
	return cyclamendyke.MemberState{
		Member:     cyclamendyke.Member{Name: cyclamendyke.MemberName(fields[0]), Zone: cyclamendyke.ZoneName(fields[0])},
		Scheduling: true,
		Stopping:   len(fields) > 4,
		Pools: map[cyclamendyke.PoolName]cyclamendyke.PoolState{
			"main": {Workers: numbers[0], Capacity: cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(1000 * numbers[1])}, Waiting: numbers[2]},
		},
	}
}
