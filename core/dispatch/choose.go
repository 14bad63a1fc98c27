package dispatch

import (
	"slices"

	"cyclamendyke"
)

// eligible reports whether a target can ever run the step's tasks, whatever else it runs.
func (s *Scheduler) eligible(step *stepRun, queue *cyclamendyke.Queue, t *target) bool {
	return t.info.Service == queue.Service &&
		(step.spec.Label == "" || slices.Contains(t.info.Labels, step.spec.Label)) &&
		step.spec.Reserved().FitsIn(t.info.Capacity)
}

// usable reports whether a task that is not tried apart may be started on a target now.
func (s *Scheduler) usable(t *target) bool {
	return s.ready(t) && !s.evacuated(t) && t.trial == nil
}

// ready reports whether a target may be usable, whether its zone is evacuated or not.
func (s *Scheduler) ready(t *target) bool {
	isPresent := t.registered && !t.undescribed && t.announced == nil && t.listed && !t.expired && !t.closed && !t.info.Draining
	isHeld := t.fenceInDoubt || t.mayStartLate() || t.avoided || len(t.orphans) > 0 || s.staleServices[t.info.Service] || s.now < t.blockedUntil
	return isPresent && !isHeld && !t.renewFailed && s.now-t.answeredAt <= maxAnswerAge && s.canHoldLease(t)
}

// plan is a tentative placement: the number of gang members on each target.
type plan map[*target]int

// candidates returns the targets on which the step's tasks may start now if they fit. For a queue
// with advice, these are only the targets with a valid ticket.
func (s *Scheduler) candidates(step *stepRun, queue *cyclamendyke.Queue) []*target {
	var out []*target
	if queue.Advice == nil {
		for _, t := range s.usableByService[queue.Service] {
			if t.trial == nil && s.eligible(step, queue, t) {
				out = append(out, t)
			}
		}
		return out
	}
	if s.now >= step.advice.ticketsUntil {
		return nil
	}
	for id, v := range step.advice.verdicts {
		t := s.targets[id]
		if v.allowed && s.now < v.expiresAt && t != nil && s.usable(t) && s.eligible(step, queue, t) {
			out = append(out, t)
		}
	}
	return out
}

// bestTarget returns the target with the lowest score for one more task of the step in addition to
// planned, or nil; avoid is returned only if no other target fits.
func (s *Scheduler) bestTarget(step *stepRun, targets []*target, avoid cyclamendyke.TargetID, planned plan) *target {
	var best, avoided *target
	var bestScore float64
	zones := step.zonesInUse(planned)
	for _, t := range targets {
		if s.lags(t) || !step.spec.Gang && s.awaitsOutcomes(t) || !s.fitsNow(step, t, planned[t]) || !s.leavesHeadroom(step, t, planned) {
			continue
		}
		if t.info.ID == avoid {
			avoided = t
			continue
		}
		score := s.score(step, t, planned)
		if len(zones) > 0 && !zones[t.info.Zone] {
			score += otherZoneWeight
		}
		if best == nil || score < bestScore || score == bestScore && t.info.ID < best.info.ID {
			best, bestScore = t, score
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// zonesInUse returns the availability zones in which tasks of the step run or are planned. It returns none for tasks
// that always run, which had better not all be lost with one zone, and once targets have crashed under the workflow,
// which must get away from them.
func (step *stepRun) zonesInUse(planned plan) map[cyclamendyke.ZoneName]bool {
	zones := map[cyclamendyke.ZoneName]bool{}
	if step.spec.LongRunning || step.job.hasCrashes {
		return zones
	}
	for t, count := range planned {
		if count > 0 {
			zones[t.info.Zone] = true
		}
	}
	for zone := range step.zoneRuns {
		zones[zone] = true
	}
	return zones
}

// The limits of what one target may have, however small its tasks are, so that its listings stay short and its orders are answered
// soon.
const (
	maxTargetRuns = 2000
	maxStepRuns   = maxTargetRuns / 2 // Of one step.
	maxStartsSent = 64                // Requests to start a run without an outcome; a gang starts all its members at once.
)

// fitsNow reports whether one more task of the step fits on a target in addition to planned others.
func (s *Scheduler) fitsNow(step *stepRun, t *target, planned int) bool {
	if len(t.runs)+planned >= maxTargetRuns || t.runCount(step)+planned >= maxStepRuns {
		return false
	}
	if limit := step.spec.MaxPerTarget; limit > 0 && t.runCount(step)+planned >= limit {
		return false
	}
	need := step.spec.Reserved().Scale(int64(planned + 1))
	return need.FitsIn(s.available(step, t))
}

// runCount counts the runs of a step on a target.
func (t *target) runCount(step *stepRun) int {
	return t.stepRuns[step]
}

// atMaxPerTarget reports whether a target has as many tasks of a step as the step allows.
func (t *target) atMaxPerTarget(step *stepRun) bool {
	return step.spec.MaxPerTarget > 0 && t.runCount(step) >= step.spec.MaxPerTarget
}

// The weights in a target's score, relative to the fraction of its cores that stays free.
const (
	dataRackWeight     = 4.0 // A task away from the rack of its data.
	interferenceWeight = 1.0 // A serving task beside a filler, or the reverse.
	gangRackWeight     = 2.0 // A gang member on another rack than the others.
	acceleratorWeight  = 1.0 // Fraction of accelerators left free.
	speedWeight        = 4.0 // Slowness of the target, times the step's haste.
	otherZoneWeight    = 0.7 // A task in another zone than the step's others: it then waits for both if one is cut off.
)

// score rates a target for a task; lower is better. It prefers tight fits, which leave whole
// targets free for wide tasks.
func (s *Scheduler) score(step *stepRun, t *target, planned plan) float64 {
	need := step.spec.Reserved()
	left := t.free().Sub(need.Scale(int64(planned[t] + 1)))
	score := float64(left.Cores) / float64(max(1, t.info.Capacity.Cores))
	if t.info.Capacity.Accelerators > 0 {
		score += acceleratorWeight * float64(left.Accelerators) / float64(t.info.Capacity.Accelerators)
	}
	if step.spec.Rack != "" && !slices.Contains(t.info.Labels, step.spec.Rack) {
		score += dataRackWeight
	}
	if step.spec.SameRack && len(planned) > 0 && !planned.sameRack(t) {
		score += gangRackWeight
	}
	score += speedWeight * step.haste * s.slowness(t)
	if step.spec.LatencyTarget > 0 {
		score += interferenceWeight * float64(t.fillerRuns)
	}
	if step.spec.Filler {
		score += interferenceWeight * float64(t.servingRuns)
		score += float64(t.runCount(step)) / float64(max(1, step.spec.Count)) // Spreads fillers over the idle targets.
	}
	return score
}

// sameRack reports whether a target is on the same rack as all planned ones.
func (p plan) sameRack(t *target) bool {
	for other := range p {
		if rackOf(other) != rackOf(t) {
			return false
		}
	}
	return true
}

// rackOf returns the last label, which names the rack.
func rackOf(t *target) string {
	if len(t.info.Labels) == 0 {
		return ""
	}
	return t.info.Labels[len(t.info.Labels)-1]
}
