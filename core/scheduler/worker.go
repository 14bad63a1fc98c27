package scheduler

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

// worker is what is known of one worker VM.
type worker struct {
	vm           cyclamendyke.VM
	pool         *pool
	capacity     cyclamendyke.Resources
	reserved     cyclamendyke.Resources
	tasks        map[cyclamendyke.TaskID]*task
	candidate    *policy.Candidate
	indexed      bool
	claimed      bool
	incarnation  uint64 // As in the latest listing.
	sequence     uint64
	answered     time.Time // When the latest answered call was sent.
	silentSince  time.Time // Zero while it answers.
	forgotten    bool      // Renewals have ended until the tasks are proved over.
	leavingFrom  time.Time // Zero while it is live.
	goneSince    time.Time // Zero while it is in the list.
	pinnedFor    *job      // Whose next task goes here before any other work.
	listingAsked time.Time // The last time that one more listing was asked for.
	failures     int       // Since the last success.
	failedJobs   []*job    // Distinct, bounded by maxFailedJobs.
	backOff      time.Duration
	backOffEnds  time.Time // Zero while it is not on back-off.
	probing      bool      // It may hold one new task until one succeeds.
}

const maxFailedJobs = 8

func newWorker(vm cyclamendyke.VM, p *pool) *worker {
	return &worker{
		vm:       vm,
		pool:     p,
		capacity: vm.Capacity,
		tasks:    make(map[cyclamendyke.TaskID]*task),
		candidate: &policy.Candidate{
			Name: vm.Name,
			Rack: vm.Rack,
		},
	}
}

// takesWork reports whether new tasks may be placed on the worker.
func (w *worker) takesWork() bool {
	return w.claimed && w.reachable() && w.vm.State == cyclamendyke.VMLive && w.goneSince.IsZero() && w.backOffEnds.IsZero() &&
		w.pinnedFor == nil && (!w.probing || len(w.tasks) == 0)
}

func (w *worker) reachable() bool {
	return w.silentSince.IsZero() && !w.forgotten
}

func (w *worker) free() cyclamendyke.Resources {
	return w.pool.usable(w.capacity).Sub(w.reserved)
}

// runsOtherWork reports whether the worker is not suspected of failing whatever it is given.
func (w *worker) runsOtherWork(j *job) bool {
	return w.backOffEnds.IsZero() && !w.probing && !slices.ContainsFunc(w.failedJobs, func(other *job) bool { return other != j })
}

func (w *worker) tasksInOrder() []*task {
	placed := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		placed = append(placed, t)
	}
	slices.SortFunc(placed, func(a, b *task) int { return compareTasks(a.id, b.id) })
	return placed
}

func (w *worker) state(now time.Time) cyclamendyke.WorkerState {
	state := cyclamendyke.WorkerState{
		VM:       w.vm,
		Claimed:  w.claimed,
		Healthy:  w.reachable() && w.backOffEnds.IsZero() && !w.probing,
		Reserved: w.reserved,
		Tasks:    len(w.tasks),
	}
	if w.backOffEnds.After(now) {
		state.BackOff = w.backOffEnds.Sub(now)
	}
	return state
}
