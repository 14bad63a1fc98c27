package policy

// FirstFit is the baseline: the first worker by name with room, nothing preempted.
type FirstFit struct {
	allAtOnce bool
	restarts  bool
}

// Rank lets all work go by arrival.
func (FirstFit) Rank() int { return 0 }

// Place returns the first worker by name with room.
func (FirstFit) Place(index *Index, request Request) *Candidate {
	return index.FirstFit(request.Need, request.Accept)
}

// AllAtOnce reports whether this is the baseline for gangs.
func (f FirstFit) AllAtOnce() bool { return f.allAtOnce }

// Restarts reports whether this is the baseline for services.
func (f FirstFit) Restarts() bool { return f.restarts }

// Preemptible returns false.
func (FirstFit) Preemptible() bool { return false }
