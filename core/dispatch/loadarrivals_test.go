package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cyclamendyke"
)

// drawArrivals draws all workflows of a queue, so that they do not depend on what the scheduler does.
func (p *loadPlayer) drawArrivals(q *loadQueue) {
	p.drawStream(q, "", func(at time.Duration) float64 { return q.PerSecond * p.burstFactor(q, "", at) })
	for _, team := range p.load.Teams {
		p.drawStream(q, team.Name, func(at time.Duration) float64 {
			return q.PerSecond * team.Part * (p.burstFactor(q, team.Name, at) - 1)
		})
	}
}

// drawStream draws workflows that arrive at random at a rate a second; an empty team stands for all
// teams by their parts.
func (p *loadPlayer) drawStream(q *loadQueue, team string, rate func(at time.Duration) float64) {
	const slice = 100 * time.Millisecond
	for at := time.Duration(0); at < time.Duration(p.load.Seconds)*time.Second; at += slice {
		for left := slice.Seconds() * rate(at); left > 0; {
			left -= p.draw.ExpFloat64()
			if left > 0 {
				p.drawWorkflow(q, team, at+time.Duration(p.draw.Int64N(int64(slice))))
			}
		}
	}
}

// burstFactor returns by how much more work than usual arrives from a team; an empty team stands for
// bursts of all teams.
func (p *loadPlayer) burstFactor(q *loadQueue, team string, at time.Duration) float64 {
	factor := 1.0
	for _, burst := range p.load.Bursts {
		if (burst.Queue == "" || burst.Queue == q.Name) && burst.Team == team && burst.At <= at && at < burst.At+burst.For {
			factor *= burst.Factor
		}
	}
	return factor
}

// drawTeam draws a team by its part of the work.
func (p *loadPlayer) drawTeam() cyclamendyke.TeamName {
	if len(p.load.Teams) == 0 {
		return "team"
	}
	roll := p.draw.Float64()
	for _, team := range p.load.Teams {
		if roll < team.Part {
			return cyclamendyke.TeamName(team.Name)
		}
		roll -= team.Part
	}
	return cyclamendyke.TeamName(p.load.Teams[0].Name)
}

func share(draw *rand.Rand, part float64) bool { return draw.Float64() < part }

// drawWorkflow draws a workflow of a queue that arrives at a time after the load begins; an empty team
// stands for one drawn by the teams' parts.
func (p *loadPlayer) drawWorkflow(q *loadQueue, team string, at time.Duration) {
	spec := &cyclamendyke.Workflow{
		ID: cyclamendyke.WorkflowID(fmt.Sprintf("%s-%05d", q.Name, len(p.asked))), Team: cyclamendyke.TeamName(team), Queue: cyclamendyke.QueueName(q.Name),
	}
	if team == "" {
		spec.Team = p.drawTeam()
	}
	asked := &askedWorkflow{spec: spec, queue: q.Name, at: at}
	chain := time.Duration(0)
	advice := time.Duration(0)
	for i := range int(max(1, math.Round(q.Steps.sample(p.draw)))) {
		step, longest := p.drawStep(q, spec.ID, i)
		spec.Steps = append(spec.Steps, step)
		chain += longest
		advice += q.AdviceBase + 30*q.AdviceTarget
		for k := range step.Count {
			work := p.workOf[cyclamendyke.TaskName{Workflow: spec.ID, Step: i, Index: k}]
			asked.coreSeconds += work.Seconds() * float64(step.Need.Cores+8000*cyclamendyke.MilliCores(step.Need.Accelerators)) / 1000
		}
	}
	asked.target = q.Base + time.Duration(q.Factor*float64(chain+advice))
	p.asked = append(p.asked, asked)
}

// drawStep draws a step and returns it with the run time of its longest task.
func (p *loadPlayer) drawStep(q *loadQueue, id cyclamendyke.WorkflowID, index int) (cyclamendyke.Step, time.Duration) {
	step := cyclamendyke.Step{
		Count: int(max(1, math.Round(q.Tasks.sample(p.draw)))),
		Need: cyclamendyke.Resources{
			Cores: cyclamendyke.MilliCores(1000 * q.Cores.sample(p.draw)), Memory: cyclamendyke.MiB(q.Memory.sample(p.draw)),
		},
		Gang: share(p.draw, q.Gang), Checkpoints: share(p.draw, q.Checkpoints), Speculative: share(p.draw, q.Speculative),
	}
	if len(q.Accelerators) > 0 {
		step.Need.Accelerators = q.Accelerators[p.draw.IntN(len(q.Accelerators))]
	}
	if share(p.draw, q.Apart) {
		step.MaxPerTarget = 1
	}
	if share(p.draw, q.NearData) {
		step.Rack = rackName(q.Service, p.draw.IntN(p.rackCount(q.Service)))
	}
	if index > 0 {
		step.After = []int{index - 1}
	}
	work := q.Seconds.sample(p.draw) * float64(time.Second)
	step.Estimate = time.Duration(work * math.Exp(q.EstimateError*p.draw.NormFloat64()))
	longest := time.Duration(0)
	for i := range step.Count {
		task := time.Duration(work)
		if !step.Gang {
			task = time.Duration(work * math.Exp(q.Uneven*p.draw.NormFloat64()))
		}
		p.workOf[cyclamendyke.TaskName{Workflow: id, Step: index, Index: i}] = task
		longest = max(longest, task)
	}
	return step, longest
}

func (p *loadPlayer) rackCount(service string) int {
	for _, pool := range p.load.Pools {
		if pool.Service == service {
			return (pool.Targets + pool.RackSize - 1) / pool.RackSize
		}
	}
	return 1
}
