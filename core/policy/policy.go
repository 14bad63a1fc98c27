package policy

import "cyclamendyke"

// Request describes one task to place.
type Request struct {
	Need   cyclamendyke.Resources
	Racks  map[string]int        // The job's placed tasks by rack.
	Accept func(*Candidate) bool // Rejects workers that this job must avoid.
}

// Policy decides order and placement for one kind of job.
type Policy interface {
	// Rank orders a team's kinds of job, lowest first.
	Rank() int
	// Place returns a worker with room, or nil.
	Place(index *Index, request Request) *Candidate
	// AllAtOnce reports whether no task may start before all have a place.
	AllAtOnce() bool
	// Restarts reports whether a task that ended by itself is started again.
	Restarts() bool
	// Preemptible reports whether tasks may be stopped for urgent work.
	Preemptible() bool
}

// Set is the choice of policies that a scheduler works by.
type Set struct {
	Kinds     map[cyclamendyke.JobKind]Policy
	FairShare bool // Otherwise jobs go in order of arrival, whatever their team.
	Preempts  bool // Urgent work stops other work that it would wait for.
	Holds     bool // Room is held for the job that has waited longest, so that smaller ones don't pass it for ever.
}

// Standard returns the policies for production: spread services, packed batch, gangs all at once, fair shares.
func Standard() Set {
	return Set{
		Kinds: map[cyclamendyke.JobKind]Policy{
			cyclamendyke.KindService: Service{},
			cyclamendyke.KindBatch:   Batch{},
			cyclamendyke.KindGang:    Gang{},
		},
		FairShare: true,
		Preempts:  true,
		Holds:     true,
	}
}

// Baseline returns FIFO order with first-fit placement, which the others are measured against.
func Baseline() Set {
	return Set{
		Kinds: map[cyclamendyke.JobKind]Policy{
			cyclamendyke.KindService: FirstFit{restarts: true},
			cyclamendyke.KindBatch:   FirstFit{},
			cyclamendyke.KindGang:    FirstFit{allAtOnce: true},
		},
	}
}
