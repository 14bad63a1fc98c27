package policy

// Service spreads long-running tasks over racks, restarts them and never gives them up to other work.
type Service struct{}

// Rank puts services before the team's other work.
func (Service) Rank() int { return 0 }

// Place returns the roomiest worker of the rack that holds fewest tasks of the job.
func (Service) Place(index *Index, request Request) *Candidate {
	return index.Spread(request.Need, request.Racks, request.Accept)
}

// AllAtOnce returns false.
func (Service) AllAtOnce() bool { return false }

// Restarts returns true.
func (Service) Restarts() bool { return true }

// Preemptible returns false.
func (Service) Preemptible() bool { return false }
