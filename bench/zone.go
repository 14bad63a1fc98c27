package bench

import (
	"container/heap"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
	"cyclamendyke/core/scheduler"
)

// simulationStart is the initial time of a simulation's clock.
var simulationStart = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// zoneSimulation runs a production scheduler on a simulated clock with simulated workers.
type zoneSimulation struct {
	scheduler          *scheduler.Scheduler
	epoch              cyclamendyke.Epoch
	now                time.Time
	workers            map[cyclamendyke.WorkerName]*simulatedWorker
	pendingEnds        taskEndHeap
	workersWithResults map[cyclamendyke.WorkerName]bool // Workers with unreported task results.
	schedulerTime      time.Duration                    // Wall-clock time spent in calls to the scheduler.
	schedulerCalls     int
	placements         int
	commandCounts      commandCounts
	runTime            func(job cyclamendyke.Job) time.Duration
	onStart            func(task cyclamendyke.TaskStart)
	onEnd              func(task cyclamendyke.RunningTask)
	onAnswer           func(outcome cyclamendyke.Outcome)
}

// commandCounts counts the scheduler's commands by kind.
type commandCounts struct {
	starts, stops, persists, answers, events, accounts int
}

// zoneSimulationConfig configures a zone simulation.
type zoneSimulationConfig struct {
	Name              cyclamendyke.ZoneName
	VMs               []cyclamendyke.VM
	Tables            *cyclamendyke.Tables
	Policies          policy.Set
	PlacementsPerTick int
	MaxJobs           int
	Seed              uint64
	RunTime           func(job cyclamendyke.Job) time.Duration
	Workers           map[cyclamendyke.WorkerName]*simulatedWorker // Workers of an earlier simulation; new idle ones if nil.
}

// newZoneSimulation returns a simulation whose scheduler has claimed every worker.
func newZoneSimulation(config zoneSimulationConfig) *zoneSimulation {
	z := &zoneSimulation{
		epoch:              cyclamendyke.Epoch{Term: 1 << 16, Owner: "entry"},
		now:                simulationStart,
		workers:            map[cyclamendyke.WorkerName]*simulatedWorker{},
		workersWithResults: map[cyclamendyke.WorkerName]bool{},
		runTime:            config.RunTime,
		scheduler: scheduler.New(scheduler.Config{
			Zone:              config.Name,
			Policies:          config.Policies,
			PlacementsPerTick: config.PlacementsPerTick,
			MaxJobs:           config.MaxJobs,
			MaxQueue:          config.MaxJobs,
			Seed:              config.Seed,
		}),
	}
	if config.Workers != nil {
		z.workers = config.Workers
	}
	for _, vm := range config.VMs {
		if z.workers[vm.Name] != nil {
			continue
		}
		z.workers[vm.Name] = &simulatedWorker{vm: vm, running: map[cyclamendyke.TaskID]cyclamendyke.RunningTask{}}
	}
	authority := cyclamendyke.Authority{Epoch: z.epoch, Until: z.now.Add(1000 * time.Hour)}
	z.execute(z.scheduler.SetTables(z.now, config.Tables))
	z.execute(z.scheduler.SetAllotments(z.now, allotAll(config.Tables, config.VMs)))
	z.execute(z.scheduler.SetAuthority(z.now, authority))
	z.execute(z.scheduler.SetVMs(z.now, config.VMs))
	return z
}

// allotAll allots the whole zone's capacity to every team.
func allotAll(tables *cyclamendyke.Tables, vms []cyclamendyke.VM) map[cyclamendyke.TeamName]cyclamendyke.Resources {
	total := capacityOf(vms)
	held := map[cyclamendyke.TeamName]cyclamendyke.Resources{}
	for name := range tables.Teams {
		held[name] = total
	}
	return held
}

func capacityOf(vms []cyclamendyke.VM) cyclamendyke.Resources {
	total := cyclamendyke.Resources{}
	for _, vm := range vms {
		total = total.Add(vm.Capacity)
	}
	return total
}

// call measures the time of one call to the scheduler and executes the commands that it returns.
func (z *zoneSimulation) call(fn func() []cyclamendyke.Command) {
	start := time.Now()
	commands := fn()
	z.schedulerTime += time.Since(start)
	z.schedulerCalls++
	z.execute(commands)
}

// execute executes commands as the daemon does, but without delay.
func (z *zoneSimulation) execute(commands []cyclamendyke.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case cyclamendyke.ClaimCommand:
			z.claim(command.VM.Name)
		case cyclamendyke.StartCommand:
			z.commandCounts.starts++
			z.start(command)
		case cyclamendyke.StopCommand:
			z.commandCounts.stops++
			z.stop(command)
		case cyclamendyke.AnswerCommand:
			z.commandCounts.answers++
			if z.onAnswer != nil {
				z.onAnswer(command.Outcome)
			}
		case cyclamendyke.PersistCommand:
			z.persist(command)
		case cyclamendyke.EventCommand:
			z.commandCounts.events++
		case cyclamendyke.AccountCommand:
			z.commandCounts.accounts++
		}
	}
}

