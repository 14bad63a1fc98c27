package policy

import "cyclamendyke"

// Request describes one task to place.
type Request struct {
	Need        cyclamendyke.Resources
	TasksByRack map[string]int        // The job's placed tasks by rack.
	Accept      func(*Candidate) bool // Reports false for workers that this job must avoid.
}

// Policy decides the order and the placement of one kind of job.
type Policy interface {
	// Rank orders the kinds of job within a team, lowest first.
	Rank() int
	// Place returns a worker with room, or nil.
	Place(index *Index, request Request) *Candidate
	// AllOrNothing reports whether no task may start before all tasks are placed.
	AllOrNothing() bool
	// Restarts reports whether a task that exits by itself is started again.
	Restarts() bool
	// Preemptible reports whether tasks may be stopped to make room for urgent work.
	Preemptible() bool
}

// Set is a scheduler's choice of policies.
type Set struct {
	Kinds            map[cyclamendyke.JobKind]Policy
	FairShare        bool // If false, jobs go in order of arrival, whatever their team.
	Preempts         bool // Urgent jobs may preempt others instead of waiting.
	ReservesCapacity bool // Reserves capacity for the job that has waited longest, so that smaller jobs can't starve it.
}

// Standard returns the policies for production: services are spread, batch jobs are packed, gangs start all
// together, and teams get fair shares.
func Standard() Set {
	return Set{
		Kinds: map[cyclamendyke.JobKind]Policy{
			cyclamendyke.KindService: Service{},
			cyclamendyke.KindBatch:   Batch{},
			cyclamendyke.KindGang:    Gang{},
		},
		FairShare:        true,
		Preempts:         true,
		ReservesCapacity: true,
	}
}

// Baseline returns FIFO order with first-fit placement, for comparison with the other policies.
func Baseline() Set {
	return Set{
		Kinds: map[cyclamendyke.JobKind]Policy{
			cyclamendyke.KindService: FirstFit{restarts: true},
			cyclamendyke.KindBatch:   FirstFit{},
			cyclamendyke.KindGang:    FirstFit{allOrNothing: true},
		},
	}
}
