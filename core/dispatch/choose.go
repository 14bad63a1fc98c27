package dispatch

import (
	"slices"

	"cyclamendyke"
)

// eligible reports whether the step's tasks may run on a target at all.
func (s *Scheduler) eligible(step *stepRun, queue *cyclamendyke.Queue, t *target) bool {
	return t.info.Service == queue.Service &&
		(step.spec.Label == "" || slices.Contains(t.info.Labels, step.spec.Label)) &&
		step.spec.Reserved().FitsIn(t.info.Capacity)
}

// usable reports whether anything may be started on a target now.
func (s *Scheduler) usable(t *target) bool {
	return t.present && t.listed && !t.over && !t.closed && !t.info.Draining && !t.failing && len(t.foreign) == 0 &&
		s.now >= t.blocked && s.now-t.heardAt <= silentAfter
}

// available returns the room of a target that no other step claims.
func (s *Scheduler) available(step *stepRun, t *target) cyclamendyke.Resources {
	free := t.free()
	for _, c := range t.claims {
		if c.step != step && s.now < c.until {
			free = free.Sub(c.need)
		}
	}
	return free
}

// plan is a tentative placement of a gang's members.
type plan map[*target]int

// candidates returns the targets on which the step's tasks may start now, if they fit; where tickets are needed, they are few.
func (s *Scheduler) candidates(step *stepRun, queue *cyclamendyke.Queue) []*target {
	var out []*target
	if queue.Advice == nil {
		for _, t := range s.ready[queue.Service] {
			if s.eligible(step, queue, t) {
				out = append(out, t)
			}
		}
		return out
	}
	if s.now >= step.advice.until {
		return nil
	}
	for id, v := range step.advice.verdicts {
		t := s.targets[id]
		if v.good && s.now < v.expires && t != nil && s.usable(t) && s.eligible(step, queue, t) {
			out = append(out, t)
		}
	}
	return out
}

// best returns the target among candidates for one more task of the step, on top of a plan, or nil.
func (s *Scheduler) best(step *stepRun, among []*target, avoid cyclamendyke.TargetID, planned plan) *target {
	var best, avoided *target
	var bestScore float64
	for _, t := range among {
		if !s.fitsNow(step, t, planned[t]) {
			continue
		}
		if t.info.ID == avoid {
			avoided = t
			continue
		}
		score := s.score(step, t, planned)
		if best == nil || score < bestScore || score == bestScore && t.info.ID < best.info.ID {
			best, bestScore = t, score
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// fitsNow reports whether one more task of the step fits on a target beside planned others.
func (s *Scheduler) fitsNow(step *stepRun, t *target, planned int) bool {
	if most := step.spec.MaxPerTarget; most > 0 && t.tasksOf(step)+planned >= most {
		return false
	}
	need := step.spec.Reserved().Scale(int64(planned + 1))
	return need.FitsIn(s.available(step, t))
}

// tasksOf counts the runs of a step on a target.
func (t *target) tasksOf(step *stepRun) int {
	count := 0
	for _, r := range t.runs {
		if r.step == step {
			count++
		}
	}
	return count
}

// full reports whether a target has as many of a step's tasks as it may.
func (t *target) full(step *stepRun) bool {
	return step.spec.MaxPerTarget > 0 && t.tasksOf(step) >= step.spec.MaxPerTarget
}

// The weights of a target's score, in parts of a whole target's cores.
const (
	farWeight     = 4.0 // Away from the data.
	sharingWeight = 1.0 // A serving task beside fillers, or the reverse.
	rackWeight    = 2.0 // A gang's member on another rack.
	gpuWeight     = 1.0 // Accelerators left over.
)

// score rates a target for a task; lower is better. Tight fits leave whole room for wide tasks.
func (s *Scheduler) score(step *stepRun, t *target, planned plan) float64 {
	need := step.spec.Reserved()
	left := t.free().Sub(need.Scale(int64(planned[t] + 1)))
	score := float64(left.Cores) / float64(max(1, t.info.Capacity.Cores))
	if t.info.Capacity.Accelerators > 0 {
		score += gpuWeight * float64(left.Accelerators) / float64(t.info.Capacity.Accelerators)
	}
	if step.spec.Rack != "" && !slices.Contains(t.info.Labels, step.spec.Rack) {
		score += farWeight
	}
	if step.spec.SameRack && len(planned) > 0 && !planned.shareRack(t) {
		score += rackWeight
	}
	serving, filling := step.spec.LatencyTarget > 0, step.spec.Filler
	for _, r := range t.runs {
		if serving && r.step.spec.Filler || filling && r.step.spec.LatencyTarget > 0 {
			score += sharingWeight
		}
	}
	if filling {
		score += float64(t.tasksOf(step)) / float64(max(1, len(step.tasks))) // Fillers share what is idle.
	}
	return score
}

// shareRack reports whether a target has a label in common with all planned ones, beyond their kind.
func (p plan) shareRack(t *target) bool {
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
