package policy

// Gang starts the tasks of a job all together or not at all.
type Gang struct{}

// Rank returns 1 as Batch does, so that gangs and batch jobs go in order of arrival.
func (Gang) Rank() int { return 1 }

// Place returns the best-fitting worker, which has the least capacity left over.
func (Gang) Place(index *Index, request Request) *Candidate {
	return index.BestFit(request.Need, request.Accept)
}

// AllOrNothing returns true.
func (Gang) AllOrNothing() bool { return true }

// Restarts returns false.
func (Gang) Restarts() bool { return false }

// Preemptible returns false, since stopping one task would stop them all.
func (Gang) Preemptible() bool { return false }
