package scheduler

import (
	"cmp"
	"math/rand/v2"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/share"
)

// Scheduler decides for one zone; it implements cyclamendyke.Scheduler.
type Scheduler struct {
	cfg        Config
	now        time.Time // Of the present call.
	out        []cyclamendyke.Command
	random     *rand.Rand
	timers     *timers
	authority  cyclamendyke.Authority
	barrier    barrier
	tables     *cyclamendyke.Tables
	pools      map[cyclamendyke.PoolName]*pool
	teams      map[cyclamendyke.TeamName]*team
	workers    map[cyclamendyke.WorkerName]*worker
	jobs       map[cyclamendyke.RequestID]*job
	orders     [urgencies]*share.Order
	capacity   cyclamendyke.Resources // Of all workers of the zone.
	nextSeq    uint64
	ticks      uint64
	nextHold   time.Time
	unfinished int
	finished   []*job // Oldest first.
	stray      map[cyclamendyke.RequestID][]cyclamendyke.TaskResult
	strayOrder []cyclamendyke.RequestID
}

var _ cyclamendyke.Scheduler = (*Scheduler)(nil)

// New returns a scheduler without authority, tables or workers.
func New(cfg Config) *Scheduler {
	s := &Scheduler{
		cfg:     cfg.withDefaults(),
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		timers:  newTimers(),
		pools:   make(map[cyclamendyke.PoolName]*pool),
		teams:   make(map[cyclamendyke.TeamName]*team),
		workers: make(map[cyclamendyke.WorkerName]*worker),
		jobs:    make(map[cyclamendyke.RequestID]*job),
		stray:   make(map[cyclamendyke.RequestID][]cyclamendyke.TaskResult),
	}
	for u := range urgencies {
		s.orders[u] = share.NewOrder()
	}
	return s
}

// SetAuthority tells whether this scheduler may act; a new epoch forgets unfinished jobs and claims every worker again.
func (s *Scheduler) SetAuthority(now time.Time, authority cyclamendyke.Authority) []cyclamendyke.Command {
	s.now = now
	s.setAuthority(authority)
	return s.flush()
}

// SetTables puts a revision of the tables in force unless a later one is.
func (s *Scheduler) SetTables(now time.Time, tables *cyclamendyke.Tables) []cyclamendyke.Command {
	s.now = now
	s.setTables(tables)
	return s.flush()
}

// SetAllotments sets what each team may use in this zone.
func (s *Scheduler) SetAllotments(now time.Time, held map[cyclamendyke.TeamName]cyclamendyke.Resources) []cyclamendyke.Command {
	s.now = now
	s.setAllotments(held)
	return s.flush()
}

// SetVMs brings the list of this zone's VMs up to date.
func (s *Scheduler) SetVMs(now time.Time, vms []cyclamendyke.VM) []cyclamendyke.Command {
	s.now = now
	s.setVMs(vms)
	return s.flush()
}

// Submit accepts, refuses or answers a job.
func (s *Scheduler) Submit(now time.Time, job cyclamendyke.Job) []cyclamendyke.Command {
	s.now = now
	s.submit(job)
	return s.flush()
}

// Persisted reports what became of a record that a job waits for.
func (s *Scheduler) Persisted(now time.Time, request cyclamendyke.RequestID, result cyclamendyke.PersistResult) []cyclamendyke.Command {
	s.now = now
	s.persisted(request, result)
	return s.flush()
}

// Recover restores the jobs found in the journal at a takeover.
func (s *Scheduler) Recover(now time.Time, jobs []cyclamendyke.JournalRecord) []cyclamendyke.Command {
	s.now = now
	for _, record := range jobs {
		s.restore(record)
	}
	return s.flush()
}

// Cancel ends a job in constant time; what still runs of it is stopped.
func (s *Scheduler) Cancel(now time.Time, request cyclamendyke.RequestID) []cyclamendyke.Command {
	s.now = now
	if j := s.jobs[request]; j != nil && j.state < jobClosing && !j.orphan {
		s.end(j, s.interrupted(j, cyclamendyke.ReasonCancelled, "The request was cancelled."))
	}
	return s.flush()
}

// Claimed takes in the complete listing of a worker.
func (s *Scheduler) Claimed(now time.Time, report cyclamendyke.WorkerReport, sent time.Time) []cyclamendyke.Command {
	s.now = now
	s.claimed(report, sent)
	return s.flush()
}

// Renewed takes in what a worker reports with a renewal.
func (s *Scheduler) Renewed(now time.Time, report cyclamendyke.WorkerReport, sent time.Time) []cyclamendyke.Command {
	s.now = now
	s.renewed(report, sent)
	return s.flush()
}

// Unreachable takes note that a worker failed a renewal on an old and on a fresh connection.
func (s *Scheduler) Unreachable(now time.Time, worker cyclamendyke.WorkerName) []cyclamendyke.Command {
	s.now = now
	s.unreachable(worker)
	return s.flush()
}

// StartAnswered takes in the answer to a StartCommand.
func (s *Scheduler) StartAnswered(now time.Time, worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, err error) []cyclamendyke.Command {
	s.now = now
	s.startAnswered(worker, task, err)
	return s.flush()
}

// StopAnswered takes in the answer to a StopCommand.
func (s *Scheduler) StopAnswered(now time.Time, worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, mode cyclamendyke.StopMode, err error) []cyclamendyke.Command {
	s.now = now
	s.stopAnswered(worker, task, mode, err)
	return s.flush()
}

// Tick expires timers and places waiting work.
func (s *Scheduler) Tick(now time.Time) []cyclamendyke.Command {
	s.now = now
	s.ticks++
	s.timers.run(now)
	s.forgetFinished()
	s.offerHolds()
	s.place()
	return s.flush()
}

func (s *Scheduler) emit(command cyclamendyke.Command) {
	s.out = append(s.out, command)
}

func (s *Scheduler) flush() []cyclamendyke.Command {
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) taskEvent(kind cyclamendyke.EventKind, t *task, detail string) {
	s.emit(cyclamendyke.EventCommand{Event: cyclamendyke.TimelineEvent{
		Kind:    kind,
		Request: t.id.Request,
		Task:    t.id.Index,
		Worker:  t.worker.vm.Name,
		Team:    t.job.spec.Team,
		Epoch:   s.authority.Epoch,
		Detail:  detail,
	}})
}

func (s *Scheduler) jobEvent(kind cyclamendyke.EventKind, spec *cyclamendyke.Job, detail string) {
	s.emit(cyclamendyke.EventCommand{Event: cyclamendyke.TimelineEvent{
		Kind:    kind,
		Request: spec.Request,
		Team:    spec.Team,
		Epoch:   s.authority.Epoch,
		Detail:  detail,
	}})
}

func (s *Scheduler) workerEvent(kind cyclamendyke.EventKind, w *worker, detail string) {
	s.emit(cyclamendyke.EventCommand{Event: cyclamendyke.TimelineEvent{
		Kind:   kind,
		Worker: w.vm.Name,
		Epoch:  s.authority.Epoch,
		Detail: detail,
	}})
}

func (s *Scheduler) seq() uint64 {
	s.nextSeq++
	return s.nextSeq
}

func (s *Scheduler) teamOf(name cyclamendyke.TeamName) *team {
	found := s.teams[name]
	if found == nil {
		found = newTeam(name)
		s.teams[name] = found
	}
	return found
}

func compareTasks(a, b cyclamendyke.TaskID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Index, b.Index))
}
