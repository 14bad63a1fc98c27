package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamendyke"
)

// drawStep draws a step of any kind.
func drawStep(rt *rapid.T) cyclamendyke.Step {
	step := cyclamendyke.Step{
		Count:    rapid.IntRange(1, 12).Draw(rt, "count"),
		Need:     cores(rapid.SampledFrom([]int64{4, 8, 16}).Draw(rt, "cores")),
		Estimate: time.Duration(rapid.IntRange(200, 4000).Draw(rt, "estimate")) * time.Millisecond,
	}
	switch rapid.IntRange(0, 5).Draw(rt, "kind") {
	case 0:
		step.Gang = true
	case 1:
		step.Checkpoints = true
	case 2:
		step.Speculative = true
	case 3:
		step.MaxPerTarget = 2
	case 4:
		step.Gang, step.Checkpoints = true, true
	}
	return step
}

// TestEvacuationsUnderLoad evacuates zones and takes them back beside urgent and other work of all kinds that
// fills the fleet, preemption, drains, new targets and takeovers. Nothing may start in an evacuated zone, and
// all work must end.
func TestEvacuationsUnderLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := urgentAndBatch(t)
		sim.stopTime = time.Duration(rapid.IntRange(50, 1500).Draw(rt, "stop")) * time.Millisecond
		if rapid.Bool().Draw(rt, "without advice") {
			for i := range sim.fleet.Queues {
				sim.fleet.Queues[i].Advice = nil
			}
		}
		sim.elect()
		for i := range 10 {
			sim.submit(batch(fmt.Sprint("fill-", i), cyclamendyke.Step{Count: 4, Need: cores(4), Estimate: 10 * time.Second, Checkpoints: true}))
		}
		sim.run(500 * time.Millisecond)
		for i := range rapid.IntRange(5, 40).Draw(rt, "rounds") {
			switch rapid.IntRange(0, 11).Draw(rt, "change") {
			case 0, 1, 2:
				zone := rapid.SampledFrom(simZones).Draw(rt, "zone")
				sim.evacuateFor(zone, time.Duration(rapid.IntRange(100, 4000).Draw(rt, "for"))*time.Millisecond)
			case 3:
				sim.addVM(cyclamendyke.Target{
					ID: cyclamendyke.TargetID(fmt.Sprint("new-", i)), Service: "s", Address: fmt.Sprint("new-", i), Capacity: cores(64), Zone: "c",
				})
			case 4:
				v := sim.vms[cyclamendyke.TargetID(fmt.Sprint("vm-", rapid.IntRange(0, 9).Draw(rt, "draining")))]
				v.info.Draining, v.info.Remaining = true, 4*time.Second
				sim.sched.UpdateTarget(v.info)
			case 5:
				sim.elect()
			case 6, 7, 8:
				sim.submit(workflow(fmt.Sprint("urgent-", i), drawStep(rt)))
			default:
				sim.submit(batch(fmt.Sprint("batch-", i), drawStep(rt)))
			}
			sim.run(time.Duration(rapid.IntRange(10, 400).Draw(rt, "pause")) * time.Millisecond)
		}
		sim.endFaults()
		sim.addVM(cyclamendyke.Target{ID: "last", Service: "s", Address: "last", Capacity: cores(160), Zone: "c"})
		sim.run(3 * time.Minute)
		for _, violation := range sim.violations {
			rt.Error(violation)
		}
		if done := sim.states()[cyclamendyke.WorkflowCompleted]; done != len(sim.workflows) {
			rt.Errorf("%d of %d workflows completed\n%s", done, len(sim.workflows), sim.sched.unfinished())
		}
	})
}
