package bench

import (
	"container/heap"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
	"cyclamendyke/core/scheduler"
)

// brokenRunTime is how long a task lasts on a broken worker.
const brokenRunTime = 200 * time.Millisecond

// zoneStart is when the clock of a zone begins.
var zoneStart = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// zone drives one real scheduler on a clock of its own over workers that run tasks for a given time.
type zone struct {
	scheduler *scheduler.Scheduler
	epoch     cyclamendyke.Epoch
	now       time.Time
	machines  map[cyclamendyke.WorkerName]*zoneMachine
	ends      endHeap
	ended     map[cyclamendyke.WorkerName]bool // Workers with ends to report.
	cost      time.Duration                    // Spent in calls to the scheduler, by the clock on the wall.
	calls     int
	placed    int
	commands  commandCounts
	runTime   func(job cyclamendyke.Job) time.Duration
	onStart   func(task cyclamendyke.TaskStart)
	onEnd     func(task cyclamendyke.RunningTask)
	onAnswer  func(outcome cyclamendyke.Outcome)
}

// commandCounts counts what the scheduler asked for.
type commandCounts struct {
	starts, stops, persists, answers, events, accounts int
}

type zoneMachine struct {
	vm       cyclamendyke.VM
	running  map[cyclamendyke.TaskID]cyclamendyke.RunningTask
	finished []cyclamendyke.TaskResult
	sequence uint64
	dead     bool // Nothing reaches it and it runs nothing.
	broken   bool // Every task fails soon after its start.
}

// taskEnd is the end of a task that is due.
type taskEnd struct {
	at     time.Time
	worker cyclamendyke.WorkerName
	task   cyclamendyke.TaskID
	began  time.Time
}

type endHeap []taskEnd

// Len returns the number of ends that are due.
func (h endHeap) Len() int { return len(h) }

// Less orders by time.
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap exchanges two ends.
func (h endHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an end.
func (h *endHeap) Push(x any) { *h = append(*h, x.(taskEnd)) }

// Pop removes the last end.
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// zoneConfig configures a zone.
type zoneConfig struct {
	Name              cyclamendyke.ZoneName
	VMs               []cyclamendyke.VM
	Tables            *cyclamendyke.Tables
	Policies          policy.Set
	PlacementsPerTick int
	MaxJobs           int
	Seed              uint64
	RunTime           func(job cyclamendyke.Job) time.Duration
	Machines          map[cyclamendyke.WorkerName]*zoneMachine // With what an earlier scheduler started; new ones if nil.
}

// newZone returns a zone whose scheduler has claimed every worker.
func newZone(config zoneConfig) *zone {
	z := &zone{
		epoch:    cyclamendyke.Epoch{Term: 1 << 16, Owner: "entry"},
		now:      zoneStart,
		machines: map[cyclamendyke.WorkerName]*zoneMachine{},
		ended:    map[cyclamendyke.WorkerName]bool{},
		runTime:  config.RunTime,
		scheduler: scheduler.New(scheduler.Config{
			Zone:              config.Name,
			Policies:          config.Policies,
			PlacementsPerTick: config.PlacementsPerTick,
			MaxJobs:           config.MaxJobs,
			MaxQueue:          config.MaxJobs,
			Seed:              config.Seed,
		}),
	}
	if config.Machines != nil {
		z.machines = config.Machines
	}
	for _, vm := range config.VMs {
		if z.machines[vm.Name] != nil {
			continue
		}
		z.machines[vm.Name] = &zoneMachine{vm: vm, running: map[cyclamendyke.TaskID]cyclamendyke.RunningTask{}}
	}
	authority := cyclamendyke.Authority{Epoch: z.epoch, Until: z.now.Add(1000 * time.Hour)}
	z.run(z.scheduler.SetTables(z.now, config.Tables))
	z.run(z.scheduler.SetAllotments(z.now, allotAll(config.Tables, config.VMs)))
	z.run(z.scheduler.SetAuthority(z.now, authority))
	z.run(z.scheduler.SetVMs(z.now, config.VMs))
	return z
}

// allotAll lets every team use the whole zone.
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

// call times one call to the scheduler and carries its commands out.
func (z *zone) call(ask func() []cyclamendyke.Command) {
	began := time.Now()
	commands := ask()
	z.cost += time.Since(began)
	z.calls++
	z.run(commands)
}

// run carries out commands as the daemon does, without any delay.
func (z *zone) run(commands []cyclamendyke.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case cyclamendyke.ClaimCommand:
			z.claim(command.VM.Name)
		case cyclamendyke.StartCommand:
			z.commands.starts++
			z.start(command)
		case cyclamendyke.StopCommand:
			z.commands.stops++
			z.stop(command)
		case cyclamendyke.AnswerCommand:
			z.commands.answers++
			if z.onAnswer != nil {
				z.onAnswer(command.Outcome)
			}
		case cyclamendyke.PersistCommand:
			z.persist(command)
		case cyclamendyke.EventCommand:
			z.commands.events++
		case cyclamendyke.AccountCommand:
			z.commands.accounts++
		}
	}
}

