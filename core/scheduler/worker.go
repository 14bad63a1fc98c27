package scheduler

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
)

// worker holds the state of one worker VM.
type worker struct {
	vm                  cyclamendyke.VM
	pool                *pool
	capacity            cyclamendyke.Resources
	reserved            cyclamendyke.Resources
	tasks               map[cyclamendyke.TaskID]*task
	candidate           *policy.Candidate
	indexed             bool          // Whether the candidate is in the pool's index.
	claimed             bool          // Whether it has listed its tasks in this term since its leases last lapsed.
	incarnation         uint64        // The worker's incarnation in its latest listing.
	sequence            uint64        // The sequence number of its latest report.
	lastContact         time.Time     // When the latest answered call was sent.
	unreachableSince    time.Time     // When it stopped answering; zero while it answers.
	renewalsEnded       bool          // No renewals are sent until its leases have lapsed or it answers.
	leavingSince        time.Time     // When it was found to be leaving; zero if it never was.
	absentSince         time.Time     // Since when it is missing from the VM list; zero while it is listed.
	heldFor             *job          // The job that this worker is held for; no other job's tasks are placed here.
	lastListingRequest  time.Time     // When a fresh listing was last requested.
	consecutiveFailures int           // Task failures since the last success, or since a job that failed here was ended for failing.
	failedJobs          []*job        // Distinct jobs that failed here since the last success, at most maxFailedJobs.
	backOff             time.Duration // The length of the latest back-off; zero after a success.
	backOffUntil        time.Time     // Zero while no back-off or pause is in force.
	probing             bool          // Its back-off has ended; it gets one task at a time until one succeeds.
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

// schedulable reports whether new tasks may be placed on the worker.
func (w *worker) schedulable() bool {
	return w.claimed && w.reachable() && w.vm.State == cyclamendyke.VMLive && w.absentSince.IsZero() && w.backOffUntil.IsZero() &&
		w.heldFor == nil && (!w.probing || len(w.tasks) == 0)
}

func (w *worker) reachable() bool {
	return w.unreachableSince.IsZero() && !w.renewalsEnded
}

func (w *worker) free() cyclamendyke.Resources {
	return w.pool.usable(w.capacity).Sub(w.reserved)
}

// healthyExceptFor reports whether w has no back-off, no probe and no failed job other than j.
func (w *worker) healthyExceptFor(j *job) bool {
	return w.backOffUntil.IsZero() && !w.probing && !slices.ContainsFunc(w.failedJobs, func(other *job) bool { return other != j })
}

func (w *worker) tasksInOrder() []*task {
	placed := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		placed = append(placed, t)
	}
	slices.SortFunc(placed, func(a, b *task) int { return compareTaskIDs(a.id, b.id) })
	return placed
}

func (w *worker) state(now time.Time) cyclamendyke.WorkerState {
	state := cyclamendyke.WorkerState{
		VM:       w.vm,
		Claimed:  w.claimed,
		Healthy:  w.reachable() && w.backOffUntil.IsZero() && !w.probing,
		Reserved: w.reserved,
		Tasks:    len(w.tasks),
	}
	if w.backOffUntil.After(now) {
		state.BackOff = w.backOffUntil.Sub(now)
	}
	return state
}
