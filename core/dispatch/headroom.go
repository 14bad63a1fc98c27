package dispatch

import (
	"cyclamendyke"
	"cyclamendyke/core/forecast"
)

// maxHeadroomShare is the largest part of a service's room that is kept for urgent work.
const maxHeadroomShare = 0.6

// headroom is the room of one service that less urgent work leaves free for the urgent work expected
// soon, which cannot wait for a run to end or to stop. It is counted in slots: an average urgent task
// fits in each.
//
// It answers bursts of urgent work on a fleet that batch work would fill.
type headroom struct {
	need    cyclamendyke.Resources // Need of one slot.
	reserve int                    // Slots that less urgent work must leave free.
	free    int                    // Free slots.
}

// slots returns how many slots fit in the given resources.
func (h *headroom) slots(free cyclamendyke.Resources) int {
	count := int64(-1)
	for _, pair := range [...][2]int64{
		{int64(free.Cores), int64(h.need.Cores)},
		{int64(free.Memory), int64(h.need.Memory)},
	} {
		if pair[1] > 0 && (count < 0 || pair[0]/pair[1] < count) {
			count = max(0, pair[0]/pair[1])
		}
	}
	return int(max(0, count))
}

// updateHeadroom computes the headroom of each service from its forecast.
func (s *Scheduler) updateHeadroom() {
	clear(s.headrooms)
	for service, f := range s.forecasts {
		f.Expire(s.now)
		tasks, need := f.Demand()
		if tasks == 0 {
			continue
		}
		h := &headroom{need: need}
		total, running := 0, 0
		for _, t := range s.usableByService[service] {
			h.free += h.slots(s.urgentFree(t))
			total += h.slots(t.info.Capacity)
			running += t.urgentRuns
		}
		h.reserve = max(0, min(int(tasks), int(maxHeadroomShare*float64(total)))-running)
		s.headrooms[service] = h
	}
}

// urgentFree returns the resources of a target that urgent work could use.
func (s *Scheduler) urgentFree(t *target) cyclamendyke.Resources {
	free := t.free()
	for _, c := range t.claims {
		if c.step.urgent(s) {
			free = free.Sub(c.need)
		}
	}
	return free
}

// slotsLost returns how many slots of a target a step's tasks take, in addition to planned others.
func (h *headroom) slotsLost(free cyclamendyke.Resources, need cyclamendyke.Resources, planned int) int {
	before := free.Sub(need.Scale(int64(planned)))
	return h.slots(before) - h.slots(before.Sub(need))
}

// leavesHeadroom reports whether one more task of a step on a target leaves enough room for urgent work.
func (s *Scheduler) leavesHeadroom(step *stepRun, t *target, planned plan) bool {
	h := s.headrooms[t.info.Service]
	if h == nil || h.reserve == 0 || step.rankKey.priority == 0 {
		return true
	}
	lost := h.slotsLost(s.urgentFree(t), step.spec.Reserved(), planned[t])
	return lost == 0 || h.free-lost >= h.reserve
}

// expectUrgent adds a workflow of a queue with priority 0 to the forecast of its service.
func (s *Scheduler) expectUrgent(j *job) {
	queue := j.queue(s)
	if queue == nil || queue.Priority > 0 || j.overShare {
		return
	}
	f := s.forecasts[queue.Service]
	if f == nil {
		f = &forecast.Forecast{}
		s.forecasts[queue.Service] = f
	}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		if !spec.LongRunning {
			f.Add(forecast.Step{At: j.acceptedAt, Tasks: spec.Count, RunTime: spec.Estimate, Need: spec.Reserved()})
		}
	}
}
