package dispatch

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/crash"
)

// trial keeps a target for a suspected task, or for members of a suspected gang: nothing else starts there from
// some time before until the task has worked for its trial time, so that a crash tells whether it is the cause.
//
// Tasks that last may share a trial, so that not each of them has to wait for a target of its own. If no crash comes, all are trusted;
// after one, none of them shares another trial.
type trial struct {
	tasks    []trialTask
	isShared bool          // Others may join.
	began    bool          // A task was started.
	beganAt  time.Duration // When the first one was.
	until    time.Duration // When the reservation lapses if no task has been started.
}

// trialTask is a task, or a gang, that is tried.
type trialTask struct {
	step  *stepRun
	index int // As of stepRun.crashIndex.
}

// has reports whether a trial is one of a task or gang.
func (t *trial) has(task trialTask) bool {
	return t != nil && slices.Contains(t.tasks, task)
}

// The rules for trials.
const (
	stableTargetWait = 2 * time.Second        // How long a suspected task waits for a machine that has not crashed lately.
	trialReservation = 200 * time.Millisecond // Renewed in each pass in which the task waits for its target.
	maxTrialShare    = 0.5                    // Part of a service's targets that are kept for trials at a time.
	maxTrialTasks    = 16                     // Tasks that share a trial.
	joinTime         = 100 * time.Millisecond // How long after its begin a task may join a trial.
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
// targets until then, and reports whether there is room, for a gang also whether few enough others are being tried.
func (s *Scheduler) tryApart(step *stepRun, queue *cyclamendyke.Queue, members []int) bool {
	task := trialTask{step, step.crashIndex(members[0])}
	chosen, others := s.chooseForTrial(queue, task, len(members))
	if step.spec.Gang && s.hasTurn(step, queue) {
		others = otherTrials{} // The targets whose trials end are kept for it.
	}
	if chosen == nil || others.reached(len(distinct(chosen))) {
		if joined := s.chooseShared(queue, task); joined != nil {
			chosen, others = []*target{joined}, otherTrials{}
		}
	}
	if chosen == nil {
		s.logUnplaced(step, "no target with room and a ticket to be tried on")
		return false
	}
	if others.reached(len(distinct(chosen))) {
		s.logUnplaced(step, "other tasks are being tried apart")
		return !step.spec.Gang // A gang may need so many targets that it must have the turn.
	}
	quiet := true
	for _, t := range chosen {
		s.keepForTrial(t, task)
		quiet = quiet && (s.isQuiet(t) || s.mayJoin(t.trial))
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
		if !t.trial.began {
			t.trial.began, t.trial.beganAt = true, s.now
		}
	}
	return true
}

// keepForTrial keeps a target for a task or gang, which joins the trial for which the target is kept already.
func (s *Scheduler) keepForTrial(t *target, task trialTask) {
	if t.trial == nil {
		t.trial = &trial{isShared: task.mayShare()}
	}
	if !t.trial.has(task) {
		t.trial.tasks = append(t.trial.tasks, task)
	}
	t.trial.until = s.now + trialReservation
}

// mayShare reports whether a task may be tried together with others.
func (task trialTask) mayShare() bool {
	spec := task.step.spec
	if !spec.LongRunning || spec.Gang {
		return false
	}
	history := task.step.crashes(task.index)
	return history.MayBeTriedWithOthers()
}

// mayJoin reports whether a task may join a trial that has begun.
func (s *Scheduler) mayJoin(t *trial) bool {
	return t.isShared && t.began && s.now-t.beganAt <= joinTime
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

// isTrialOver reports whether a target need not be kept any longer for any task.
func (s *Scheduler) isTrialOver(t *target) bool {
	if !t.trial.began {
		return s.now >= t.trial.until
	}
	t.trial.tasks = slices.DeleteFunc(t.trial.tasks, func(task trialTask) bool { return s.isTried(t, task) })
	return len(t.trial.tasks) == 0
}

// isTried reports whether a target need not be kept for a task any longer, and trusts the task if it has worked for its trial time.
func (s *Scheduler) isTried(t *target, task trialTask) bool {
	r := t.trialRun(task)
	if r == nil {
		return !s.mayJoin(t.trial)
	}
	if r.confirmedAt == 0 || r.state != runRunning {
		return false
	}
	history := task.step.crashHistory(max(0, task.index))
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

// trialRun returns a run on the target of a task for which it is kept, or nil.
func (t *target) trialRun(task trialTask) *run {
	for _, r := range t.runs {
		if r.step == task.step && r.step.crashIndex(r.taskIndex) == task.index {
			return r
		}
	}
	return nil
}

// adoptTrial keeps a target on which an earlier epoch has started a suspected task.
func (t *target) adoptTrial(r *run) {
	if t.trial == nil && r.step.isSuspected(r.taskIndex) {
		t.trial = &trial{tasks: []trialTask{{r.step, r.step.crashIndex(r.taskIndex)}}, began: true}
	}
}
