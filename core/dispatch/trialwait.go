package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// The bounds on how long suspects wait for a trial.
const (
	trialTurnWait     = time.Second     // How long a gang that needs many targets waits for the trials of others before it keeps new ones from beginning.
	overdueTrialWait  = 4 * time.Second // How long suspects wait before they are tried ahead of all other work.
	overdueTrialShare = 1.0 / 32        // Part of a service's targets that are kept for overdue trials at a time.
)

// trialWait is how a step's suspects wait for a trial.
type trialWait struct {
	since     time.Duration // When they began to wait; zero if they do not.
	isBlocked bool          // They have room, but too many targets are kept for trials of others.
	isOverdue bool          // They are being placed ahead of other work.
	isListed  bool          // The step is in Scheduler.trialWaiters.
}

// waitForTrial notes that a step has suspects that wait for a trial.
func (s *Scheduler) waitForTrial(step *stepRun) {
	if step.trialWait.since == 0 {
		step.trialWait.since = s.now
	}
	if !step.trialWait.isListed {
		step.trialWait.isListed = true
		s.trialWaiters = append(s.trialWaiters, step)
	}
}

// endTrialWait notes that a trial of a step's suspects begins.
func (step *stepRun) endTrialWait() {
	step.trialWait.since, step.trialWait.isBlocked = 0, false
}

// dropTrialWaiters forgets the steps whose suspects no longer wait.
func (s *Scheduler) dropTrialWaiters() {
	s.trialWaiters = slices.DeleteFunc(s.trialWaiters, func(step *stepRun) bool {
		if !step.active {
			step.endTrialWait()
		}
		step.trialWait.isListed = step.trialWait.since != 0
		return !step.trialWait.isListed
	})
}

// mustLetOthersBeTried reports whether a gang of the service waits only for the trials of others to end, and has waited for longer than the step.
func (s *Scheduler) mustLetOthersBeTried(step *stepRun, service cyclamendyke.ServiceName) bool {
	return slices.ContainsFunc(s.trialWaiters, func(o *stepRun) bool {
		wait := o.trialWait
		if o == step || !o.active || !wait.isBlocked || s.now-wait.since < trialTurnWait || step.trialWait.since != 0 && step.trialWait.since < wait.since {
			return false
		}
		queue := o.job.queue(s)
		return queue != nil && queue.Service == service
	})
}

// placeOverdueTrials tries suspects that have waited for long before anything else is placed, a few at a time, so that their wait is bounded
// however much other work there is.
func (s *Scheduler) placeOverdueTrials() {
	s.dropTrialWaiters()
	kept := map[cyclamendyke.ServiceName]int{}
	for _, t := range s.targets {
		if t.trial != nil && t.trial.isOverdue {
			kept[t.info.Service]++
		}
	}
	slices.SortStableFunc(s.trialWaiters, func(a, b *stepRun) int { return cmp.Compare(a.trialWait.since, b.trialWait.since) })
	for _, step := range slices.Clone(s.trialWaiters) {
		queue := step.job.queue(s)
		if s.now-step.trialWait.since < overdueTrialWait || queue == nil || s.service(queue.Service) == nil {
			continue
		}
		if limit := overdueTrialShare * float64(len(s.usableByService[queue.Service])); kept[queue.Service] > 0 && float64(kept[queue.Service]+1) > limit {
			continue
		}
		kept[queue.Service]++
		s.placeOverdueTrial(step, queue)
	}
}

// placeOverdueTrial tries a step's gang, or the first of its suspects, or claims room for it. Machines that have crashed lately are left out
// as long as there are others: under load they are the ones with room.
func (s *Scheduler) placeOverdueTrial(step *stepRun, queue *cyclamendyke.Queue) {
	_, suspected := step.splitSuspected(s.placeable(step, queue))
	if len(suspected) == 0 {
		return
	}
	step.trialWait.isOverdue = true
	unplaced, count := 0, 1
	if step.spec.Gang {
		count = step.spec.Count
		unplaced = s.placeGang(step, queue, true)
	} else {
		unplaced = s.placeSuspected(step, queue, suspected[:1])
	}
	for _, t := range s.targets {
		if t.trial.has(trialTask{step, step.crashIndex(suspected[0])}) {
			t.trial.isOverdue = true
		}
	}
	if unplaced > 0 {
		s.claimEarliest(step, queue, count)
		s.wantMissingTickets(step, queue, unplaced, noFitCache{})
	}
	step.trialWait.isOverdue, step.needsStable = false, false
}

// hasStableMachine reports whether any target that may run the step, with room or not, has a machine that has not crashed lately.
func (s *Scheduler) hasStableMachine(step *stepRun, queue *cyclamendyke.Queue) bool {
	return slices.ContainsFunc(s.usableByService[queue.Service], func(t *target) bool {
		return s.eligible(step, queue, t) && !s.crashedLately(t)
	})
}
