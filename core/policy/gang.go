package policy

// Gang places all tasks of a job at once or none of them.
type Gang struct{}

// Rank lets gangs and batch work go by arrival.
func (Gang) Rank() int { return 1 }

// Place returns the worker with the least room to spare.
func (Gang) Place(index *Index, request Request) *Candidate {
	return index.BestFit(request.Need, request.Accept)
}

// AllAtOnce returns true.
func (Gang) AllAtOnce() bool { return true }

// Restarts returns false.
func (Gang) Restarts() bool { return false }

// Preemptible returns false, since stopping one task would stop them all.
func (Gang) Preemptible() bool { return false }
