package dispatch

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/advice"
)

// team holds a team's settings and the resources of its runs.
type team struct {
	config          cyclamendyke.TeamConfig
	used            cyclamendyke.Resources
	maxUnlistedUse  cyclamendyke.Resources // Upper bound of what runs of earlier epochs use on targets that have not answered.
	shareTokens     float64                // Workflows that the team may submit now without exceeding its share.
	shareRefilledAt time.Duration
	adviceLoad      advice.Load // Members that requests for its steps have kept busy lately.
}

func (s *Scheduler) team(name cyclamendyke.TeamName) *team {
	found := s.teams[name]
	if found == nil {
		found = &team{config: cyclamendyke.TeamConfig{Team: name}}
		s.teams[name] = found
	}
	return found
}

// admits reports whether the team's limit allows need in addition to its runs.
func (t *team) admits(need cyclamendyke.Resources) bool {
	after := t.used.Add(t.maxUnlistedUse).Add(need)
	limit := t.config.Limit
	return (limit.Cores == 0 || after.Cores <= limit.Cores) &&
		(limit.Memory == 0 || after.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || after.Accelerators <= limit.Accelerators)
}
