package dispatch

import (
	"fmt"
	"strings"
)

// unfinished describes the targets and the tasks of workflows that are not final, for the message
// of a failing test.
func (s *Scheduler) unfinished() string {
	var out strings.Builder
	for id, j := range s.jobs {
		if j.state.IsFinal() {
			continue
		}
		for _, occ := range j.open {
			for _, step := range occ.steps {
				if step == nil {
					continue
				}
				fmt.Fprintf(&out, "%s.%d.%d released %v done %d of %d, unplaced %q\n", id, occ.number, step.index, step.released, step.done.Count(), step.spec.Count, step.unplacedReason)
				for i, task := range step.tasks.All() {
					for _, r := range task.runs {
						fmt.Fprintf(&out, "  task %d run %d on %s state %d stop accepted %v renewal failed %v\n", i, r.number, r.target.info.ID, r.state, r.stopAcceptedAt, r.target.renewFailed)
					}
				}
			}
		}
	}
	for id, t := range s.targets {
		fmt.Fprintf(&out, "%s used %v orphans %d registered %v listed %v expired %v blocked until %v claims %d\n", id, t.used, len(t.orphans), t.registered, t.listed, t.expired, t.blockedUntil, len(t.claims))
	}
	return out.String()
}
