package dispatch

import (
	"time"

	"cyclamendyke"
)

// unexplainedCrash is a machine's last crash for which no task is known to be to blame.
type unexplainedCrash struct {
	target cyclamendyke.TargetID
	at     time.Duration
}

// crashMemory is how long a machine counts as prone to crash after an unexplained crash.
const crashMemory = 30 * time.Second

// crashedLately reports whether a target's machine may be prone to crash, so that another crash there says
// little about the task that was tried.
func (s *Scheduler) crashedLately(t *target) bool {
	last, hasCrashed := s.unexplainedCrashes[t.info.Address]
	return hasCrashed && s.now-last.at < crashMemory
}

// explainCrashes trusts the machines again that a task crashed which is known to be to blame.
func (s *Scheduler) explainCrashes(history *crashHistory) {
	for _, c := range history.crashes {
		for address, last := range s.unexplainedCrashes {
			if last.target == c.Target {
				delete(s.unexplainedCrashes, address)
			}
		}
	}
}