func (z *zone) claim(worker cyclamendyke.WorkerName) {
	machine := z.machines[worker]
	if machine.dead {
		z.call(func() []cyclamendyke.Command { return z.scheduler.Unreachable(z.now, worker) })
		return
	}
	report := cyclamendyke.WorkerReport{Worker: worker, Capacity: machine.vm.Capacity}
	for _, running := range machine.running {
		report.Running = append(report.Running, running)
	}
	slices.SortFunc(report.Running, func(a, b cyclamendyke.RunningTask) int { return compareTasks(a.Task, b.Task) })
	z.call(func() []cyclamendyke.Command { return z.scheduler.Claimed(z.now, report, z.now) })
}

func (z *zone) start(command cyclamendyke.StartCommand) {
	machine := z.machines[command.Worker]
	if machine.dead {
		z.startAnswered(command, &cyclamendyke.Error{Op: "worker.start", Kind: cyclamendyke.KindUnavailable})
		return
	}
	z.placed++
	runTime := z.runTime(command.Start.Job)
	if machine.broken {
		runTime = brokenRunTime
	}
	machine.running[command.Start.Task] = cyclamendyke.RunningTask{
		Task: command.Start.Task, Job: command.Start.Job, Reserved: command.Start.Reserved, Started: z.now,
	}
	heap.Push(&z.ends, taskEnd{z.now.Add(runTime), command.Worker, command.Start.Task, z.now})
	if z.onStart != nil {
		z.onStart(command.Start)
	}
	z.startAnswered(command, nil)
}

func (z *zone) startAnswered(command cyclamendyke.StartCommand, err error) {
	z.call(func() []cyclamendyke.Command {
		return z.scheduler.StartAnswered(z.now, command.Worker, command.Start.Task, err)
	})
}

// die makes a worker lose everything that it runs and answer nothing.
func (z *zone) die(worker cyclamendyke.WorkerName) {
	machine := z.machines[worker]
	machine.dead = true
	for _, running := range machine.running {
		if z.onEnd != nil {
			z.onEnd(running)
		}
	}
	clear(machine.running)
	machine.finished = nil
	delete(z.ended, worker)
	z.call(func() []cyclamendyke.Command { return z.scheduler.Unreachable(z.now, worker) })
}

// revive brings a dead worker back with nothing running.
func (z *zone) revive(worker cyclamendyke.WorkerName) {
	z.machines[worker].dead = false
	z.claim(worker)
}

func (z *zone) stop(command cyclamendyke.StopCommand) {
	if command.Mode != cyclamendyke.StopThrottle {
		z.end(command.Worker, command.Task, true)
	}
	z.call(func() []cyclamendyke.Command {
		return z.scheduler.StopAnswered(z.now, command.Worker, command.Task, command.Mode, nil)
	})
}

func (z *zone) persist(command cyclamendyke.PersistCommand) {
	z.commands.persists++
	if !command.AwaitResult {
		return
	}
	z.call(func() []cyclamendyke.Command {
		return z.scheduler.Persisted(z.now, command.Record.Job.Request, cyclamendyke.PersistKept)
	})
}

// end notes a task's end, which the next renewal of its worker reports.
func (z *zone) end(worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, stopped bool) {
	machine := z.machines[worker]
	running, ok := machine.running[task]
	if !ok {
		return
	}
	delete(machine.running, task)
	z.ended[worker] = true
	machine.sequence++
	machine.finished = append(machine.finished, cyclamendyke.TaskResult{
		Task: task, Worker: worker, ExitCode: machine.exitCode(), Stopped: stopped, Started: running.Started, Finished: z.now,
	})
	if z.onEnd != nil {
		z.onEnd(running)
	}
}

// exitCode is that of a task that ends now.
func (m *zoneMachine) exitCode() int {
	if m.broken {
		return 1
	}
	return 0
}

// renew reports what ended on a worker.
func (z *zone) renew(worker cyclamendyke.WorkerName) {
	machine := z.machines[worker]
	report := cyclamendyke.WorkerReport{
		Worker: worker, Capacity: machine.vm.Capacity, Sequence: machine.sequence, Finished: machine.finished,
	}
	machine.finished = nil
	delete(z.ended, worker)
	z.call(func() []cyclamendyke.Command { return z.scheduler.Renewed(z.now, report, z.now) })
}

// advance moves the clock by one tick: due tasks end, their workers report, and the scheduler places.
func (z *zone) advance() {
	z.now = z.now.Add(cyclamendyke.TickInterval)
	for len(z.ends) > 0 && !z.ends[0].at.After(z.now) {
		due := heap.Pop(&z.ends).(taskEnd)
		if z.machines[due.worker].running[due.task].Started.Equal(due.began) {
			z.end(due.worker, due.task, false)
		}
	}
	for _, worker := range sortedKeys(z.ended) {
		z.renew(worker)
	}
	z.call(func() []cyclamendyke.Command { return z.scheduler.Tick(z.now) })
}
