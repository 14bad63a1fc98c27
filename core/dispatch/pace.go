package dispatch

import (
	"time"
)

// The rules for slowing fillers down beside serving tasks; the fractions are of a serving task's
// latency target.
const (
	fullPace       = 100
	slowFraction   = 0.8                     // At this latency fillers are slowed.
	pauseFraction  = 1.0                     // At this latency fillers are paused.
	resumeFraction = 0.6                     // Above this latency fillers are not sped up.
	resumeDelay    = 1500 * time.Millisecond // Least time between two increases.
	paceStep       = 25                      // Percentage points per increase.
	slowDivisor    = 2                       // Slowing fillers divides their pace by this.
)

// updateFillerPace slows the fillers on a target while a serving task there is near its latency
// target, and speeds them up again in steps afterwards.
func (s *Scheduler) updateFillerPace(t *target) {
	worstRatio := 0.0
	for _, r := range t.runs {
		if limit := r.step.spec.LatencyTarget; limit > 0 {
			worstRatio = max(worstRatio, r.load/float64(limit.Milliseconds()))
		}
	}
	wanted := t.fillerPace
	switch {
	case worstRatio >= pauseFraction:
		wanted = 0
	case worstRatio >= slowFraction:
		wanted = t.fillerPace / slowDivisor
	case worstRatio > resumeFraction:
		t.paceHeldAt = s.now
	case t.fillerPace < fullPace && s.now-t.paceHeldAt > resumeDelay:
		wanted = min(fullPace, t.fillerPace+paceStep)
		t.paceHeldAt = s.now
	}
	if wanted < t.fillerPace {
		t.paceHeldAt = s.now
	}
	t.fillerPace = wanted
	for _, r := range t.runs {
		if r.step.spec.Filler && r.state == runRunning && r.pace != wanted {
			s.setRunPace(r, wanted)
		}
	}
}

// paceNewRun slows a filler that has just started, since each run starts at full speed.
func (s *Scheduler) paceNewRun(r *run) {
	if r.step.spec.Filler && r.target.fillerPace < fullPace {
		s.setRunPace(r, r.target.fillerPace)
	}
}

func (s *Scheduler) setRunPace(r *run, percent int) {
	r.pace = percent
	s.emit(PaceCommand{Target: r.target.info, Task: r.taskName(), Run: r.number, Percent: percent})
}
