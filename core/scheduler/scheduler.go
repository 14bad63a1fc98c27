package scheduler

import (
	"cmp"
	"math/rand/v2"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/share"
)

// Scheduler implements cyclamendyke.Scheduler for one zone.
type Scheduler struct {
	cfg               Config
	now               time.Time              // The time passed to the current call.
	commands          []cyclamendyke.Command // Collected during the current call and returned by it.
	random            *rand.Rand
	timers            *timers
	authority         cyclamendyke.Authority
	barrier           barrier
	tables            *cyclamendyke.Tables
	pools             map[cyclamendyke.PoolName]*pool
	teams             map[cyclamendyke.TeamName]*team
	workers           map[cyclamendyke.WorkerName]*worker
	jobs              map[cyclamendyke.RequestID]*job
	teamOrders        [urgencyLevels]*share.Order
	capacity          cyclamendyke.Resources // The total of all workers in the zone.
	lastSeq           uint64
	ticks             uint64
	nextHoldCheck     time.Time
	unfinishedCount   int
	finished          []*job                                               // Oldest first.
	orphanResults     map[cyclamendyke.RequestID][]cyclamendyke.TaskResult // Results for requests that are not known yet.
	orphanResultOrder []cyclamendyke.RequestID                             // The keys of orphanResults, oldest first.
}

var _ cyclamendyke.Scheduler = (*Scheduler)(nil)

// New returns a scheduler without authority, tables or workers.
func New(cfg Config) *Scheduler {
	s := &Scheduler{
		cfg:           cfg.withDefaults(),
		random:        rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		timers:        newTimers(),
		pools:         make(map[cyclamendyke.PoolName]*pool),
		teams:         make(map[cyclamendyke.TeamName]*team),
		workers:       make(map[cyclamendyke.WorkerName]*worker),
		jobs:          make(map[cyclamendyke.RequestID]*job),
		orphanResults: make(map[cyclamendyke.RequestID][]cyclamendyke.TaskResult),
	}
	for u := range urgencyLevels {
		s.teamOrders[u] = share.NewOrder()
	}
	return s
}

// SetAuthority sets the epoch and until when this scheduler may act; a new epoch drops
// unfinished jobs and claims every worker again.
func (s *Scheduler) SetAuthority(now time.Time, authority cyclamendyke.Authority) []cyclamendyke.Command {
	s.now = now
	s.setAuthority(authority)
	return s.flush()
}

// SetTables puts a revision of the tables in force unless that or a later one already is.
func (s *Scheduler) SetTables(now time.Time, tables *cyclamendyke.Tables) []cyclamendyke.Command {
	s.now = now
	s.setTables(tables)
	return s.flush()
}

// SetAllotments sets what each team may use in this zone.
func (s *Scheduler) SetAllotments(now time.Time, allotments map[cyclamendyke.TeamName]cyclamendyke.Resources) []cyclamendyke.Command {
	s.now = now
	s.setAllotments(allotments)
	return s.flush()
}

// SetVMs replaces the list of this zone's VMs.
func (s *Scheduler) SetVMs(now time.Time, vms []cyclamendyke.VM) []cyclamendyke.Command {
	s.now = now
	s.setVMs(vms)
	return s.flush()
}

// Submit accepts or refuses a job, or repeats the answer to a request that is already known.
func (s *Scheduler) Submit(now time.Time, job cyclamendyke.Job) []cyclamendyke.Command {
	s.now = now
	s.submit(job)
	return s.flush()
}

// Persisted handles the result of writing a record that a job waits for.
func (s *Scheduler) Persisted(now time.Time, request cyclamendyke.RequestID, result cyclamendyke.PersistResult) []cyclamendyke.Command {
	s.now = now
	s.handlePersistResult(request, result)
	return s.flush()
}

// Recover restores the jobs that a takeover finds in the journal.
func (s *Scheduler) Recover(now time.Time, records []cyclamendyke.JournalRecord) []cyclamendyke.Command {
	s.now = now
	for _, record := range records {
		s.restoreJob(record)
	}
	return s.flush()
}

