package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// describeForeign describes a target that another writer has made up, with the address of a VM and a later start.
// Requests to it are answered by that VM.
func (sim *simulation) describeForeign(id cyclamendyke.TargetID, service cyclamendyke.ServiceName, address string) {
	v := &vm{info: cyclamendyke.Target{
		ID: id, Service: service, Address: address, Capacity: cores(16), StartedMillis: int64(sim.now/time.Millisecond) + 1,
	}, replaced: true}
	sim.vms[id] = v
	sim.announce(v)
}

// TestForeignDescriptionWithAddressOfTargetEndsRuns describes a target at the address of a VM on which tasks run.
func TestForeignDescriptionWithAddressOfTargetEndsRuns(t *testing.T) {
	for _, service := range []cyclamendyke.ServiceName{"s", "inventory"} {
		t.Run(string(service), func(t *testing.T) {
			is := is.New(t)
			sim := limitedFleet(t, 1, 3)
			sim.fleet.Queues[0].Advice = nil
			crashes := 0
			sim.logDecision = func(d Decision) {
				if d.Event == EventTargetCrashed {
					crashes++
				}
			}
			sim.elect()
			sim.run(20 * time.Second) // Runs of earlier epochs are over.
			sim.submit(workflow("job", cyclamendyke.Step{Count: 8, Need: cores(4), Estimate: 6 * time.Second}))
			sim.run(time.Second)
			is.Equal(sim.starts, 8)
			sim.describeForeign("foreign", service, "vm-0")
			sim.run(20 * time.Second)
			is.Equal(sim.starts, 8)
			is.Equal(crashes, 0)
			is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
			is.Equal(len(sim.violations), 0)
		})
	}
}

// TestTargetOfUnknownServiceIsAsked describes a target of a service that no configuration names, until one does.
func TestTargetOfUnknownServiceIsAsked(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.addVM(cyclamendyke.Target{ID: "new", Service: "later", Address: "new", Capacity: cores(16)})
	sim.run(time.Second)
	is.Equal(sim.vms["new"].fence, uint64(0))
	fleet := *sim.fleet
	fleet.Version, fleet.Services = 2, append(fleet.Services, cyclamendyke.Service{Name: "later"})
	fleet.Queues = append(fleet.Queues, cyclamendyke.Queue{Name: "later", Service: "later", MaxAttempts: 3})
	sim.fleet = &fleet
	sim.sched.Configure(sim.fleet)
	job := workflow("job", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second})
	job.Queue = "later"
	sim.submit(job)
	sim.run(2 * time.Second)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	sim.removeDescription(sim.vms["new"])
	sim.addVM(cyclamendyke.Target{ID: "gone", Service: "never", Address: "gone", Capacity: cores(16)})
	sim.removeDescription(sim.vms["gone"])
	is.Equal(len(sim.sched.unknownTargets), 0)
}

// TestRunsOfRemovedServiceAreForgottenAtTakeover removes a service on whose target a task runs, and elects a new
// scheduler.
func TestRunsOfRemovedServiceAreForgottenAtTakeover(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.submit(workflow("job", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 6 * time.Second}))
	sim.run(time.Second)
	is.Equal(sim.starts, 1)
	fleet := *sim.fleet
	fleet.Version, fleet.Services = 2, nil
	sim.fleet = &fleet
	sim.elect()
	sim.run(10 * time.Second)
	is.Equal(sim.starts, 1)
	is.Equal(sim.status("job"), cyclamendyke.WorkflowCompleted)
	is.Equal(len(sim.violations), 0)
}
