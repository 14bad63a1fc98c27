package bench

import (
	"fmt"

	"cyclamendyke"
)

// demand returns each team's dominant share if its waiting tasks ran too, or nil if no task waits.
func (r *policyRun) demand() map[cyclamendyke.TeamName]float64 {
	wanted := map[cyclamendyke.TeamName]cyclamendyke.Resources{}
	for request, tasks := range r.waitingTasks {
		if tasks > 0 {
			job := r.submitted[request]
			wanted[job.Team] = wanted[job.Team].Add(job.PerTask.Scale(int64(tasks)))
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	demand := map[cyclamendyke.TeamName]float64{}
	for i := range r.work.teams {
		name := teamName(i)
		demand[name] = r.reservedByTeam[name].Add(wanted[name]).DominantShare(r.capacity)
	}
	return demand
}

// distanceFromShare returns the fraction of used resources that would have to move between teams for
// weighted max-min fairness.
func (r *policyRun) distanceFromShare(demand map[cyclamendyke.TeamName]float64) float64 {
	total := 0.0
	for _, reserved := range r.reservedByTeam {
		total += reserved.DominantShare(r.capacity)
	}
	if total == 0 {
		return 0
	}
	fair := r.fairShares(demand, total)
	misallocated := 0.0
	for name, entitled := range fair {
		used := r.reservedByTeam[name].DominantShare(r.capacity)
		misallocated += max(used-entitled, entitled-used) / 2
	}
	return misallocated / total
}

// fairShares divides total by weight so that no team gets more than its demand.
func (r *policyRun) fairShares(demand map[cyclamendyke.TeamName]float64, total float64) map[cyclamendyke.TeamName]float64 {
	fair := map[cyclamendyke.TeamName]float64{}
	unassigned := sortedKeys(demand)
	for remaining := total; len(unassigned) > 0; {
		weights := 0.0
		for _, name := range unassigned {
			weights += r.weight(name)
		}
		perWeight := remaining / weights
		var unsatisfied []cyclamendyke.TeamName
		for _, name := range unassigned {
			if demand[name] > perWeight*r.weight(name) {
				unsatisfied = append(unsatisfied, name)
				continue
			}
			fair[name] = demand[name]
			remaining -= demand[name]
		}
		if len(unsatisfied) == len(unassigned) {
			for _, name := range unassigned {
				fair[name] = perWeight * r.weight(name)
			}
			return fair
		}
		unassigned = unsatisfied
	}
	return fair
}

func (r *policyRun) weight(team cyclamendyke.TeamName) float64 {
	var index int
	_, _ = fmt.Sscanf(string(team), "team-%d", &index) // The format of teamName.
	return float64(r.work.teams[index].share)
}
