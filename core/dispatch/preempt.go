package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// The rules for preemption.
const (
	preemptClaimTTL = time.Second // Least lifetime of a claim on room freed by preemption.
	maxLostFraction = 0.5         // Part of its run time after which a task without checkpoints is not preempted.
	maxPreemptions  = 3           // A task is not preempted more often than this.
)

// preemptOption is room for one more task of a step on a target, after all cheaper options there.
type preemptOption struct {
	target  *target
	victims []*run  // Runs to stop in addition to those of the cheaper options.
	cost    float64 // Core-seconds of work that are lost.
}

// hasVictims reports whether there is a less urgent run in the queue's service, so that not each of thousands of waiting steps
// looks for one.
func (s *Scheduler) hasVictims(queue *cyclamendyke.Queue, pass *placementPass) bool {
	key := victimKey{queue.Service, queue.Priority}
	found, isKnown := pass.victims[key]
	if isKnown {
		return found
	}
	for _, t := range s.targets {
		if found {
			break
		}
		if t.info.Service != queue.Service {
			continue
		}
		for step := range t.stepRuns {
			own := step.job.queue(s)
			found = found || own != nil && own.Priority > queue.Priority
		}
	}
	pass.victims[key] = found
	return found
}

// preempt stops less urgent runs where that costs least, so that count more tasks of the step fit, and
// claims their room; for a gang it stops none unless all members fit. It returns how many tasks got
// room.
func (s *Scheduler) preempt(step *stepRun, queue *cyclamendyke.Queue, count int) int {
	var options []preemptOption
	for _, t := range s.candidates(step, queue) {
		limit := count
		if step.spec.MaxPerTarget > 0 {
			limit = min(limit, step.spec.MaxPerTarget-t.runCount(step))
		}
		options = append(options, s.preemptOptions(step, queue, t, limit)...)
	}
	if len(options) < count && step.spec.Gang {
		return 0
	}
	slices.SortStableFunc(options, func(a, b preemptOption) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.target.info.ID, b.target.info.ID))
	})
	options = options[:min(count, len(options))]
	ttl := max(preemptClaimTTL, s.cfg.Bounds.StopTimeout+stopListingDelay)
	step.claimedFrom, step.preemptedUntil = s.now, s.now+ttl
	for _, option := range options {
		for _, r := range option.victims {
			s.cfg.LogDecision(Decision{
				Event: EventPreempted, Workflow: r.step.job.spec.ID, Task: r.taskName().String(), Target: option.target.info.ID,
				Run: r.number, Reason: "for " + step.name().String(),
			})
			r.step.tasks.At(r.taskIndex).preemptions++
			s.stop(r, "preempted")
		}
		s.claim(step, option.target, s.now, ttl).isPreempted = true
	}
	return len(options)
}

// preemptOptions returns at most limit options on a target, cheapest first.
func (s *Scheduler) preemptOptions(step *stepRun, queue *cyclamendyke.Queue, t *target, limit int) []preemptOption {
	need := step.spec.Reserved()
	free := s.available(nil, t)
	var candidates []*run
	for _, r := range t.runs {
		if r.state == runStopping {
			free = free.Add(r.step.spec.Reserved())
		}
		if s.preemptible(r, queue) {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *run) int {
		return cmp.Or(cmp.Compare(s.preemptionCost(a), s.preemptionCost(b)), cmp.Compare(a.number, b.number))
	})
	var options []preemptOption
	total := 0.0
	for len(options) < limit {
		option := preemptOption{target: t}
		for !need.FitsIn(free) {
			if len(candidates) == 0 {
				return options
			}
			r := candidates[0]
			candidates = candidates[1:]
			free = free.Add(r.step.spec.Reserved())
			total += s.preemptionCost(r)
			option.victims = append(option.victims, r)
		}
		option.cost = total
		options = append(options, option)
		free = free.Sub(need)
	}
	return options
}

// preemptible reports whether a run may be stopped for a step of a queue.
func (s *Scheduler) preemptible(r *run, queue *cyclamendyke.Queue) bool {
	ownQueue := r.step.job.queue(s)
	if ownQueue == nil || ownQueue.Priority <= queue.Priority || r.state != runRunning {
		return false
	}
	spec := r.step.spec
	if spec.LongRunning || spec.Gang && spec.Count > 1 || spec.Filler || r.step.tasks.At(r.taskIndex).preemptions >= maxPreemptions {
		return false
	}
	return spec.Checkpoints || s.now-r.startedAt < time.Duration(maxLostFraction*float64(r.step.runTimeOn(r.target)))
}

// preemptionCost returns the work that stopping a run would lose, in core-seconds.
func (s *Scheduler) preemptionCost(r *run) float64 {
	lost := s.now - r.startedAt
	if r.step.spec.Checkpoints {
		lost = s.cfg.Bounds.RestoreTime + s.cfg.Bounds.StopTimeout
	}
	return lost.Seconds() * float64(r.step.spec.Need.Cores) / 1000
}
