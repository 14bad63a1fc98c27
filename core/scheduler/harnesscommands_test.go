package scheduler

import (
	"time"

	"cyclamendyke"
)

// delayedStart is a start command delayed by the network.
type delayedStart struct {
	command   cyclamendyke.StartCommand
	sent      time.Time
	expiresAt time.Time // The start is lost if its worker is still unreachable at this time.
}

const testStartDelay = 20 * time.Second // How long starts to an unreachable worker stay in the network.

// execute executes commands as the daemon does.
func (h *harness) execute(commands []cyclamendyke.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case cyclamendyke.ClaimCommand:
			h.logf("claim %s", c.VM.Name)
			h.workers[c.VM.Name].renewing = true
			h.claim(c.VM.Name)
		case cyclamendyke.EndRenewalsCommand:
			h.logf("end-renewals %s", c.Worker)
			h.workers[c.Worker].renewing = false
		case cyclamendyke.StartCommand:
			h.logf("start %s %s", c.Start.Task, c.Worker)
			h.start(c)
		case cyclamendyke.StopCommand:
			h.logf("stop %s %s %s", c.Task, c.Worker, c.Mode)
			h.stop(c)
		case cyclamendyke.AnswerCommand:
			h.answer(c.Outcome)
		case cyclamendyke.PersistCommand:
			h.logf("persist %s", c.Record.Job.Request)
			h.persist(c)
		case cyclamendyke.AccountCommand:
			h.accounted[c.Record.Verdict] += c.Record.Count
		case cyclamendyke.EventCommand:
			if c.Event.Kind == cyclamendyke.EventBackOff || c.Event.Kind == cyclamendyke.EventAdopted {
				h.logf("event %s %s%s", c.Event.Kind, c.Event.Worker, c.Event.Request)
			}
		}
	}
}

func (h *harness) claim(name cyclamendyke.WorkerName) {
	f := h.workers[name]
	if f.dropsRequests {
		h.execute(h.s.Unreachable(h.now, name))
		return
	}
	f.extendLeases(h.now, h.epoch())
	if f.dropsAnswers {
		h.execute(h.s.Unreachable(h.now, name))
		return
	}
	report := f.report()
	for _, id := range sortedTasks(f.running) {
		report.Running = append(report.Running, f.running[id])
	}
	h.execute(h.s.Claimed(h.now, report, h.now.Add(-time.Millisecond)))
}

func (h *harness) renew(name cyclamendyke.WorkerName) {
	f := h.workers[name]
	switch {
	case !f.renewing:
	case f.dropsRequests:
		h.execute(h.s.Unreachable(h.now, name))
	case f.epoch != h.epoch():
		h.claim(name)
	case f.dropsAnswers:
		f.extendLeases(h.now, h.epoch())
		h.execute(h.s.Unreachable(h.now, name))
	default:
		f.extendLeases(h.now, h.epoch())
		h.execute(h.s.Renewed(h.now, f.report(), h.now.Add(-time.Millisecond)))
	}
}

func (h *harness) start(c cyclamendyke.StartCommand) {
	f := h.workers[c.Worker]
	task := c.Start.Task
	if f.dropsRequests {
		h.delayed = append(h.delayed, delayedStart{c, h.now, h.now.Add(testStartDelay)})
	}
	if f.dropsRequests || f.dropsStarts || f.epoch != c.Start.Epoch || h.now.After(f.leaseUntil) {
		h.execute(h.s.StartAnswered(h.now, c.Worker, task, cyclamendyke.KindUnknown))
		return
	}
	if f.refusesStarts {
		h.execute(h.s.StartAnswered(h.now, c.Worker, task, &cyclamendyke.Error{Op: "worker.start", Kind: cyclamendyke.KindNoRoom}))
		return
	}
	if _, found := f.running[task]; !found {
		h.run(f, c.Start)
	}
	if f.failsTasks {
		f.end(h.now, task, cyclamendyke.TaskResult{ExitCode: 1})
	}
	var err error
	if f.dropsAnswers || f.dropsStartAnswers {
		err = cyclamendyke.KindUnknown
	}
	h.execute(h.s.StartAnswered(h.now, c.Worker, task, err))
}

// run starts a task and reports a violation if it already runs, must not run, or doesn't fit.
func (h *harness) run(f *fakeWorker, start cyclamendyke.TaskStart) {
	for _, other := range h.workers {
		if _, found := other.running[start.Task]; found {
			h.addViolation("%s runs on %s and %s", start.Task, other.vm.Name, f.vm.Name)
		}
	}
	if h.runCounts[start.Task]++; h.runCounts[start.Task] > 1 && start.Job.NotRepeatable {
		h.addViolation("%s is not repeatable but ran twice", start.Task)
	}
	if answer := h.answers[start.Task.Request]; answer.Verdict == cyclamendyke.VerdictNotRun {
		h.addViolation("%s started after its request was answered not-run", start.Task)
	}
	f.running[start.Task] = cyclamendyke.RunningTask{Task: start.Task, Job: start.Job, Reserved: start.Reserved, Started: h.now}
	var sum cyclamendyke.Resources
	for _, r := range f.running {
		sum = sum.Add(r.Reserved)
	}
	if !sum.FitsIn(f.vm.Capacity) {
		h.addViolation("%s runs tasks with reservations of %+v, which exceed its capacity", f.vm.Name, sum)
	}
}

func (h *harness) stop(c cyclamendyke.StopCommand) {
	f := h.workers[c.Worker]
	if f.dropsRequests || f.epoch != c.Epoch || c.Mode == cyclamendyke.StopThrottle {
		return
	}
	f.end(h.now, c.Task, cyclamendyke.TaskResult{ExitCode: 137, Stopped: true})
	h.execute(h.s.StopAnswered(h.now, c.Worker, c.Task, c.Mode, nil))
}

func (h *harness) answer(outcome cyclamendyke.Outcome) {
	h.logf("answer %s %s %s", outcome.Request, outcome.Verdict, outcome.Reason)
	if outcome.Verdict.IsFinal() {
		if outcome.Verdict == cyclamendyke.VerdictNotRun {
			h.checkNotRun(outcome.Request)
		}
		h.answers[outcome.Request] = outcome
	}
}

func (h *harness) checkNotRun(request cyclamendyke.RequestID) {
	for task := range h.runCounts {
		if task.Request == request {
			h.addViolation("%s ran, but its request was answered not-run", task)
		}
	}
}

func (h *harness) persist(c cyclamendyke.PersistCommand) {
	id := c.Record.Job.Request
	if h.persistResult == cyclamendyke.PersistKept || h.persistResult == cyclamendyke.PersistUnknown {
		h.journal[id] = c.Record
	}
	if c.AwaitResult && h.persistResult != "" {
		h.execute(h.s.Persisted(h.now, id, h.persistResult))
	}
}

// deliverDelayedStarts delivers delayed starts to workers that are reachable again, and drops starts
// that expire before that; a worker ignores a start that is too old for its epoch, lease or start floor.
func (h *harness) deliverDelayedStarts() {
	delayed := h.delayed
	h.delayed = nil
	for _, d := range delayed {
		f := h.workers[d.command.Worker]
		switch {
		case h.now.Before(d.expiresAt) && f.dropsRequests:
			h.delayed = append(h.delayed, d)
		case f.dropsRequests || f.epoch != d.command.Start.Epoch || h.now.After(f.leaseUntil) || f.startFloorSetAt.After(d.sent):
		default:
			if _, found := f.running[d.command.Start.Task]; !found {
				h.run(f, d.command.Start)
			}
		}
	}
}
