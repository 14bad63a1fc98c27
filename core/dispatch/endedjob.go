package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/progress"
)

// endedJob is a workflow whose final state is stored.
type endedJob struct {
	state cyclamendyke.WorkflowState
	team  cyclamendyke.TeamName
	at    time.Duration // When the state became final.
}

// forgetEnded keeps only the state of workflows that have ended, once their runs have ended too and none
// can be left from earlier epochs, and that only for as long as it must stay available.
func (s *Scheduler) forgetEnded() {
	s.ended = slices.DeleteFunc(s.ended, func(j *job) bool {
		if j.runCount > 0 || j.inherited && !s.earlierRunsKnown {
			return false
		}
		s.closeAll(j)
		s.heldBytes -= j.footprint
		delete(s.jobs, j.spec.ID)
		s.endedJobs[j.spec.ID] = endedJob{state: j.state, team: j.spec.Team, at: j.finalAt}
		return true
	})
	if s.now < s.forgetAt {
		return
	}
	s.forgetAt = s.now + forgetInterval
	for id, j := range s.endedJobs {
		if s.now-j.at >= s.cfg.Bounds.StatusRetention+progress.ExpiryMargin {
			delete(s.endedJobs, id)
		}
	}
}

// forgetInterval is the time between two searches for ended workflows to forget.
const forgetInterval = 10 * time.Second