// Cancel ends a job in constant time; the next Tick stops its running tasks.
func (s *Scheduler) Cancel(now time.Time, request cyclamendyke.RequestID) []cyclamendyke.Command {
	s.now = now
	if j := s.jobs[request]; j != nil && j.state < jobAwaitingFinalRecord && !j.orphan {
		s.endJob(j, s.interruptedOutcome(j, cyclamendyke.ReasonCancelled, "The request was cancelled."))
	}
	return s.flush()
}

// Claimed handles the complete task listing that a worker returned to a claim sent at sent.
func (s *Scheduler) Claimed(now time.Time, report cyclamendyke.WorkerReport, sent time.Time) []cyclamendyke.Command {
	s.now = now
	s.handleClaimReport(report, sent)
	return s.flush()
}

// Renewed handles the changes that a worker reported in answer to a renewal sent at sent.
func (s *Scheduler) Renewed(now time.Time, report cyclamendyke.WorkerReport, sent time.Time) []cyclamendyke.Command {
	s.now = now
	s.handleRenewal(report, sent)
	return s.flush()
}

// Unreachable handles a worker that failed a renewal on both an old and a fresh connection.
func (s *Scheduler) Unreachable(now time.Time, worker cyclamendyke.WorkerName) []cyclamendyke.Command {
	s.now = now
	s.handleUnreachable(worker)
	return s.flush()
}

// StartAnswered handles the answer to a StartCommand.
func (s *Scheduler) StartAnswered(now time.Time, worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, err error) []cyclamendyke.Command {
	s.now = now
	s.handleStartAnswer(worker, task, err)
	return s.flush()
}

// StopAnswered handles the answer to a StopCommand.
func (s *Scheduler) StopAnswered(now time.Time, worker cyclamendyke.WorkerName, task cyclamendyke.TaskID, mode cyclamendyke.StopMode, err error) []cyclamendyke.Command {
	s.now = now
	s.handleStopAnswer(worker, task, mode, err)
	return s.flush()
}

// Tick fires due timers and places waiting tasks.
func (s *Scheduler) Tick(now time.Time) []cyclamendyke.Command {
	s.now = now
	s.ticks++
	s.timers.fireDue(now)
	s.pruneFinished()
	s.grantHolds()
	s.placeWaiting()
	return s.flush()
}

func (s *Scheduler) emit(command cyclamendyke.Command) {
	s.commands = append(s.commands, command)
}

func (s *Scheduler) flush() []cyclamendyke.Command {
	out := s.commands
	s.commands = nil
	return out
}

func (s *Scheduler) emitTaskEvent(kind cyclamendyke.EventKind, t *task, detail string) {
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

func (s *Scheduler) emitJobEvent(kind cyclamendyke.EventKind, spec *cyclamendyke.Job, detail string) {
	s.emit(cyclamendyke.EventCommand{Event: cyclamendyke.TimelineEvent{
		Kind:    kind,
		Request: spec.Request,
		Team:    spec.Team,
		Epoch:   s.authority.Epoch,
		Detail:  detail,
	}})
}

func (s *Scheduler) emitWorkerEvent(kind cyclamendyke.EventKind, w *worker, detail string) {
	s.emit(cyclamendyke.EventCommand{Event: cyclamendyke.TimelineEvent{
		Kind:   kind,
		Worker: w.vm.Name,
		Epoch:  s.authority.Epoch,
		Detail: detail,
	}})
}

func (s *Scheduler) nextSeq() uint64 {
	s.lastSeq++
	return s.lastSeq
}

func (s *Scheduler) ensureTeam(name cyclamendyke.TeamName) *team {
	t := s.teams[name]
	if t == nil {
		t = newTeam(name)
		s.teams[name] = t
	}
	return t
}

func compareTaskIDs(a, b cyclamendyke.TaskID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Index, b.Index))
}
