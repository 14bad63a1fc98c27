package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestRemainingFollowsProgress checks the time that a run is expected to go on against the progress
// that its target reports.
func TestRemainingFollowsProgress(t *testing.T) {
	const start = time.Hour
	tests := []struct {
		name     string
		estimate time.Duration
		first    int // Percentage at the start.
		percent  int // Percentage after two seconds.
		after    time.Duration
		want     time.Duration
	}{
		{name: "without progress by the estimate", estimate: 5 * time.Second, percent: 0, after: 2 * time.Second, want: 3 * time.Second},
		{name: "half done", estimate: time.Second, percent: 50, after: 2 * time.Second, want: 2 * time.Second},
		{name: "half done a while ago", estimate: time.Second, percent: 50, after: 3 * time.Second, want: time.Second},
		{name: "resumed at half", estimate: time.Second, first: 50, percent: 75, after: 2 * time.Second, want: 2 * time.Second},
		{name: "overdue by the estimate", estimate: time.Second, percent: 0, after: 4 * time.Second, want: 3 * time.Second},
		{name: "overdue by its progress", estimate: 3 * time.Second, percent: 90, after: 4 * time.Second, want: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			step := &stepRun{spec: &cyclamendyke.Step{Estimate: test.estimate}}
			r := &run{step: step, target: &target{}, startedAt: start}
			r.progress.begin(test.first, start)
			r.progress.report(test.percent, start+2*time.Second)
			is.Equal(r.remaining(start+test.after), test.want)
		})
	}
}

// TestAdoptedRunCountsAsJustBegun guards against a run of an earlier epoch, or one from a checkpoint, that is said to work certainly for most
// of a whole run time from now on: it may be done in a moment, and if its target falls silent then, it would run twice.
func TestAdoptedRunCountsAsJustBegun(t *testing.T) {
	const start, estimate = time.Hour, 10 * time.Second
	for _, test := range []struct {
		name    string
		run     run
		percent int
		want    time.Duration // From the start on.
	}{
		{name: "seen from its beginning", want: 7 * time.Second},
		{name: "adopted near its end", run: run{adopted: true}, percent: 90, want: 700 * time.Millisecond},
		{name: "adopted at its beginning", run: run{adopted: true}, want: 7 * time.Second},
		{name: "resumed, not reported yet", run: run{resumed: true}},
		{name: "resumed near its end", run: run{resumed: true}, percent: 80, want: 1400 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := test.run
			r.step, r.target, r.startedAt = &stepRun{spec: &cyclamendyke.Step{Estimate: estimate}}, &target{}, start
			r.progress.begin(test.percent, start)
			is.Equal(r.worksUntil()-start, test.want)
		})
	}
}

// TestNoCopyOfProgressingRun lets a run take three times its estimate while it reports steady
// progress; no copy may take room for it, since a copy would end no sooner.
func TestNoCopyOfProgressingRun(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.runTime = func(cyclamendyke.TaskName, *vm) time.Duration { return 1500 * time.Millisecond }
	sim.elect()
	sim.submit(workflow("slow", cyclamendyke.Step{Count: 2, Speculative: true, Need: cores(4), Estimate: 500 * time.Millisecond}))
	sim.run(3 * time.Second)
	is.Equal(sim.starts, 2)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
}
