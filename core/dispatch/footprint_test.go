package dispatch

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"cyclamendyke"
)

// TestWorkflowTakesMoreThanItsFootprint guards the bound on accepted work: it loads workflows of several shapes as a new scheduler does.
func TestWorkflowTakesMoreThanItsFootprint(t *testing.T) {
	step := func(i int) cyclamendyke.Step {
		return cyclamendyke.Step{Count: 1, Need: cores(1), Estimate: time.Second, Label: fmt.Sprint("label-", i%3)}
	}
	for _, test := range []struct {
		name             string
		workflows, steps int
		change           func(step *cyclamendyke.Step, index int)
	}{
		{"small", 2000, 2, func(*cyclamendyke.Step, int) {}},
		{"steps", 4, 20_000, func(*cyclamendyke.Step, int) {}},
		{"chain", 4, 20_000, func(step *cyclamendyke.Step, index int) { step.After = []int{max(0, index-1)} }},
		{"dependencies", 4, 400, func(step *cyclamendyke.Step, index int) {
			for before := range index {
				step.After = append(step.After, before)
			}
		}},
		{"wide", 20, 1, func(step *cyclamendyke.Step, _ int) { step.Count = cyclamendyke.MaxTasks }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var values [][]byte
			for i := range test.workflows {
				w := workflow(fmt.Sprintf("%016x", i))
				for k := range test.steps {
					next := step(k)
					if k > 0 || test.steps == 1 {
						test.change(&next, k)
					}
					w.Steps = append(w.Steps, next)
				}
				value, err := json.Marshal(w)
				if err != nil {
					t.Fatal(err)
				}
				values = append(values, value)
			}
			s := New(Config{Epoch: 1, Bounds: cyclamendyke.Bounds{MaxLease: 10 * time.Second}})
			before := liveBytes()
			for _, value := range values {
				w := &cyclamendyke.Workflow{}
				if err := json.Unmarshal(value, w); err != nil {
					t.Fatal(err)
				}
				s.Submit(w, 1)
			}
			s.Advance(time.Second, time.Now())
			s.releaseDue()
			taken := liveBytes() - before
			t.Logf("%d bytes taken, %d held, %d open", taken, s.HeldBytes(), s.openBytes)
			if taken > s.HeldBytes()+int64(s.openBytes) {
				t.Errorf("%d bytes taken, %d expected", taken, s.HeldBytes()+int64(s.openBytes))
			}
			runtime.KeepAlive(s)
		})
	}
}
