package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/advice"
)

// The rules for the room that a target is expected to have for a step.
const (
	preemptedRoom = 0.5   // Tasks that a target counts for at least if less urgent runs there can be preempted.
	leastShare    = 0.001 // Smallest part of a target that a task counts for.
	lateRoom      = 0.5   // Weight of room that becomes free while tickets of the request are valid.
)

// askedRoom is room on a target that a request for advice in flight counts on.
type askedRoom struct {
	call     int64
	priority int
	share    float64 // Expected part of the target's capacity.
}

// askedBefore returns the part of the target's capacity that requests in flight of the same or a higher
// priority count on.
func (t *target) askedBefore(priority int) float64 {
	sum := 0.0
	for _, asked := range t.asked {
		if asked.priority <= priority {
			sum += asked.share
		}
	}
	return sum
}

// adviceRequest is a request for advice with the tasks that are expected to start on each target.
type adviceRequest struct {
	targets []cyclamendyke.TargetID
	tasks   []float64
}

func (r *adviceRequest) add(id cyclamendyke.TargetID, tasks float64) {
	r.targets = append(r.targets, id)
	r.tasks = append(r.tasks, tasks)
}

// expected returns how many tasks are expected to start in all.
func (r *adviceRequest) expected() float64 {
	sum := 0.0
	for _, tasks := range r.tasks {
		sum += tasks
	}
	return sum
}

// planRequest returns the request that a want makes. It names the targets for which the step needs tickets
// now, and others that are likely to have room while the tickets are valid, as far as they are worth their
// time.
func (s *Scheduler) planRequest(w adviceWant) *adviceRequest {
	extent := advice.NewExtent(w.queue.Advice.Base, w.queue.Advice.PerTarget, w.waiting)
	request := &adviceRequest{}
	answerAt := s.now + w.queue.Advice.Base
	for _, id := range w.targets {
		value := s.adviceValue(w, s.targets[id], answerAt)
		extent.Add(value)
		request.add(id, value)
	}
	for _, option := range s.adviceOptions(w, answerAt) {
		if len(request.targets) >= maxAdviceTargets || !extent.Worth(option.value) {
			break
		}
		extent.Add(option.value)
		request.add(option.id, option.value)
	}
	return request
}

// countOn notes the room that a request counts on: no more than its tasks need.
func (s *Scheduler) countOn(w adviceWant, request *adviceRequest, call int64) {
	expected := request.expected()
	need := w.step.spec.Reserved()
	for i, id := range request.targets {
		tasks := request.tasks[i] * min(1, float64(w.waiting)/max(expected, 0.001))
		t := s.targets[id]
		t.asked = append(t.asked, askedRoom{call, w.queue.Priority, tasks * need.DominantShare(t.info.Capacity)})
	}
}

// countOff undoes countOn.
func (s *Scheduler) countOff(call int64, targets []cyclamendyke.TargetID) {
	for _, id := range targets {
		if t := s.targets[id]; t != nil {
			t.asked = slices.DeleteFunc(t.asked, func(a askedRoom) bool { return a.call == call })
		}
	}
}

// maxAdviceOptions is the number of options from which the best are named.
const maxAdviceOptions = 3 * maxAdviceTargets

// adviceOption is a target that a request may name.
type adviceOption struct {
	id    cyclamendyke.TargetID
	value float64 // Tasks of the step that are expected to start there.
	order float64 // The value, less on slow targets the more the step is in haste; the highest comes first.
}

