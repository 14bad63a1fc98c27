package policy

// Batch packs independent tasks tightly and gives them up to urgent work.
type Batch struct{}

// Rank puts batch work behind services.
func (Batch) Rank() int { return 1 }

// Place returns the worker with the least room to spare.
func (Batch) Place(index *Index, request Request) *Candidate {
	return index.BestFit(request.Need, request.Accept)
}

// AllAtOnce returns false.
func (Batch) AllAtOnce() bool { return false }

// Restarts returns false.
func (Batch) Restarts() bool { return false }

// Preemptible returns true.
func (Batch) Preemptible() bool { return true }
