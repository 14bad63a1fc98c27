package dispatch

import (
	"fmt"
	"time"

	"cyclamendyke"
)

// crashingTasks says which tasks crash the VMs that start them.
type crashingTasks struct {
	after    func(cyclamendyke.TaskName) time.Duration // Time from its start to the crash; zero if there is none.
	replaced bool                                      // The VM comes back under another identifier.
	broken   bool                                      // The crash cuts off the connections.
	downFor  time.Duration
}

// maxStartsAfterThirdCrash is the number of starts after three crashes that breaks the rule.
const maxStartsAfterThirdCrash = 3

// crashTasks makes the tasks with index 0 of a workflow's first step crash their VMs.
func (sim *simulation) crashTasks(after time.Duration, ids ...cyclamendyke.WorkflowID) {
	crashes := map[cyclamendyke.WorkflowID]bool{}
	for _, id := range ids {
		crashes[id] = true
	}
	sim.crashing.downFor = 3 * time.Second
	sim.crashing.after = func(name cyclamendyke.TaskName) time.Duration {
		if crashes[name.Workflow] && name.Index == 0 && name.Step == 0 {
			return after
		}
		return 0
	}
}

// crashUnder lets a run that has begun crash its VM if its task does so, and checks how often it was started.
func (sim *simulation) crashUnder(v *vm, name cyclamendyke.TaskName, r *vmRun, history *taskHistory) {
	if sim.crashing.after == nil || sim.crashing.after(name) == 0 {
		return
	}
	if history.crashes >= 3 {
		history.startsTooMany++
	}
	if history.startsTooMany == maxStartsAfterThirdCrash {
		sim.reportViolation("%v was started three times more after three crashes", name)
	}
	sim.after(sim.crashing.after(name), func() {
		if v.runs[name] == r {
			history.crashes++
			sim.crashAndReturn(v)
		}
	})
}

// crashAndReturn crashes a VM, which is back after a while.
func (sim *simulation) crashAndReturn(v *vm) {
	sim.crash(v)
	if broken := v.breakConnection; sim.crashing.broken && broken != nil {
		v.breakConnection = nil
		sim.after(simLatency, broken)
	}
	sim.after(sim.crashing.downFor, func() {
		switch {
		case !v.down:
		case sim.crashing.replaced:
			sim.replace(v)
		default:
			sim.boot(v)
		}
	})
}

// replace brings a VM back at its address under another identifier.
func (sim *simulation) replace(v *vm) {
	v.replaced = true
	next := v.info
	next.ID = cyclamendyke.TargetID(fmt.Sprint(v.info.ID, "+"))
	sim.addVM(next)
	sim.removeDescription(v)
}

// crashesUnderBad returns how many VMs the tasks of the workflow "bad" have crashed.
func (sim *simulation) crashesUnderBad() int {
	sum := 0
	for name, history := range sim.history {
		if name.Workflow == "bad" {
			sum += history.crashes
		}
	}
	return sum
}
