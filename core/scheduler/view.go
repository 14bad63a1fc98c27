package scheduler

import "cyclamendyke"

// Status returns the status of a job, if the job is known.
func (s *Scheduler) Status(request cyclamendyke.RequestID) (cyclamendyke.JobStatus, bool) {
	j := s.jobs[request]
	if j == nil {
		return cyclamendyke.JobStatus{}, false
	}
	return j.status(), true
}

// Summary returns the load of each pool in this zone.
func (s *Scheduler) Summary() map[cyclamendyke.PoolName]cyclamendyke.PoolState {
	summary := make(map[cyclamendyke.PoolName]cyclamendyke.PoolState, len(s.pools))
	for name, p := range s.pools {
		summary[name] = cyclamendyke.PoolState{
			Workers:  p.workerCount,
			Capacity: p.capacity,
			Reserved: p.reserved,
			Waiting:  p.waitingTasks,
		}
	}
	return summary
}

// Demand returns for each team the resources that it has reserved and those that its waiting tasks need.
func (s *Scheduler) Demand() map[cyclamendyke.TeamName]cyclamendyke.TeamDemand {
	demand := make(map[cyclamendyke.TeamName]cyclamendyke.TeamDemand, len(s.teams))
	unlisted := s.unlistedCapacity()
	for name, t := range s.teams {
		demand[name] = cyclamendyke.TeamDemand{Reserved: t.reserved, Waiting: t.demand, UnlistedBound: unlisted}
	}
	return demand
}

// Workers returns the state of each worker, sorted by name.
func (s *Scheduler) Workers() []cyclamendyke.WorkerState {
	ordered := s.workersInOrder()
	states := make([]cyclamendyke.WorkerState, 0, len(ordered))
	for _, w := range ordered {
		states = append(states, w.state(s.now))
	}
	return states
}