func (z *zoneSimulation) claim(worker cyclamendyke.WorkerName) {
	simulated := z.workers[worker]
	if simulated.crashed {
		z.call(func() []cyclamendyke.Command { return z.scheduler.Unreachable(z.now, worker) })
		return
	}
	report := cyclamendyke.WorkerReport{Worker: worker, Capacity: simulated.vm.Capacity}
	for _, running := range simulated.running {
		report.Running = append(report.Running, running)
	}
	slices.SortFunc(report.Running, func(a, b cyclamendyke.RunningTask) int { return compareTaskIDs(a.Task, b.Task) })
	z.call(func() []cyclamendyke.Command { return z.scheduler.Claimed(z.now, report, z.now) })
}

func (z *zoneSimulation) start(command cyclamendyke.StartCommand) {
	simulated := z.workers[command.Worker]
	if simulated.crashed {
		z.answerStart(command, &cyclamendyke.Error{Op: "worker.start", Kind: cyclamendyke.KindUnavailable})
		return
	}
	z.placements++
	runTime := z.runTime(command.Start.Job)
	if simulated.failsEveryTask {
		runTime = failingTaskRunTime
	}
	simulated.running[command.Start.Task] = cyclamendyke.RunningTask{
		Task: command.Start.Task, Job: command.Start.Job, Reserved: command.Start.Reserved, Started: z.now,
	}
	heap.Push(&z.pendingEnds, taskEnd{z.now.Add(runTime), command.Worker, command.Start.Task, z.now})
	if z.onStart != nil {
		z.onStart(command.Start)
	}
	z.answerStart(command, nil)
}

func (z *zoneSimulation) answerStart(command cyclamendyke.StartCommand, err error) {
	z.call(func() []cyclamendyke.Command {
		return z.scheduler.StartAnswered(z.now, command.Worker, command.Start.Task, err)
	})
}

// crash makes a worker unreachable and drops its running tasks and unreported results.
func (z *zoneSimulation) crash(worker cyclamendyke.WorkerName) {
	simulated := z.workers[worker]
	simulated.crashed = true
	for _, running := range simulated.running {
		if z.onEnd != nil {
			z.onEnd(running)
		}
	}
	clear(simulated.running)
	simulated.unreportedResults = nil
	delete(z.workersWithResults, worker)
	z.call(func() []cyclamendyke.Command { return z.scheduler.Unreachable(z.now, worker) })
}

// restart makes a crashed worker reachable again, with no running tasks.
func (z *zoneSimulation) restart(worker cyclamendyke.WorkerName) {
	z.workers[worker].crashed = false
	z.claim(worker)
}

func (z *zoneSimulation) stop(command cyclamendyke.StopCommand) {
	if command.Mode != cyclamendyke.StopThrottle {
		z.end(command.Worker, command.Task, true)
	}
	z.call(func() []cyclamendyke.Command {
		return z.scheduler.StopAnswered(z.now, command.Worker, command.Task, command.Mode, nil)
	})
}

func (z *zoneSimulation) persist(command cyclamendyke.PersistCommand) {
	z.commandCounts.persists++
	if !command.AwaitResult {
		return
	}
	z.call(func() []cyclamendyke.Command {
		return z.scheduler.Persisted(z.now, command.Record.Job.Request, cyclamendyke.PersistKept)
	})
}

// end ends a task; the next renewal of its worker reports the result.
func (z *zoneSimulation) end(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, stopped bool) {
	simulated := z.workers[worker]
	running, ok := simulated.running[task]
	if !ok {
		return
	}
	delete(simulated.running, task)
	z.workersWithResults[worker] = true
	simulated.sequence++
	simulated.unreportedResults = append(simulated.unreportedResults, cyclamendyke.TaskResult{
		Task: task, Worker: worker, ExitCode: simulated.exitCode(), Stopped: stopped, Started: running.Started, Finished: z.now,
	})
	if z.onEnd != nil {
		z.onEnd(running)
	}
}

// renew reports a worker's unreported results to the scheduler.
func (z *zoneSimulation) renew(worker cyclamendyke.WorkerName) {
	simulated := z.workers[worker]
	report := cyclamendyke.WorkerReport{
		Worker: worker, Capacity: simulated.vm.Capacity, Sequence: simulated.sequence, Finished: simulated.unreportedResults,
	}
	simulated.unreportedResults = nil
	delete(z.workersWithResults, worker)
	z.call(func() []cyclamendyke.Command { return z.scheduler.Renewed(z.now, report, z.now) })
}

// advance moves the clock by one tick: due tasks end, workers report, and the scheduler places tasks.
func (z *zoneSimulation) advance() {
	z.now = z.now.Add(cyclamendyke.TickInterval)
	for len(z.pendingEnds) > 0 && !z.pendingEnds[0].at.After(z.now) {
		due := heap.Pop(&z.pendingEnds).(taskEnd)
		if z.workers[due.worker].running[due.task].Started.Equal(due.started) {
			z.end(due.worker, due.task, false)
		}
	}
	for _, worker := range sortedKeys(z.workersWithResults) {
		z.renew(worker)
	}
	z.call(func() []cyclamendyke.Command { return z.scheduler.Tick(z.now) })
}
