package dispatch

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cyclamendyke"
)

// loadPlayer plays a load against a scheduler and records what callers get.
type loadPlayer struct {
	*simulation
	load    *loadFile
	draw    *rand.Rand
	asked   []*askedWorkflow
	begin   time.Duration
	runs    map[cyclamendyke.TaskName]int           // Runs that began.
	workOf  map[cyclamendyke.TaskName]time.Duration // Run time on a target of factor one near the data.
	factors map[cyclamendyke.TargetID]float64
}

// askedWorkflow is a workflow that a caller submitted, with the time that its caller would accept.
type askedWorkflow struct {
	spec        *cyclamendyke.Workflow
	queue       string
	at          time.Duration // Since the load began.
	target      time.Duration
	coreSeconds float64
	done        time.Duration // Time from submission to completion; zero if it has not completed.
}

// usefulFactor is the multiple of its target time within which a workflow is of use to its caller.
const usefulFactor = 3

func newLoadPlayer(t testing.TB, load *loadFile) *loadPlayer {
	p := &loadPlayer{
		simulation: newSimulation(t, load.Seed), load: load, draw: rand.New(rand.NewPCG(load.Seed, 2)),
		workOf: map[cyclamendyke.TaskName]time.Duration{}, factors: map[cyclamendyke.TargetID]float64{}, runs: map[cyclamendyke.TaskName]int{},
	}
	p.members = load.Fleet.Members
	p.stopTime = load.Fleet.StopTime
	p.checkpointEvery, p.restoreTime = load.Fleet.Checkpoint, load.Fleet.Restore
	p.maxLease = load.Fleet.MaxLease
	p.runTime = func(name cyclamendyke.TaskName, v *vm) time.Duration {
		return time.Duration(float64(p.workOf[name]) * p.slowness(name, v))
	}
	p.fails = func(name cyclamendyke.TaskName) bool {
		p.runs[name]++
		return uniform("fails", name.String(), fmt.Sprint(p.runs[name])) < p.queueOf(p.workflows[name.Workflow].spec).Failing
	}
	p.adviceAllows = func(step cyclamendyke.StepName, id cyclamendyke.TargetID) bool {
		return uniform(step.String(), string(id)) < p.queueOf(p.workflows[step.Workflow].spec).Allowed
	}
	p.configure()
	p.addTargets()
	for i := range load.Queues {
		p.drawArrivals(&load.Queues[i])
	}
	return p
}

// uniform returns a number from 0 to 1 that depends only on the texts.
func uniform(texts ...string) float64 {
	hash := fnv.New64a()
	for _, text := range texts {
		_, _ = hash.Write([]byte(text))
		_, _ = hash.Write([]byte{0})
	}
	return rand.New(rand.NewPCG(hash.Sum64(), 3)).Float64()
}

func (p *loadPlayer) slowness(name cyclamendyke.TaskName, v *vm) float64 {
	factor := p.factors[v.info.ID]
	rack := p.workflows[name.Workflow].spec.Steps[name.Step].Rack
	if rack != "" && !slices.Contains(v.info.Labels, rack) {
		factor *= p.load.Fleet.RemoteFactor
	}
	return factor
}

func (p *loadPlayer) queueOf(spec *cyclamendyke.Workflow) *loadQueue {
	for i := range p.load.Queues {
		if p.load.Queues[i].Name == string(spec.Queue) {
			return &p.load.Queues[i]
		}
	}
	p.t.Fatalf("unknown queue %s", spec.Queue)
	return nil
}

func (p *loadPlayer) configure() {
	p.fleet = &cyclamendyke.FleetConfig{Version: 1}
	for _, pool := range p.load.Pools {
		p.fleet.Services = append(p.fleet.Services, cyclamendyke.Service{Name: cyclamendyke.ServiceName(pool.Service)})
	}
	for _, q := range p.load.Queues {
		queue := cyclamendyke.Queue{
			Name: cyclamendyke.QueueName(q.Name), Service: cyclamendyke.ServiceName(q.Service), Priority: q.Priority,
			MaxAttempts: q.Attempts, CriticalPathFactor: q.Factor, BaseTarget: q.Base,
		}
		if q.AdviceBase > 0 {
			queue.Advice = &cyclamendyke.AdviceTiming{Base: q.AdviceBase, PerTarget: q.AdviceTarget, ValidFor: q.AdviceValid}
			p.ticketTTL = q.AdviceValid
		}
		p.fleet.Queues = append(p.fleet.Queues, queue)
	}
	for _, team := range p.load.Teams {
		p.fleet.Teams = append(p.fleet.Teams, cyclamendyke.TeamConfig{
			Team: cyclamendyke.TeamName(team.Name), Weight: team.Weight,
			Limit: cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(1000 * team.Cores)},
		})
	}
}

func (p *loadPlayer) addTargets() {
	for _, pool := range p.load.Pools {
		for i := range pool.Targets {
			id := cyclamendyke.TargetID(fmt.Sprintf("%s-%03d", pool.Service, i))
			p.factors[id] = pool.RunTimes[p.draw.IntN(len(pool.RunTimes))]
			p.addVM(cyclamendyke.Target{
				ID: id, Service: cyclamendyke.ServiceName(pool.Service), Address: string(id),
				Capacity: cyclamendyke.Resources{
					Cores: cyclamendyke.MilliCores(1000 * pool.Cores), Memory: cyclamendyke.MiB(pool.Memory), Accelerators: pool.Accelerators,
				},
				Labels: []string{rackName(pool.Service, i/max(1, pool.RackSize))},
			})
		}
	}
}

func rackName(service string, number int) string {
	return fmt.Sprintf("%s-rack-%d", service, number)
}

// sample draws from the distribution.
func (s loadSpread) sample(draw *rand.Rand) float64 {
	x := math.Log(s.Mean) - s.Spread*s.Spread/2 + s.Spread*draw.NormFloat64()
	value := math.Exp(x)
	if s.Max > 0 {
		value = min(value, s.Max)
	}
	return value
}

// play lets the work arrive, waits until all of it has ended or is of no use any more, and records
// when each workflow completed.
func (p *loadPlayer) play() {
	p.elect()
	p.run(2 * time.Second)
	p.begin = p.now
	for _, a := range p.asked {
		p.after(a.at, func() { p.submit(a.spec) })
	}
	for _, off := range p.load.Outages {
		p.after(off.At, func() { p.setReachable(off.Part, false) })
		p.after(off.At+off.For, func() { p.setReachable(off.Part, true) })
	}
	p.watchCompletions()
	p.run(time.Duration(p.load.Seconds) * time.Second)
	p.run(time.Duration(p.load.Tail) * time.Second)
}

func (p *loadPlayer) setReachable(part float64, reachable bool) {
	for id, v := range p.vms {
		if uniform("reachable", string(id)) < part {
			v.unreachable = !reachable
		}
	}
}

// completionPoll is how often callers ask for the state of their workflows.
const completionPoll = 20 * time.Millisecond

func (p *loadPlayer) watchCompletions() {
	for _, a := range p.asked {
		if a.done != 0 || p.now-p.begin < a.at {
			continue
		}
		if p.status(a.spec.ID) == cyclamendyke.WorkflowCompleted {
			a.done = p.now - p.begin - a.at
		}
	}
	p.after(completionPoll, p.watchCompletions)
}
