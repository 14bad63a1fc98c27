package policy

// FirstFit is the baseline: it places on the first worker by name that has room, and nothing is preempted.
type FirstFit struct {
	allOrNothing bool
	restarts     bool
}

// Rank returns 0 for every kind of job, so that jobs go in order of arrival.
func (FirstFit) Rank() int { return 0 }

// Place returns the first worker by name that has room.
func (FirstFit) Place(index *Index, request Request) *Candidate {
	return index.FirstFit(request.Need, request.Accept)
}

// AllOrNothing reports whether this is the baseline for gangs.
func (f FirstFit) AllOrNothing() bool { return f.allOrNothing }

// Restarts reports whether this is the baseline for services.
func (f FirstFit) Restarts() bool { return f.restarts }

// Preemptible returns false.
func (FirstFit) Preemptible() bool { return false }
