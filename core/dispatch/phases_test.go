package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// latePhases elects a scheduler and returns a map to which the phases of late workflows are added.
func latePhases(sim *simulation) map[cyclamendyke.WorkflowID]Decision {
	late := map[cyclamendyke.WorkflowID]Decision{}
	sim.elect()
	sim.sched.cfg.LogDecision = func(d Decision) {
		if d.Event == EventLate {
			late[d.Workflow] = d
		}
	}
	return late
}

// mainPhase returns the phase other than run in which a late workflow spent the most time, and checks
// that all phases together took as long as the workflow.
func mainPhase(t *testing.T, late Decision) string {
	t.Helper()
	_, phases, _ := strings.Cut(late.Reason, ": ")
	longest, sum := time.Duration(0), time.Duration(0)
	name := ""
	for _, part := range strings.Split(phases, ", ") {
		phase, text, _ := strings.Cut(part, " ")
		spent, err := time.ParseDuration(text)
		if err != nil {
			t.Fatalf("phases %q: %v", late.Reason, err)
		}
		sum += spent
		if phase != "run" && spent > longest {
			name, longest = phase, spent
		}
	}
	if missing := late.Age - sum; missing < -20*time.Millisecond || missing > 20*time.Millisecond {
		t.Errorf("phases %q: took %v, the workflow %v", late.Reason, sum, late.Age)
	}
	return name
}

// lateCase makes a workflow of one task late for one cause.
type lateCase struct {
	estimate time.Duration         // Run time of the task.
	occupy   func(sim *simulation) // Before the workflow is submitted.
	release  func(sim *simulation) // Some time later, if it is set.
}

func lateCases() map[string]lateCase {
	const short = 300 * time.Millisecond
	return map[string]lateCase{
		"room": {estimate: short, occupy: func(sim *simulation) {
			sim.submit(workflow("filling", cyclamendyke.Step{Count: 4, Need: cores(16), Estimate: 4 * time.Second}))
		}},
		"claimed": {estimate: 4 * time.Second, occupy: func(sim *simulation) {
			sim.submit(workflow("half", cyclamendyke.Step{Count: 4, Need: cores(8), Estimate: 20 * time.Second}))
			sim.run(time.Second)
			sim.submit(workflow("gang", cyclamendyke.Step{Count: 4, Gang: true, Need: cores(16), Estimate: time.Second, MaxPerTarget: 1}))
			sim.run(14 * time.Second)
		}},
		"limit": {estimate: short, occupy: func(sim *simulation) {
			sim.fleet.Teams = []cyclamendyke.TeamConfig{{Team: "t", Weight: 1, Limit: cores(16)}}
			sim.sched.Configure(sim.fleet)
			sim.submit(workflow("limited", cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: 4 * time.Second}))
		}},
		"disallowed": {estimate: short, occupy: func(sim *simulation) {
			sim.submit(workflow("filling", cyclamendyke.Step{Count: 1, Need: cores(16), Estimate: 4 * time.Second}))
			sim.run(100 * time.Millisecond)
			filled := map[cyclamendyke.TargetID]bool{}
			for id, v := range sim.vms {
				filled[id] = len(v.runs) > 0
			}
			sim.adviceAllows = func(_ cyclamendyke.StepName, id cyclamendyke.TargetID) bool { return filled[id] }
		}},
		"advice": {
			estimate: short,
			occupy:   func(sim *simulation) { sim.sched.SetAdvisers(nil) },
			release:  func(sim *simulation) { sim.sched.SetAdvisers(memberNames(sim.members)) },
		},
	}
}

// TestLateWorkflowNamesItsCause makes a workflow late for one cause after the other; the log must tell
// them apart.
func TestLateWorkflowNamesItsCause(t *testing.T) {
	for name, c := range lateCases() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := unlimitedFleet(t)
			late := latePhases(sim)
			sim.run(100 * time.Millisecond)
			c.occupy(sim)
			sim.run(200 * time.Millisecond)
			sim.submit(workflow("late", cyclamendyke.Step{Count: 1, Need: cores(8), Estimate: c.estimate}))
			sim.run(3 * time.Second)
			if c.release != nil {
				c.release(sim)
			}
			sim.run(12 * time.Second)
			is.Equal(mainPhase(t, late["late"]), name)
		})
	}
}

// TestLateWorkflowOfEarlierEpoch lets another scheduler be elected while a workflow waits; the time before
// must be told apart from what the new one does.
func TestLateWorkflowOfEarlierEpoch(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	sim.elect()
	sim.submit(workflow("filling", cyclamendyke.Step{Count: 4, Need: cores(16), Estimate: 4 * time.Second}))
	sim.run(100 * time.Millisecond)
	sim.submit(workflow("late", cyclamendyke.Step{Count: 1, Need: cores(8), Estimate: 300 * time.Millisecond}))
	sim.run(3 * time.Second)
	late := latePhases(sim)
	sim.run(8 * time.Second)
	is.Equal(mainPhase(t, late["late"]), "earlier")
}

// TestWorkflowOnTimeIsNotLate runs a workflow on a free fleet; no line may call it late.
func TestWorkflowOnTimeIsNotLate(t *testing.T) {
	is := is.New(t)
	sim := unlimitedFleet(t)
	late := latePhases(sim)
	sim.submit(workflow("short", cyclamendyke.Step{Count: 1, Need: cores(8), Estimate: 300 * time.Millisecond}))
	sim.run(2 * time.Second)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 1)
	is.Equal(len(late), 0)
}
