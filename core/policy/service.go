package policy

// Service spreads long-running tasks over racks and restarts them; they are never preempted.
type Service struct{}

// Rank returns 0, so that services come before the team's other jobs.
func (Service) Rank() int { return 0 }

// Place returns the worker with the most free cores in the rack with the fewest tasks of the job.
func (Service) Place(index *Index, request Request) *Candidate {
	return index.Spread(request.Need, request.TasksByRack, request.Accept)
}

// AllOrNothing returns false.
func (Service) AllOrNothing() bool { return false }

// Restarts returns true.
func (Service) Restarts() bool { return true }

// Preemptible returns false.
func (Service) Preemptible() bool { return false }
