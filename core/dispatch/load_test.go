package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// countCompleted counts a team's completed workflows and all its workflows.
func (sim *simulation) countCompleted(team cyclamendyke.TeamName) (completed, all int) {
	for id, s := range sim.workflows {
		if s.spec.Team != team {
			continue
		}
		all++
		if sim.status(id) == cyclamendyke.WorkflowCompleted {
			completed++
		}
	}
	return completed, all
}

// twoTeamFleet returns a simulation with two teams of equal weight and no limits.
func twoTeamFleet(t *testing.T) *simulation {
	sim := limitedFleet(t, 1, 4)
	sim.fleet.Queues[0].Priority = 1
	sim.fleet.Teams = []cyclamendyke.TeamConfig{{Team: "modest", Weight: 2}, {Team: "hot", Weight: 2}}
	return sim
}

func oneStep(id string, team cyclamendyke.TeamName) *cyclamendyke.Workflow {
	return &cyclamendyke.Workflow{ID: cyclamendyke.WorkflowID(id), Team: team, Queue: "q", Steps: []cyclamendyke.Step{
		{Count: 4, Need: cores(4), Estimate: time.Second},
	}}
}

// TestTeamOverShareDoesNotDelayOthers lets one team submit ten times its share, far more than the
// fleet can run; all workflows of the other team must still complete in time.
func TestTeamOverShareDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	sim := twoTeamFleet(t)
	sim.elect()
	for i := range 40 {
		for k := range 5 {
			sim.submit(oneStep(fmt.Sprint("hot-", i, "-", k), "hot"))
		}
		if i%2 == 0 {
			sim.submit(oneStep(fmt.Sprint("modest-", i), "modest"))
		}
		sim.run(250 * time.Millisecond)
	}
	sim.run(3 * time.Second)
	completed, all := sim.countCompleted("modest")
	is.Equal(completed, all)
	hot, _ := sim.countCompleted("hot")
	is.True(hot >= 20) // Its workflows within its share are served as well.
	is.Equal(len(sim.violations), 0)
}

// TestAdviceRequestsUnderBacklog queues far more work than the fleet can run, with a slow advice
// service; the fleet must stay busy, and requests for advice must not grow with the backlog.
func TestAdviceRequestsUnderBacklog(t *testing.T) {
	is := is.New(t)
	sim := twoTeamFleet(t)
	sim.fleet.Queues[0].Advice.Base = 400 * time.Millisecond
	sim.elect()
	for i := range 200 {
		sim.submit(oneStep(fmt.Sprint("job-", i), "hot"))
	}
	const seconds = 20
	sim.run(seconds * time.Second)
	is.True(sim.adviceRequests <= sim.starts/2) // One request serves the four tasks of a step.
	is.True(sim.starts >= 16*seconds/2)         // The fleet runs up to 16 tasks at once, of one second each.
	is.Equal(len(sim.violations), 0)
}

// TestUrgentAdviceBesideSlowRequests keeps the advice service busy with slow requests; an urgent
// workflow, whose requests are short, must start as soon as if it were alone.
func TestUrgentAdviceBesideSlowRequests(t *testing.T) {
	is := is.New(t)
	sim := twoTeamFleet(t)
	sim.fleet.Queues[0].Advice.Base = 500 * time.Millisecond
	sim.fleet.Queues = append(sim.fleet.Queues, cyclamendyke.Queue{
		Name: "urgent", Service: "s", MaxAttempts: 3, CriticalPathFactor: 1.5, BaseTarget: 250 * time.Millisecond,
		Advice: &cyclamendyke.AdviceTiming{Base: 15 * time.Millisecond, ValidFor: 2 * time.Second},
	})
	sim.elect()
	for i := range 20 {
		slow := oneStep(fmt.Sprint("slow-", i), "hot")
		slow.Steps[0].Need = cores(1)
		sim.submit(slow)
	}
	sim.run(100 * time.Millisecond)
	urgent := oneStep("urgent", "modest")
	urgent.Queue = "urgent"
	sim.submit(urgent)
	sim.run(sim.fleet.Queues[1].BaseTarget)
	is.True(sim.history[cyclamendyke.TaskName{Workflow: "urgent"}] != nil)
	is.Equal(len(sim.violations), 0)
}

// TestTeamAtLimitLeavesRoomToOthers submits much urgent work of a team that is at its limit. A less
// urgent task of another team fails when its tickets have expired; it must get new ones and start again
// at once, since the targets have room that the first team may not use.
func TestTeamAtLimitLeavesRoomToOthers(t *testing.T) {
	is := is.New(t)
	sim := twoTeamFleet(t)
	sim.fleet.Teams[1].Limit = cores(16)
	sim.fleet.Queues = append(sim.fleet.Queues, sim.fleet.Queues[0])
	sim.fleet.Queues[0].Priority = 0
	sim.fleet.Queues[1].Name = "patient"
	failing := cyclamendyke.TaskName{Workflow: "modest"}
	sim.fails = func(name cyclamendyke.TaskName) bool { return name == failing && sim.starts <= 2 }
	sim.elect()
	modest := workflow("modest", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 2500 * time.Millisecond})
	modest.Team, modest.Queue = "modest", "patient"
	sim.submit(modest)
	sim.run(time.Second)
	is.Equal(sim.starts, 1)
	for i := range 100 {
		hot := workflow(fmt.Sprint("hot-", i), cyclamendyke.Step{Count: 4, Need: cores(4), Estimate: 10 * time.Second})
		hot.Team = "hot"
		sim.submit(hot)
	}
	sim.run(1800 * time.Millisecond)
	is.Equal(sim.history[failing].running, 1) // Its second run.
	is.Equal(total(sim.runsOf("hot-0")), 4)
	is.Equal(len(sim.violations), 0)
}

// TestEndsRightAfterAnotherAreSeen lets two runs on one target end 30 ms apart; the second end must be
// seen as soon as the first is recorded, since its caller may be waiting.
func TestEndsRightAfterAnotherAreSeen(t *testing.T) {
	is := is.New(t)
	sim := limitedFleet(t, 1, 1)
	sim.elect()
	sim.submit(workflow("first", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: time.Second}))
	sim.submit(workflow("second", cyclamendyke.Step{Count: 1, Need: cores(4), Estimate: 1030 * time.Millisecond}))
	sim.run(500 * time.Millisecond)
	is.Equal(sim.starts, 2)
	second := cyclamendyke.TaskName{Workflow: "second"}
	for !sim.history[second].done {
		sim.run(time.Millisecond)
	}
	sim.run(30 * time.Millisecond)
	is.Equal(sim.states()[cyclamendyke.WorkflowCompleted], 2)
}
