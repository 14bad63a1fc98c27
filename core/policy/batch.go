package policy

// Batch packs independent tasks tightly; urgent work may preempt them.
type Batch struct{}

// Rank returns 1, so that services come first.
func (Batch) Rank() int { return 1 }

// Place returns the best-fitting worker, which has the least capacity left over.
func (Batch) Place(index *Index, request Request) *Candidate {
	return index.BestFit(request.Need, request.Accept)
}

// AllOrNothing returns false.
func (Batch) AllOrNothing() bool { return false }

// Restarts returns false.
func (Batch) Restarts() bool { return false }

// Preemptible returns true.
func (Batch) Preemptible() bool { return true }
