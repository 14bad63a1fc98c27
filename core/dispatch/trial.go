package dispatch

import (
	"time"

	"cyclamendyke"
	"cyclamendyke/core/crash"
)

// trial keeps a target for a suspected task, or for members of a suspected gang: nothing else starts there from
// some time before until the task has worked for its trial time, so that a crash tells whether it is the cause.
type trial struct {
	step  *stepRun
	index int           // As of stepRun.crashIndex.
	began bool          // The task was started.
	until time.Duration // When the reservation lapses if the task has not been started.
}

// The rules for trials.
const (
	stableTargetWait = 2 * time.Second        // How long a suspected task waits for a machine that has not crashed lately.
	trialReservation = 200 * time.Millisecond // Renewed in each pass in which the task waits for its target.
	maxTrialShare    = 0.5                    // Part of a service's targets that are kept for trials at a time.
)

// splitSuspected returns a step's waiting tasks that may run beside others, and those to be tried apart.
func (step *stepRun) splitSuspected(waiting []int) (trusted, suspected []int) {
	for _, index := range waiting {
		if step.isSuspected(index) {
			suspected = append(suspected, index)
		} else {
			trusted = append(trusted, index)
		}
	}
	return trusted, suspected
}

// placeSuspected places each of the tasks apart from other work, or keeps a target for it, and returns how many
// found no room.
func (s *Scheduler) placeSuspected(step *stepRun, queue *cyclamendyke.Queue, suspected []int) int {
	unplaced := 0
	for _, index := range suspected {
		if !s.tryApart(step, queue, []int{index}) {
			unplaced++
		}
	}
	return unplaced
}

// tryApart starts a task, or all members of a gang, on targets on which nothing has begun lately. It keeps the
// targets until then, and reports whether there is room at all.
func (s *Scheduler) tryApart(step *stepRun, queue *cyclamendyke.Queue, members []int) bool {
	index := step.crashIndex(members[0])
	chosen, others := s.chooseForTrial(step, queue, index, len(members))
	if chosen == nil {
		s.logUnplaced(step, "no target with room and a ticket to be tried on")
		return false
	}
	if others.reached(len(distinct(chosen))) {
		s.logUnplaced(step, "other tasks are being tried apart")
		return true
	}
	quiet := true
	for _, t := range chosen {
		t.trial = &trial{step: step, index: index, until: s.now + trialReservation}
		quiet = quiet && s.isQuiet(t)
	}
	if !quiet {
		s.logUnplaced(step, "to be tried apart from work that has just begun")
		return true
	}
	if !s.haveNotRestarted(chosen...) {
		return true
	}
	number := s.nextRunNumber()
	for i, t := range chosen {
		s.start(step, members[i], t, number)
		t.trial.began = true
	}
	return true
}

// isQuiet reports whether nothing has begun on a target lately, or may have.
func (s *Scheduler) isQuiet(t *target) bool {
	if s.now-t.lastStartAt < crash.FreshTime {
		return false
	}
	for _, r := range t.runs {
		if r.state == runStarting || r.state == runStartUnknown {
			return false
		}
	}
	return true
}

// checkTrials ends the trials that are over.
func (s *Scheduler) checkTrials() {
	for _, t := range s.targets {
		if t.trial != nil && s.isTrialOver(t) {
			t.trial = nil
		}
	}
}

// isTrialOver reports whether a target need not be kept any longer, and trusts the task if it has worked for its
// trial time.
func (s *Scheduler) isTrialOver(t *target) bool {
	if !t.trial.began {
		return s.now >= t.trial.until
	}
	r := t.trialRun()
	if r == nil {
		return true
	}
	if r.confirmedAt == 0 || r.state != runRunning {
		return false
	}
	history := t.trial.step.crashHistory(max(0, t.trial.index))
	passedAt := r.confirmedAt + history.TrialTime()
	if t.answeredAt < passedAt {
		if s.now >= passedAt && !t.renewFailed {
			s.requestListing(t)
		}
		return false
	}
	history.Cleared = true
	s.cfg.LogDecision(Decision{
		Event: EventTrusted, Workflow: r.step.job.spec.ID, Task: r.taskName().String(), Target: t.info.ID, Run: r.number,
		Count: len(history.Crashes), Age: t.answeredAt - r.confirmedAt,
	})
	return true
}

// trialRun returns a run on the target for which it is kept, or nil.
func (t *target) trialRun() *run {
	for _, r := range t.runs {
		if r.step == t.trial.step && r.step.crashIndex(r.taskIndex) == t.trial.index {
			return r
		}
	}
	return nil
}

// adoptTrial keeps a target on which an earlier epoch has started a suspected task.
func (t *target) adoptTrial(r *run) {
	if t.trial == nil && r.step.isSuspected(r.taskIndex) {
		t.trial = &trial{step: r.step, index: r.step.crashIndex(r.taskIndex), began: true}
	}
}