// adviceOptions returns the targets about which advice may be asked besides those of the want, the best first:
// those that are allowed, and of the others those with the most room.
func (s *Scheduler) adviceOptions(w adviceWant, answerAt time.Duration) []adviceOption {
	var options []adviceOption
	add := func(t *target) {
		if !s.eligible(w.step, w.queue, t) || slices.Contains(w.targets, t.info.ID) {
			return
		}
		if value := s.adviceValue(w, t, answerAt); value > 0 {
			options = append(options, adviceOption{t.info.ID, value, value * math.Exp(-speedWeight*w.step.haste*t.speed.slowness)})
		}
	}
	for id, v := range w.step.advice.verdicts {
		if t := s.targets[id]; v.allowed && v.expiresAt <= answerAt && t != nil && s.usable(t) {
			add(t)
		}
	}
	for _, indexed := range s.targetsByRoom(w.queue.Service) {
		if _, hasVerdict := w.step.advice.verdicts[indexed.target.info.ID]; hasVerdict {
			continue
		}
		if add(indexed.target); len(options) >= maxAdviceOptions {
			break
		}
	}
	slices.SortFunc(options, func(a, b adviceOption) int {
		return cmp.Or(cmp.Compare(b.order, a.order), cmp.Compare(a.id, b.id))
	})
	return options
}

// adviceValue returns how many tasks of the step are expected to start on a target if a request names it.
func (s *Scheduler) adviceValue(w adviceWant, t *target, answerAt time.Duration) float64 {
	if t == nil || t.atMaxPerTarget(w.step) {
		return 0
	}
	soon := w.step.fitsIn(s.freeBy(t, answerAt))
	later := w.step.fitsIn(s.freeBy(t, answerAt+w.queue.Advice.ValidFor))
	room := soon + lateRoom*(later-soon) - t.askedBefore(w.queue.Priority)/max(leastShare, w.step.spec.Reserved().DominantShare(t.info.Capacity))
	if s.mayPreempt(w.step, w.queue) {
		room = max(room, preemptedRoom)
	}
	return s.allowedChance(w, t) * *s.foundPart(w.queue.Name) * min(room, float64(w.waiting))
}

// allowedChance returns how likely advice allows a target for the step.
func (s *Scheduler) allowedChance(w adviceWant, t *target) float64 {
	if w.step.advice.verdicts[t.info.ID].allowed {
		return 1
	}
	return float64(*s.allowedPart(w.queue.Name))
}

// freeBy returns what is expected to be free on a target at a given time.
func (s *Scheduler) freeBy(t *target, at time.Duration) cyclamendyke.Resources {
	free := t.free()
	for _, r := range t.runs {
		if r.state == runStopping || !r.step.spec.LongRunning && s.now+r.remaining(s.now) <= at {
			free = free.Add(r.step.spec.Reserved())
		}
	}
	return free
}

// gangMayStart reports whether all members of a gang are expected to have room while tickets of a request made
// now are valid: on room that it claims, that no other step claims, or that less urgent runs would give up.
// Other tickets would lapse.
func (s *Scheduler) gangMayStart(w adviceWant) bool {
	validFrom := s.now + w.queue.Advice.Base
	if len(w.step.claims) == w.waiting && w.step.claimedFrom < validFrom+w.queue.Advice.ValidFor {
		return true
	}
	expected := 0.0
	for _, t := range s.usableByService[w.queue.Service] {
		v, hasVerdict := w.step.advice.verdicts[t.info.ID]
		if hasVerdict && !v.allowed || !s.eligible(w.step, w.queue, t) {
			continue
		}
		expected += s.allowedChance(w, t) * min(w.step.fitsIn(s.freeWithPreemption(w, t, validFrom)), float64(w.waiting))
		if expected >= float64(w.waiting) {
			return true
		}
	}
	return false
}

// freeWithPreemption returns what a step may use on a target at a given time: what is free, unless another step
// claims it, and what less urgent runs would give up.
func (s *Scheduler) freeWithPreemption(w adviceWant, t *target, at time.Duration) cyclamendyke.Resources {
	free := s.freeBy(t, at)
	for _, c := range t.claims {
		if c.step != w.step {
			free = free.Sub(c.need)
		}
	}
	if !s.mayPreempt(w.step, w.queue) {
		return free
	}
	for _, r := range t.runs {
		if s.now+r.remaining(s.now) > at && s.preemptible(r, w.queue) {
			free = free.Add(r.step.spec.Reserved())
		}
	}
	return free
}
